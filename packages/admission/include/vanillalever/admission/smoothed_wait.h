#ifndef VANILLALEVER_ADMISSION_SMOOTHED_WAIT_H_
#define VANILLALEVER_ADMISSION_SMOOTHED_WAIT_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::admission {

// Moving average of an expected wait: in a short dip, callers that return would
// all be admitted.
class SmoothedWait {
 public:
  // About the age of what gateways know of each other's requests.
  static constexpr base::milliseconds kTimeConstant{100};

  // Adds the wait as it is now, and returns the average.
  base::Duration Add(base::Duration wait, base::TimePoint now);

 private:
  base::Duration average_{0};
  base::TimePoint updated_at_{};
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_SMOOTHED_WAIT_H_
