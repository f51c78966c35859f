#include "vanillalever/base/boot_clock.h"

#include <ctime>

namespace vanillalever::base {

TimePoint BootClock::now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace vanillalever::base
