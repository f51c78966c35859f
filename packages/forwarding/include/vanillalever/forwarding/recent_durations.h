#ifndef VANILLALEVER_FORWARDING_RECENT_DURATIONS_H_
#define VANILLALEVER_FORWARDING_RECENT_DURATIONS_H_

#include <string>
#include <unordered_map>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// The longest time that responses of each route took lately, from the arrival
// of the request to the end of its response. Not thread-safe.
class RecentDurations {
 public:
  // Durations are forgotten after one to two windows.
  static constexpr base::seconds kWindow{30};

  void Record(const std::string& route,
              base::Duration duration,
              base::TimePoint now);

  // Zero if the route has had no response lately.
  base::Duration longest(const std::string& route, base::TimePoint now);

 private:
  using DurationsByRoute = std::unordered_map<std::string, base::Duration>;

  void ForgetOld(base::TimePoint now);

  DurationsByRoute current_;
  DurationsByRoute previous_;
  base::TimePoint window_started_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RECENT_DURATIONS_H_
