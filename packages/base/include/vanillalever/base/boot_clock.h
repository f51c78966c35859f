#ifndef VANILLALEVER_BASE_BOOT_CLOCK_H_
#define VANILLALEVER_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace vanillalever::base {

// Time since the start of the machine. Unlike the monotonic clock it also runs
// while the machine is suspended (CLOCK_BOOTTIME): for permissions that run
// out. Time points of different machines are not comparable.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using BootTime = BootClock::time_point;

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_BOOT_CLOCK_H_
