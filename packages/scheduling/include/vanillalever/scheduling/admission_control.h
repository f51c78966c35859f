#ifndef VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_
#define VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_

#include <array>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

struct AdmissionSettings {
  // Maximum expected wait at which a program may start, by priority.
  std::array<base::Duration, kPriorityCount> max_wait = {
      base::seconds(4), base::seconds(3), base::seconds(2)};
  // Maximum share of the pool's KV memory in use at which a program may start,
  // by priority; 2 is in effect unlimited. Prompts grow during a run; once the
  // memory is full, each turn evicts a prefix that must then be recomputed.
  std::array<double, kPriorityCount> max_kv_cache_usage = {2.0, 0.6, 0.55};
  // Share of the slack before the deadline that may be spent waiting.
  double deadline_share = 0.8;
  // Bounds of the retry-after in a refusal.
  base::Duration min_retry_after = base::milliseconds(500);
  base::Duration max_retry_after = base::seconds(30);
};

// Program or call that requests admission.
struct AdmissionRequest {
  Priority priority = Priority::kNormal;
  base::TimePoint deadline{};
  // Expected execution time, without waiting.
  base::Duration expected_run_time{0};
  // The program was admitted earlier. A refusal would waste its work so far, so
  // only its deadline is checked.
  bool in_progress = false;
};

// State of the pool that would run the work.
struct PoolState {
  // Expected wait of a call that arrives now.
  base::Duration expected_wait{0};
  // Mean share of the servers' KV memory that is in use, in [0, 1].
  double kv_cache_usage = 0;
};

struct AdmissionDecision {
  bool admitted = false;
  // Delay before the next attempt; zero if admitted.
  base::Duration retry_after{0};
};

// Refuses work before it is queued if it would miss its deadline or if the load
// is too high for its priority. A refused call did not run.
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionSettings settings = AdmissionSettings());

  // The retry-after has random jitter, so that refused callers do not retry at
  // the same time.
  AdmissionDecision Decide(base::TimePoint now,
                           const AdmissionRequest& request,
                           const PoolState& pool,
                           base::Random& random) const;

 private:
  AdmissionSettings settings_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ADMISSION_CONTROL_H_
