#include "vanillalever/scheduling/retry_budget.h"

#include <algorithm>

namespace vanillalever::scheduling {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings_(settings), tokens_(settings.initial_tokens) {}

void RetryBudget::OnSuccess() {
  tokens_ = std::min(settings_.max_tokens, tokens_ + settings_.ratio);
}

std::optional<base::Duration> RetryBudget::TryRetry(base::TimePoint now,
                                                    base::TimePoint deadline,
                                                    int attempt,
                                                    base::Random& random) {
  if (tokens_ < 1)
    return std::nullopt;
  base::Duration bound = settings_.base_delay;
  for (int i = 1; i < attempt && bound < settings_.max_delay; ++i)
    bound *= 2;
  bound = std::min(bound, settings_.max_delay);
  auto delay =
      std::chrono::duration_cast<base::Duration>(bound * random.Uniform());
  if (now + delay >= deadline)
    return std::nullopt;
  tokens_ -= 1;
  return delay;
}

}  // namespace vanillalever::scheduling
