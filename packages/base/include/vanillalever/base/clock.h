#ifndef VANILLALEVER_BASE_CLOCK_H_
#define VANILLALEVER_BASE_CLOCK_H_

#include <chrono>

namespace vanillalever::base {

// Monotonic time. Time points of different processes are not comparable.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Source of monotonic time. Decision code does not use a clock; it takes the
// time as an argument.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

// Clock of the operating system (CLOCK_MONOTONIC).
class SteadyClock final : public Clock {
 public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

// Clock for tests; time moves only when Advance() is called.
class ManualClock final : public Clock {
 public:
  TimePoint now() const override { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  // Starts above zero so that `now - duration` stays representable.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_CLOCK_H_
