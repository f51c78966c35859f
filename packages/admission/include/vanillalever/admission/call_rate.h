#ifndef VANILLALEVER_ADMISSION_CALL_RATE_H_
#define VANILLALEVER_ADMISSION_CALL_RATE_H_

#include <cstddef>

#include "vanillalever/base/clock.h"

namespace vanillalever::admission {

// Calls that one of several gateways may make to a service that takes a stated
// number a second from all of them together. A gateway yields when the service
// refuses a call, and takes more again while none is refused, so that those
// with more demand get more than an equal part. No messages pass. Not
// thread-safe.
class CallRate {
 public:
  // `limit_per_second`: of all gateways together; zero for no limit.
  explicit CallRate(double limit_per_second);

  // Number of live gateways, this one included.
  void SetGateways(std::size_t gateways);

  // Whether a call may be made now. Counts it if so.
  bool TakeCall(base::TimePoint now);
  // Time until the next call may be made.
  base::Duration until_next(base::TimePoint now);
  // The service refused a call because there were too many.
  void OnRefused(base::TimePoint now);

  bool limited() const { return limit_per_second_ > 0; }
  // Calls a second that this gateway may make.
  double per_second() const { return rate_; }

 private:
  double equal_part() const;
  void Advance(base::TimePoint now);

  const double limit_per_second_;
  std::size_t gateways_ = 1;
  double rate_ = 0;
  // Calls made lately, a second.
  double used_ = 0;
  // Calls that may be made now.
  double ready_ = 0;
  base::TimePoint advanced_at_{};
  base::TimePoint yielded_at_{};
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_CALL_RATE_H_
