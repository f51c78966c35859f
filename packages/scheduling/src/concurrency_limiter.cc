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
  recent_ = recent_ == 0 ? seconds_per_token
                         : recent_ + settings_.recent_weight *
                                         (seconds_per_token - recent_);
  // The unloaded time rises slowly, so that a server that has become slower
  // for good is not throttled for ever.
  unloaded_ = unloaded_ == 0 ? seconds_per_token
                             : std::min(unloaded_ * 1.0005, seconds_per_token);
  if (recent_ > settings_.tolerance * unloaded_) {
    if (now - last_decrease_ < settings_.decrease_interval)
      return;
    last_decrease_ = now;
    limit_ = std::max(static_cast<double>(settings_.min_limit),
                      limit_ * settings_.decrease);
    return;
  }
  // Growth needs evidence: an unused limit is not raised.
  if (running + 1 >= limit()) {
    limit_ = std::min(static_cast<double>(settings_.max_limit),
                      limit_ + 1.0 / limit_);
  }
}

}  // namespace vanillalever::scheduling
