#include "vanillalever/base/boot_clock.h"

#include <ctime>

namespace vanillalever::base {

BootTime BootClock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(std::chrono::seconds(time.tv_sec) +
                  std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace vanillalever::base
