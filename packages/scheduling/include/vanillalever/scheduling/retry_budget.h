#ifndef VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_
#define VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_

#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::scheduling {

// Settings of RetryBudget.
struct RetryBudgetSettings {
  // Retries allowed per success.
  double ratio = 0.1;
  // Largest number of retries saved up.
  double max_tokens = 20;
  // Retries allowed before the first success.
  double initial_tokens = 5;
  // Upper bound of the first delay; doubles with each attempt.
  base::Duration base_delay = base::milliseconds(50);
  base::Duration max_delay = base::seconds(2);
};

// Bounds retries to a fraction of successes, so that retries cannot multiply
// the load of an overloaded pool. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = RetryBudgetSettings());

  // A call succeeded.
  void OnSuccess();

  // Delay before retry number `attempt` (from 1), drawn uniformly between zero
  // and the exponential bound (full jitter). Nothing when the budget is used up
  // or the delay would pass the call's propagated `deadline`; then the budget
  // is not charged.
  std::optional<base::Duration> TryRetry(base::TimePoint now,
                                         base::TimePoint deadline,
                                         int attempt,
                                         base::Random& random);

  // Retries that may still be made.
  double tokens() const { return tokens_; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_
