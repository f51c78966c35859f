#ifndef VANILLALEVER_SCHEDULING_RANDOM_PICKER_H_
#define VANILLALEVER_SCHEDULING_RANDOM_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

// Baseline: an eligible server chosen uniformly at random.
class RandomPicker final : public ServerPicker {
 public:
  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_RANDOM_PICKER_H_
