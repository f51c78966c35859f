#include "vanillalever/scheduling/random_picker.h"

namespace vanillalever::scheduling {

std::optional<std::size_t> RandomPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& random) {
  if (candidates.empty())
    return std::nullopt;
  // Counts the eligible servers first: scanning from a random position would
  // favour servers that follow ineligible ones.
  std::size_t eligible_count = 0;
  for (const Candidate& candidate : candidates) {
    if (IsEligible(candidate, call))
      ++eligible_count;
  }
  if (eligible_count == 0)
    return std::nullopt;
  std::size_t skip = random.Below(eligible_count);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!IsEligible(candidates[i], call))
      continue;
    if (skip == 0)
      return i;
    --skip;
  }
  return std::nullopt;
}

}  // namespace vanillalever::scheduling
