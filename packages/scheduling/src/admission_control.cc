#include "vanillalever/scheduling/admission_control.h"

#include <algorithm>

namespace vanillalever::scheduling {

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : settings_(settings) {}

AdmissionDecision AdmissionControl::Decide(base::TimePoint now,
                                           const AdmissionRequest& request,
                                           const PoolState& pool,
                                           base::Random& random) const {
  base::Duration slack = request.deadline - now - request.expected_run_time;
  auto usable_slack = std::chrono::duration_cast<base::Duration>(
      slack * settings_.deadline_share);
  base::Duration wait_limit = usable_slack;
  bool memory_available = true;
  if (!request.in_progress) {
    auto priority = static_cast<std::size_t>(request.priority);
    wait_limit = std::min(usable_slack, settings_.max_wait[priority]);
    memory_available =
        pool.kv_cache_usage <= settings_.max_kv_cache_usage[priority];
  }
  if (memory_available && wait_limit > base::Duration(0) &&
      pool.expected_wait <= wait_limit)
    return {.admitted = true, .retry_after = base::Duration(0)};
  base::Duration excess =
      pool.expected_wait - std::max(wait_limit, base::Duration(0));
  base::Duration mean_delay =
      std::clamp(excess, settings_.min_retry_after, settings_.max_retry_after);
  auto delay = std::chrono::duration_cast<base::Duration>(
      mean_delay * (0.5 + random.Uniform()));
  return {.admitted = false,
          .retry_after = std::max(delay, settings_.min_retry_after)};
}

}  // namespace vanillalever::scheduling
