#include "vanillalever/forwarding/gateway_metrics.h"

namespace vanillalever::forwarding {

GatewayMetrics::GatewayMetrics(base::CounterRegistry& registry)
    : requests(registry.counter("vanillalever_requests_total",
                                "Requests read from callers.")),
      answered(registry.counter("vanillalever_answers_total",
                                "Answers of servers passed on whole.")),
      refused(registry.counter("vanillalever_refusals_total",
                               "Requests refused without having run.")),
      gave_up(
          registry.counter("vanillalever_unknown_outcomes_total",
                           "Requests ended without an answer after a send.")),
      caller_left(registry.counter("vanillalever_callers_left_total",
                                   "Callers that left before the answer.")),
      sends(registry.counter("vanillalever_sends_total",
                             "Requests sent to servers.")),
      open_sends(registry.gauge("vanillalever_open_sends",
                                "Requests open at servers.")),
      send_failures(registry.counter("vanillalever_send_failures_total",
                                     "Sends without a usable answer.")),
      new_connections(registry.counter("vanillalever_server_connections_total",
                                       "Connections opened to servers.")),
      budget_spent(registry.counter("vanillalever_budget_refusals_total",
                                    "Turns refused because the program's "
                                    "budget is spent.")),
      store_calls(registry.counter("vanillalever_store_calls_total",
                                   "Calls to the platform's store.")),
      store_failures(registry.counter("vanillalever_store_failures_total",
                                      "Calls to the store that failed.")),
      malformed_entries(
          registry.counter("vanillalever_malformed_entries_total",
                           "Store entries skipped because they are "
                           "malformed.")) {}

}  // namespace vanillalever::forwarding
