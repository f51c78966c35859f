#ifndef VANILLALEVER_SCHEDULING_LEAST_CONNECTIONS_PICKER_H_
#define VANILLALEVER_SCHEDULING_LEAST_CONNECTIONS_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

// Baseline: the eligible server with the fewest open calls from this process,
// with random tie-breaking.
class LeastConnectionsPicker final : public ServerPicker {
 public:
  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_LEAST_CONNECTIONS_PICKER_H_
