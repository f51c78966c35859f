#include "vanillalever/scheduling/least_connections_picker.h"

namespace vanillalever::scheduling {

std::optional<std::size_t> LeastConnectionsPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& random) {
  std::optional<std::size_t> best;
  std::uint64_t ties = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!IsEligible(candidates[i], call))
      continue;
    if (!best || candidates[i].open_calls < candidates[*best].open_calls) {
      best = i;
      ties = 1;
    } else if (candidates[i].open_calls == candidates[*best].open_calls &&
               random.Below(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

}  // namespace vanillalever::scheduling
