#ifndef VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_
#define VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_

#include <cstddef>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

struct ConcurrencyLimiterSettings {
  std::size_t min_limit = 2;
  std::size_t max_limit = 64;
  std::size_t initial_limit = 16;
  // Ratio of recent to unloaded time per token above which the limit decreases.
  // Well above one, because batching lengthens the time per token but increases
  // throughput.
  double max_latency_ratio = 2.5;
  // Factor applied to the limit when the ratio is exceeded.
  double decrease_factor = 0.9;
  // Minimum time between two decreases, so that a burst causes only one.
  base::Duration decrease_interval = base::seconds(1);
  // Weight of a sample in the moving average of the time per token.
  double recent_weight = 0.1;
};

// Adapts a server's concurrency limit to its latency: additive increase while
// the limit is reached and the latency is acceptable, multiplicative decrease
// when the latency is too high (AIMD). Not thread-safe.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(
      ConcurrencyLimiterSettings settings = ConcurrencyLimiterSettings());

  // A call ended that took `seconds_per_token` while `running` calls were
  // running.
  void OnCompletion(base::TimePoint now,
                    double seconds_per_token,
                    std::size_t running);

  // Maximum concurrent calls.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

 private:
  ConcurrencyLimiterSettings settings_;
  double limit_;
  // Moving average of the time per token; zero before the first sample.
  double recent_seconds_per_token_ = 0;
  // Time per token of the unloaded server; zero before the first sample.
  double unloaded_seconds_per_token_ = 0;
  base::TimePoint last_decrease_{};
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_
