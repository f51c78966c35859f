#ifndef VANILLALEVER_SCHEDULING_ROUND_ROBIN_PICKER_H_
#define VANILLALEVER_SCHEDULING_ROUND_ROBIN_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

// Baseline: eligible servers in turn.
class RoundRobinPicker final : public ServerPicker {
 public:
  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;

 private:
  // Position at which the next scan starts.
  std::size_t next_ = 0;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ROUND_ROBIN_PICKER_H_
