#include "vanillalever/scheduling/admission_control.h"

#include <algorithm>

namespace vanillalever::scheduling {

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : settings_(settings) {}

AdmissionDecision AdmissionControl::Decide(base::TimePoint now,
                                           const AdmissionRequest& request,
                                           const PoolState& pool,
                                           base::Random& random) const {
  base::Duration left = request.deadline - now - request.expected_run;
  auto usable = std::chrono::duration_cast<base::Duration>(
      left * settings_.deadline_share);
  base::Duration allowed = usable;
  bool memory_left = true;
  if (!request.in_progress) {
    auto level = static_cast<std::size_t>(request.priority);
    allowed = std::min(usable, settings_.max_wait[level]);
    memory_left = pool.kv_cache_usage <= settings_.max_kv_cache_usage[level];
  }
  if (memory_left && allowed > base::Duration(0) &&
      pool.expected_wait <= allowed)
    return {.admitted = true, .retry_after = base::Duration(0)};
  base::Duration excess =
      pool.expected_wait - std::max(allowed, base::Duration(0));
  base::Duration bound =
      std::clamp(excess, settings_.min_retry_after, settings_.max_retry_after);
  auto delay = std::chrono::duration_cast<base::Duration>(
      bound * (0.5 + random.Uniform()));
  return {.admitted = false,
          .retry_after = std::max(delay, settings_.min_retry_after)};
}

}  // namespace vanillalever::scheduling
