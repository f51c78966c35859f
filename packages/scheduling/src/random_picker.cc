#include "vanillalever/scheduling/random_picker.h"

namespace vanillalever::scheduling {

std::optional<std::size_t> RandomPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& random) {
  if (candidates.empty())
    return std::nullopt;
  // A random start followed by a scan would favour the neighbours of
  // ineligible servers, so the eligible ones are counted first.
  std::size_t eligible = 0;
  for (const Candidate& candidate : candidates) {
    if (Eligible(candidate, call))
      ++eligible;
  }
  if (eligible == 0)
    return std::nullopt;
  std::size_t skip = random.Below(eligible);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!Eligible(candidates[i], call))
      continue;
    if (skip == 0)
      return i;
    --skip;
  }
  return std::nullopt;
}

}  // namespace vanillalever::scheduling
