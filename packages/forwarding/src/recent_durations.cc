#include "vanillalever/forwarding/recent_durations.h"

#include <algorithm>
#include <utility>

namespace vanillalever::forwarding {

void RecentDurations::Record(const std::string& route,
                             base::Duration duration,
                             base::TimePoint now) {
  ForgetOld(now);
  base::Duration& longest = current_[route];
  longest = std::max(longest, duration);
}

base::Duration RecentDurations::longest(const std::string& route,
                                        base::TimePoint now) {
  ForgetOld(now);
  base::Duration result{0};
  for (const DurationsByRoute* durations : {&current_, &previous_}) {
    if (auto found = durations->find(route); found != durations->end())
      result = std::max(result, found->second);
  }
  return result;
}

void RecentDurations::ForgetOld(base::TimePoint now) {
  base::Duration age = now - window_started_;
  if (age < kWindow)
    return;
  previous_ = age < 2 * kWindow ? std::move(current_) : DurationsByRoute();
  current_.clear();
  window_started_ = now;
}

}  // namespace vanillalever::forwarding
