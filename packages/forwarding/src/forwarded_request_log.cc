// Logs the outcome of a request and the inputs of its placement.

#include <cstdio>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/duration_text.h"
#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

std::string Decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

// "running,waiting,slowness" as reported in the server's response.
std::string ReportText(const std::optional<LoadReport>& report) {
  if (!report)
    return "-";
  return std::to_string(report->running) + "," +
         std::to_string(report->waiting) + "," + Decimal(report->slowness);
}

}  // namespace

void ForwardedRequest::LogOutcome(std::string_view outcome,
                                  std::string_view reason) const {
  auto now = base::TimePoint::clock::now();
  base::LogEvent(
      base::LogLevel::kInfo, "request",
      {{"request", profile_.request_id},
       {"program", profile_.program},
       {"fingerprint", fingerprint_},
       {"route", route_ == nullptr ? "" : route_->name},
       {"config", std::to_string(config_ ? config_->version : 0)},
       {"organisation", organisation_ ? organisation_->name : ""},
       {"server", slot_ ? slot_->server.id : ""},
       {"server_version", slot_ ? slot_->server.software_version : ""},
       {"stream_version", stream_version_.value_or("")},
       {"resumes", profile_.resumed_request},
       {"outcome", std::string(outcome)},
       {"server_status", std::to_string(status_)},
       {"reason", std::string(reason)},
       {"sends", std::to_string(sends_)},
       {"waits", std::to_string(waits_)},
       {"events", std::to_string(framer_.events())},
       {"budget", std::to_string(profile_.token_budget.value_or(0))},
       {"most", std::to_string(profile_.max_output_tokens)},
       {"prompt", std::to_string(profile_.prompt_tokens)},
       {"prefill", std::to_string(placement_.prefill_tokens)},
       {"least_prefill", std::to_string(placement_.least_prefill_tokens)},
       {"candidates", std::to_string(placement_.candidates)},
       {"open", std::to_string(placement_.open)},
       {"unseen", Decimal(placement_.unseen)},
       {"slowness", Decimal(placement_.slowness)},
       {"relative_time", Decimal(placement_.relative_time)},
       {"estimate_ms", Decimal(placement_.estimate_ms)},
       {"reported", ReportText(reported_)},
       {"rate_wait_ms", Ms(rate_waited_)},
       {"limit", stated_limit_ ? Decimal(*stated_limit_) : "-"},
       {"sent_ms", sends_ > 0 ? Ms(sent_at_ - arrived_at_) : "-"},
       {"first_ms", first_output_ ? Ms(*first_output_ - sent_at_) : "-"},
       {"took_ms", Ms(now - arrived_at_)}});
}

}  // namespace vanillalever::forwarding
