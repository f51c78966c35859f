#include "vanillalever/scheduling/concurrency_limiter.h"

#include <algorithm>

namespace vanillalever::scheduling {

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterSettings settings)
    : settings_(settings),
      limit_(static_cast<double>(settings.initial_limit)) {}

void ConcurrencyLimiter::OnCompletion(base::TimePoint now,
                                      double seconds_per_token,
                                      std::size_t running) {
  if (seconds_per_token <= 0)
    return;
  recent_seconds_per_token_ =
      recent_seconds_per_token_ == 0
          ? seconds_per_token
          : recent_seconds_per_token_ +
                settings_.recent_weight *
                    (seconds_per_token - recent_seconds_per_token_);
  // The unloaded time increases slowly, so that a server that has permanently
  // become slower is not throttled indefinitely.
  unloaded_seconds_per_token_ =
      unloaded_seconds_per_token_ == 0
          ? seconds_per_token
          : std::min(unloaded_seconds_per_token_ * 1.0005, seconds_per_token);
  if (recent_seconds_per_token_ >
      settings_.max_latency_ratio * unloaded_seconds_per_token_) {
    if (now - last_decrease_ < settings_.decrease_interval)
      return;
    last_decrease_ = now;
    limit_ = std::max(static_cast<double>(settings_.min_limit),
                      limit_ * settings_.decrease_factor);
    return;
  }
  // The limit increases only while it is reached.
  if (running + 1 >= limit()) {
    limit_ = std::min(static_cast<double>(settings_.max_limit),
                      limit_ + 1.0 / limit_);
  }
}

}  // namespace vanillalever::scheduling
