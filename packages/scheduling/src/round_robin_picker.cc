#include "vanillalever/scheduling/round_robin_picker.h"

namespace vanillalever::scheduling {

std::optional<std::size_t> RoundRobinPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& /*random*/) {
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    std::size_t index = (next_ + step) % candidates.size();
    if (!IsEligible(candidates[index], call))
      continue;
    next_ = index + 1;
    return index;
  }
  return std::nullopt;
}

}  // namespace vanillalever::scheduling
