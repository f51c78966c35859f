#ifndef VANILLALEVER_PACING_CALL_PACER_H_
#define VANILLALEVER_PACING_CALL_PACER_H_

#include <cstddef>
#include <optional>

#include "vanillalever/base/clock.h"

namespace vanillalever::pacing {

// Settings of CallPacer.
struct CallPacerSettings {
  // Calls a second that the service takes from all callers together; zero: they
  // are not paced.
  double calls_per_second = 0;
  // A call that would wait longer is not made.
  base::milliseconds max_wait{250};
  // Calls are paced for this long after the last one beyond the rate.
  base::milliseconds memory{2000};
};

// Spaces the calls of one caller to a service that refuses calls beyond a rate
// that all callers share. Intended for bursts: a refused call that is repeated
// at once takes the place of another one, so that the callers together keep the
// service busy with refusals after the burst has ended. Nothing is paced until
// a call is refused. From then on the caller starts with its equal share of the
// rate, takes more while nothing is refused, and less with each refusal.
// Not thread-safe.
class CallPacer {
 public:
  explicit CallPacer(CallPacerSettings settings = {}) : settings_(settings) {}

  // Number of callers that share the rate, this one included.
  void SetCallers(std::size_t callers);
  // A call was refused because it was beyond the rate.
  void OnRefused(base::TimePoint now);

  // Time until the next call may be made, which counts as made then; absent if
  // that is too late, so that the call is not made.
  std::optional<base::Duration> Reserve(base::TimePoint now);

  // Whether calls are being paced.
  bool pacing(base::TimePoint now) const;
  // Present pace in calls a second.
  double calls_per_second(base::TimePoint now) const;

 private:
  double equal_share() const {
    return settings_.calls_per_second / static_cast<double>(callers_);
  }

  CallPacerSettings settings_;
  std::size_t callers_ = 1;
  // Pace at `pace_set_at_`.
  double pace_ = 0;
  base::TimePoint pace_set_at_{};
  std::optional<base::TimePoint> last_refusal_;
  base::TimePoint next_call_{};
};

}  // namespace vanillalever::pacing

#endif  // VANILLALEVER_PACING_CALL_PACER_H_
