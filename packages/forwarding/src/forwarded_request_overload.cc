// The part of a request that concerns a demand above what the servers complete.

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/duration_text.h"
#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

admission::ServiceLoad LoadOf(const std::vector<ServerSlotPtr>& servers,
                              base::TimePoint now) {
  admission::ServiceLoad load;
  for (const ServerSlotPtr& slot : servers) {
    if (!slot->accepts_requests() || slot->load.suspect(now))
      continue;
    load.slots += slot->server.slots;
    load.open += slot->load.open(now);
  }
  return load;
}

}  // namespace

std::uint64_t ForwardedRequest::program_hash() const {
  return base::Hash64(profile_.program.empty() ? profile_.request_id
                                               : profile_.program);
}

base::Duration ForwardedRequest::StoreWait() const {
  bool limited = service_->engine && profile_.token_budget.has_value();
  int writes = (limited ? 1 : 0) + (route_->stateful ? 1 : 0);
  return writes * context_.table.expected_wait();
}

bool ForwardedRequest::AdmitUnderLoad() {
  auto now = base::TimePoint::clock::now();
  admission::OfferedRequest offered;
  offered.service = service_->name;
  offered.program_hash = program_hash();
  if (!chain_.links.empty())
    offered.conversation_hash = chain_.links.back().key;
  // Calls of tools follow a turn of their program.
  bool tool_call = !service_->engine && !profile_.program.empty();
  offered.follows_earlier_work = tool_call || !profile_.previous_turn.empty() ||
                                 !profile_.last_event_id.empty();
  offered.priority = priority();
  offered.goal = route_->goal;
  offered.time_left = time_left();
  offered.other_wait = StoreWait();
  admission::ServiceLoad load =
      LoadOf(context_.registry.servers(service_->name), now);
  admission::AdmissionDecision decision =
      context_.admission.Decide(offered, load, now, context_.random);
  if (decision.admitted)
    return true;
  context_.metrics.overload_refusals.Add();
  base::Duration service_time =
      context_.admission.service_times().mean(service_->name);
  base::LogEvent(
      base::LogLevel::kInfo, "overload_refused",
      {{"request", profile_.request_id},
       {"program", profile_.program},
       {"service", service_->name},
       {"slot_wait_ms", Ms(admission::ExpectedWait(load, service_time))},
       {"store_wait_ms", Ms(offered.other_wait)},
       {"service_ms", Ms(service_time)},
       {"open", std::to_string(load.open)},
       {"slots", std::to_string(load.slots)},
       {"retry_after_ms", std::to_string(decision.retry_after.count())}});
  Refuse("the servers complete no more requests in time", decision.retry_after);
  return false;
}

void ForwardedRequest::RecordServiceTime() {
  context_.admission.OnCompleted(service_->name,
                                 base::TimePoint::clock::now() - sent_at_,
                                 placement_.open, slot_->server.slots);
}

}  // namespace vanillalever::forwarding
