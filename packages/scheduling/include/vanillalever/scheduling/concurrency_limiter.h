#ifndef VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_
#define VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_

#include <cstddef>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Settings of ConcurrencyLimiter.
struct ConcurrencyLimiterSettings {
  std::size_t min_limit = 2;
  std::size_t max_limit = 64;
  std::size_t initial_limit = 16;
  // Ratio of recent to unloaded time per token at which the limit stops
  // growing. Batching makes each token slower but the whole faster, so a ratio
  // well above one is wanted.
  double tolerance = 2.5;
  // Factor on the limit when the ratio is exceeded.
  double decrease = 0.9;
  // Time between two decreases, so that one burst counts once.
  base::Duration decrease_interval = base::seconds(1);
  // Weight of a sample in the recent time per token.
  double recent_weight = 0.1;
};

// Adapts the number of calls that run at once on a server to the latency it
// shows: additive increase while the limit is used and latency is tolerable,
// multiplicative decrease otherwise. Not thread-safe.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(
      ConcurrencyLimiterSettings settings = ConcurrencyLimiterSettings());

  // A call ended that took `seconds_per_token` while `running` calls ran.
  void OnCompletion(base::TimePoint now,
                    double seconds_per_token,
                    std::size_t running);

  // Calls that may run at once.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

 private:
  ConcurrencyLimiterSettings settings_;
  double limit_;
  // Moving average of the time per token, in seconds; zero before a sample.
  double recent_ = 0;
  // Time per token of the unloaded server, in seconds; zero before a sample.
  double unloaded_ = 0;
  base::TimePoint last_decrease_{};
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CONCURRENCY_LIMITER_H_
