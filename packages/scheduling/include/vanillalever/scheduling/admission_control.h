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
      base::seconds(4), base::seconds(3), base::seconds(2)};
  // Share of the pool's KV memory in use up to which a program of each priority
  // may start. Programs grow while they run; beyond the memory each turn evicts
  // another program's prefix, which must then be recomputed.
  std::array<double, kPriorityCount> max_kv_cache_usage = {2.0, 0.6, 0.55};
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

// State of the pool that would run the work.
struct PoolState {
  // Wait that a call would see now.
  base::Duration expected_wait{0};
  // Mean share of the servers' KV memory that is in use, in [0, 1].
  double kv_cache_usage = 0;
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

  // The retry-after is spread at random, so that refused callers do not return
  // together.
  AdmissionDecision Decide(base::TimePoint now,
                           const AdmissionRequest& request,
                           const PoolState& pool,
                           base::Random& random) const;

 private:
  AdmissionSettings settings_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_
