#ifndef VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_
#define VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_

#include <array>
#include <string>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/allotment_service.h"
#include "vanillalever/forwarding/route_config.h"

namespace vanillalever::forwarding {

// Latency histograms, in seconds.
struct LatencyHistograms {
  LatencyHistograms();

  prometheus::Registry registry;
  // Time from a request's arrival to the end of its response, by RequestKind.
  std::array<prometheus::Histogram*, 3> request_seconds;
  // Time from the send of a turn to its first event.
  prometheus::Histogram& first_event_seconds;
  // Time that a turn waited for its budget reservation.
  prometheus::Histogram& budget_seconds;
};

// Counters and histograms of a gateway. `registry` must outlive them.
struct GatewayMetrics {
  explicit GatewayMetrics(base::CounterRegistry& registry);

  base::Counter& requests;
  base::Counter& responses;
  base::Counter& refused;
  base::Counter& unknown_outcomes;
  base::Counter& caller_disconnects;
  base::Counter& rejected_connections;
  base::Counter& sends;
  base::Counter& unseen_requests;
  base::Counter& open_sends;
  base::Counter& send_failures;
  base::Counter& new_connections;
  base::Counter& budget_refusals;
  base::Counter& limited_responses;
  base::Counter& rate_waits;
  base::Counter& malformed_rows;
  base::Counter& requests_in_crashes;
  base::Counter& crash_refusals;
  base::Counter& conversation_bytes;
  base::Counter& indexed_turns;
  base::Counter& overload_refusals;
  base::Counter& unknown_keys;
  base::Counter& unconfirmed_keys;
  base::Counter& withdrawn_keys;
  base::Counter& organisations;
  base::Counter& keys;
  base::Counter& idle_rejections;
  AllotmentCounters allotments;
  LatencyHistograms latency;
};

// All metrics of the process in the Prometheus text format.
std::string RenderMetrics(const base::CounterRegistry& counters,
                          const GatewayMetrics& metrics);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_GATEWAY_METRICS_H_
