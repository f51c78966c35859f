#ifndef VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_
#define VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_

#include <array>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

// Settings of AdmissionControl.
struct AdmissionSettings {
  // Longest expected wait at which a program of each priority may start.
  std::array<base::Duration, kPriorityCount> max_wait = {
      base::seconds(20), base::seconds(10), base::seconds(5)};
  // Share of the time left to the deadline that waiting may use up.
  double deadline_share = 0.8;
  // Bounds of the retry-after that a refusal carries.
  base::Duration min_retry_after = base::milliseconds(500);
  base::Duration max_retry_after = base::seconds(30);
};

// What is known about a program or call that asks for admission.
struct AdmissionRequest {
  Priority priority = Priority::kNormal;
  base::TimePoint deadline{};
  // Time the work itself is expected to take, without waiting.
  base::Duration expected_run{0};
  // The program has been admitted before. Its work so far is lost if it is
  // refused now, so only its deadline counts.
  bool in_progress = false;
};

// Outcome of an admission decision.
struct AdmissionDecision {
  bool admitted = false;
  // When to ask again; zero when admitted.
  base::Duration retry_after{0};
};

// Refuses work early that would miss its deadline or that must yield to more
// important work. A refused call did not run.
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionSettings settings = AdmissionSettings());

  // `expected_wait` is the wait that the call would see now. The retry-after is
  // spread at random, so that refused callers do not return together.
  AdmissionDecision Decide(base::TimePoint now,
                           const AdmissionRequest& request,
                           base::Duration expected_wait,
                           base::Random& random) const;

 private:
  AdmissionSettings settings_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_
