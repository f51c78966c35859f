#include "vanillalever/forwarding/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace vanillalever::forwarding {
namespace {

// Upper bounds in seconds, from a round trip to the longest timeout in use.
prometheus::Histogram::BucketBoundaries BucketSeconds() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};
}

prometheus::Histogram& MakeHistogram(prometheus::Registry& registry,
                                     const char* name,
                                     const char* help,
                                     const prometheus::Labels& labels = {}) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add(labels, BucketSeconds());
}

}  // namespace

LatencyHistograms::LatencyHistograms()
    : first_event_seconds(
          MakeHistogram(registry,
                        "vl_gateway_first_event_seconds",
                        "Time from the send of a turn to its first event.")),
      budget_seconds(MakeHistogram(registry,
                                   "vl_gateway_budget_seconds",
                                   "Time that a turn waited for its budget.")) {
  for (std::size_t kind = 0; kind < request_seconds.size(); ++kind) {
    std::string name(kRequestKindNames.name(static_cast<RequestKind>(kind)));
    request_seconds[kind] = &MakeHistogram(
        registry, "vl_gateway_request_seconds",
        "Time from a request's arrival to its whole answer.", {{"kind", name}});
  }
}

GatewayMetrics::GatewayMetrics(base::CounterRegistry& registry)
    : requests(registry.counter("vl_gateway_requests_total",
                                "Requests read from callers.")),
      responses(registry.counter("vl_gateway_answers_total",
                                 "Answers of servers passed on whole.")),
      refused(registry.counter("vl_gateway_refusals_total",
                               "Requests refused without having run.")),
      unknown_outcomes(
          registry.counter("vl_gateway_unknown_outcomes_total",
                           "Requests ended without an answer after a send.")),
      caller_disconnects(
          registry.counter("vl_gateway_callers_left_total",
                           "Callers that left before the answer.")),
      rejected_connections(
          registry.counter("vl_gateway_rejected_connections_total",
                           "Connections beyond the limit of connections.")),
      sends(registry.counter("vl_gateway_sends_total",
                             "Requests sent to servers.")),
      unseen_requests(
          registry.counter("vl_gateway_unseen_requests_total",
                           "Requests of other gateways expected without news "
                           "of them, summed over the choices of a server.")),
      open_sends(
          registry.gauge("vl_gateway_open_sends", "Requests open at servers.")),
      send_failures(registry.counter("vl_gateway_send_failures_total",
                                     "Sends without a usable answer.")),
      new_connections(registry.counter("vl_gateway_server_connections_total",
                                       "Connections opened to servers.")),
      budget_refusals(registry.counter("vl_gateway_budget_refusals_total",
                                       "Turns refused because the program's "
                                       "budget is spent.")),
      limited_responses(
          registry.counter("vl_gateway_limited_answers_total",
                           "Responses in which the server states a limit on "
                           "its requests.")),
      rate_waits(registry.counter("vl_gateway_rate_waits_total",
                                  "Requests that waited for a server that "
                                  "limits its requests.")),
      malformed_rows(registry.counter(
          "vl_gateway_malformed_entries_total",
          "Store entries skipped because they are malformed.")),
      requests_in_crashes(registry.counter(
          "vl_gateway_requests_in_crashes_total",
          "Requests that were at work in a crash of a server, once for each "
          "crash.")),
      crash_refusals(
          registry.counter("vl_gateway_crash_refusals_total",
                           "Requests refused because they crash servers.")),
      conversation_bytes(registry.gauge(
          "vl_gateway_conversation_bytes",
          "Turns in memory: cached, used, being read or written.")),
      indexed_turns(registry.gauge(
          "vl_gateway_indexed_turns",
          "Records of turns in the store that this gateway deletes.")),
      overload_refusals(registry.counter(
          "vl_gateway_overload_refusals_total",
          "Requests refused because the servers would complete them too "
          "late.")),
      unknown_keys(registry.counter(
          "vl_gateway_unknown_keys_total",
          "Requests refused for a key that is missing, unknown or malformed.")),
      unconfirmed_keys(registry.counter(
          "vl_gateway_unconfirmed_keys_total",
          "Requests refused because the configuration could not be confirmed "
          "in time to accept keys.")),
      withdrawn_keys(registry.counter(
          "vl_gateway_withdrawn_keys_total",
          "Requests ended before a send because their key had been taken "
          "away.")),
      organisations(registry.gauge("vl_gateway_organisations",
                                   "Organisations in the configuration.")),
      keys(registry.gauge("vl_gateway_keys", "Keys in the configuration.")),
      idle_rejections(registry.counter(
          "vl_gateway_idle_rejections_total",
          "Connections beyond the limit that were closed without a request, "
          "because others waited.")),
      allotments{
          registry.counter("vl_gateway_allotment_requests_total",
                           "Requests counted toward an allotment."),
          registry.counter("vl_gateway_allotment_refusals_total",
                           "Requests over their organisation's allotment."),
          registry.counter("vl_gateway_allotment_returns_total",
                           "Requests counted toward an allotment that did not "
                           "run."),
          registry.gauge("vl_gateway_organisations_over_allotment",
                         "Organisations that ask for more than their "
                         "allotment.")} {}

std::string RenderMetrics(const base::CounterRegistry& counters,
                          const GatewayMetrics& metrics) {
  return counters.Render() + prometheus::TextSerializer().Serialize(
                                 metrics.latency.registry.Collect());
}

}  // namespace vanillalever::forwarding
