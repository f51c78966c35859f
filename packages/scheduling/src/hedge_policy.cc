#include "vanillalever/scheduling/hedge_policy.h"

#include <algorithm>

namespace vanillalever::scheduling {
namespace {

// Samples between two updates of a class's threshold.
constexpr std::size_t kRefreshInterval = 10;

}  // namespace

HedgePolicy::HedgePolicy(HedgePolicySettings settings)
    : settings_(settings), credit_(settings.max_credit) {}

void HedgePolicy::OnDispatch(double work) {
  credit_ =
      std::min(settings_.max_credit, credit_ + settings_.budget_share * work);
}

void HedgePolicy::OnLatency(int program_class, base::Duration latency) {
  LatencyWindow& window = windows_[program_class];
  if (window.latencies.size() < settings_.window_size)
    window.latencies.push_back(latency);
  else
    window.latencies[window.next % settings_.window_size] = latency;
  ++window.next;
  if (window.latencies.size() < settings_.min_samples ||
      window.next % kRefreshInterval != 0)
    return;
  std::vector<base::Duration> sorted = window.latencies;
  auto rank = static_cast<std::size_t>(settings_.quantile *
                                       static_cast<double>(sorted.size() - 1));
  auto quantile = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), quantile, sorted.end());
  window.threshold = *quantile;
}

std::optional<base::Duration> HedgePolicy::HedgeDelay(int program_class,
                                                      double work) const {
  auto found = windows_.find(program_class);
  if (found == windows_.end() || work > settings_.max_work ||
      found->second.threshold == base::Duration(0))
    return std::nullopt;
  return found->second.threshold;
}

bool HedgePolicy::TryHedge(double work) {
  if (work > settings_.max_work || work > credit_)
    return false;
  credit_ -= work;
  hedged_work_ += work;
  return true;
}

void HedgePolicy::OnCancelled(double unused_work) {
  credit_ = std::min(settings_.max_credit, credit_ + unused_work);
  hedged_work_ = std::max(0.0, hedged_work_ - unused_work);
}

}  // namespace vanillalever::scheduling
