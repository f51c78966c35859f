#ifndef VANILLALEVER_SCHEDULING_CACHE_AFFINITY_PICKER_H_
#define VANILLALEVER_SCHEDULING_CACHE_AFFINITY_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

// Baseline: the server that holds the longest prefix, regardless of its load.
// If no server holds one, the server with the highest rendezvous hash.
class CacheAffinityPicker final : public ServerPicker {
 public:
  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CACHE_AFFINITY_PICKER_H_
