#include "vanillalever/guard/crash_attribution.h"

#include <algorithm>

namespace vanillalever::guard {

CrashAttribution::CrashAttribution(CrashAttributionSettings settings)
    : settings_(settings) {}

bool CrashAttribution::OnInterrupted(const std::string& run,
                                     const InterruptedRequest& request,
                                     base::TimePoint now) {
  if (ended_.contains(run))
    return true;
  if (count_ < settings_.max_interruptions) {
    interruptions_[run].push_back({request, now});
    ++count_;
  }
  return false;
}

void CrashAttribution::OnAlive(const std::string& run,
                               base::TimePoint sent_at) {
  if (auto found = ended_.find(run);
      found != ended_.end() && found->second < sent_at)
    ended_.erase(found);
  auto found = interruptions_.find(run);
  if (found == interruptions_.end())
    return;
  count_ -= std::erase_if(found->second, [sent_at](const Interruption& item) {
    return item.at < sent_at;
  });
  if (found->second.empty())
    interruptions_.erase(found);
}

std::vector<InterruptedRequest> CrashAttribution::OnRunEnded(
    const std::string& run,
    base::TimePoint now) {
  ended_.try_emplace(run, now);
  std::vector<InterruptedRequest> requests;
  auto found = interruptions_.find(run);
  if (found == interruptions_.end())
    return requests;
  // Of several copies of a request the one that was sent last counts.
  std::map<std::string, base::Duration> by_fingerprint;
  for (const auto& [request, at] : found->second) {
    if (now - at > settings_.window)
      continue;
    auto [known, added] =
        by_fingerprint.try_emplace(request.fingerprint, request.at_work);
    known->second = std::min(known->second, request.at_work);
  }
  count_ -= found->second.size();
  interruptions_.erase(found);
  for (const auto& [fingerprint, at_work] : by_fingerprint)
    requests.push_back({fingerprint, at_work});
  return requests;
}

bool CrashAttribution::Interrupted(const std::string& run,
                                   const std::string& fingerprint) const {
  auto found = interruptions_.find(run);
  return found != interruptions_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&fingerprint](const Interruption& item) {
                       return item.request.fingerprint == fingerprint;
                     });
}

void CrashAttribution::Expire(base::TimePoint now) {
  for (auto next = interruptions_.begin(); next != interruptions_.end();) {
    auto& list = next->second;
    count_ -= std::erase_if(list, [this, now](const Interruption& item) {
      return now - item.at > settings_.window;
    });
    next = list.empty() ? interruptions_.erase(next) : std::next(next);
  }
  std::erase_if(ended_, [this, now](const auto& item) {
    return now - item.second > settings_.retention;
  });
}

}  // namespace vanillalever::guard
