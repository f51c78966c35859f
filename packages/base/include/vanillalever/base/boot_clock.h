#ifndef VANILLALEVER_BASE_BOOT_CLOCK_H_
#define VANILLALEVER_BASE_BOOT_CLOCK_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::base {

// Clock of the operating system that also runs while the machine is suspended
// (CLOCK_BOOTTIME). Its time points are comparable only with each other.
class BootClock final : public Clock {
 public:
  TimePoint now() const override;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_BOOT_CLOCK_H_
