#include "vanillalever/admission/admission_control.h"

namespace vanillalever::admission {
namespace {

// A priority competes as long as its requests come at least this often.
constexpr base::seconds kUrgencyLifetime{2};

}  // namespace

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : policy_(settings) {}

AdmissionDecision AdmissionControl::Decide(const OfferedRequest& offered,
                                           const ServiceLoad& load,
                                           base::TimePoint now,
                                           base::Random& random) {
  AdmissionRequest request;
  request.program_hash = offered.program_hash;
  request.begun = offered.follows_earlier_work ||
                  begun_.Contains(offered.program_hash, now) ||
                  (offered.conversation_hash != 0 &&
                   begun_.Contains(offered.conversation_hash, now));
  request.less_urgent = IsLessUrgent(offered, now);
  request.goal = offered.goal;
  request.time_left = offered.time_left;
  request.service_time = service_times_.mean(offered.service);
  base::Duration wait =
      ExpectedWait(load, request.service_time) + offered.other_wait;
  base::Duration smoothed = waits_[std::string(offered.service)].Add(wait, now);
  if (wait > base::Duration(0))
    request.wait = smoothed;
  return policy_.Decide(request, random);
}

void AdmissionControl::OnBegun(std::uint64_t hash, base::TimePoint now) {
  begun_.Add(hash, now);
}

void AdmissionControl::OnCompleted(std::string_view service,
                                   base::Duration duration,
                                   int open,
                                   int slots) {
  service_times_.Record(service, duration, open, slots);
}

bool AdmissionControl::IsLessUrgent(const OfferedRequest& request,
                                    base::TimePoint now) {
  auto [found, added] = most_urgent_.try_emplace(
      std::string(request.service), Urgency{request.priority, now});
  Urgency& urgency = found->second;
  bool competes = now - urgency.seen_at < kUrgencyLifetime;
  if (competes && request.priority > urgency.priority)
    return true;
  urgency = {request.priority, now};
  return false;
}

}  // namespace vanillalever::admission
