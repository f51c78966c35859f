#include "vanillalever/admission/smoothed_wait.h"

#include <chrono>
#include <cmath>

namespace vanillalever::admission {

base::Duration SmoothedWait::Add(base::Duration wait, base::TimePoint now) {
  double constants = std::chrono::duration<double>(now - updated_at_) /
                     std::chrono::duration<double>(kTimeConstant);
  updated_at_ = now;
  average_ += std::chrono::duration_cast<base::Duration>(
      (1 - std::exp(-constants)) * (wait - average_));
  return average_;
}

}  // namespace vanillalever::admission
