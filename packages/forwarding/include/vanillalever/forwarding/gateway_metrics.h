#ifndef VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_
#define VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_

#include "vanillalever/base/counters.h"

namespace vanillalever::forwarding {

// Counters of a gateway. References stay valid as long as the registry.
struct GatewayMetrics {
  explicit GatewayMetrics(base::CounterRegistry& registry);

  base::Counter& requests;
  base::Counter& answered;
  base::Counter& refused;
  base::Counter& gave_up;
  base::Counter& caller_left;
  base::Counter& sends;
  base::Counter& open_sends;
  base::Counter& send_failures;
  base::Counter& new_connections;
  base::Counter& budget_spent;
  base::Counter& store_calls;
  base::Counter& store_failures;
  base::Counter& malformed_entries;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_
