#ifndef VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_
#define VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_

#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::scheduling {

struct RetryBudgetSettings {
  // Retries earned per successful call.
  double ratio = 0.1;
  // Maximum number of retries that accumulate.
  double max_tokens = 20;
  // Retries allowed before the first success.
  double initial_tokens = 5;
  // Upper bound of the first delay; doubles with each attempt up to max_delay.
  base::Duration base_delay = base::milliseconds(50);
  base::Duration max_delay = base::seconds(2);
};

// Limits retries to a fraction of the successful calls, so that retries cannot
// multiply the load on an overloaded pool. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = RetryBudgetSettings());

  void OnSuccess();

  // Charges the budget and returns the delay before retry number `attempt`
  // (from 1), drawn uniformly between zero and the exponential bound (full
  // jitter). Returns nullopt without a charge if the budget is exhausted or the
  // delay would exceed the call's propagated `deadline`.
  std::optional<base::Duration> TryRetry(base::TimePoint now,
                                         base::TimePoint deadline,
                                         int attempt,
                                         base::Random& random);

  // Remaining retries.
  double tokens() const { return tokens_; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_RETRY_BUDGET_H_
