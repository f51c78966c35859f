#ifndef VANILLALEVER_SCHEDULING_SERVER_PICKER_H_
#define VANILLALEVER_SCHEDULING_SERVER_PICKER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/candidate.h"

namespace vanillalever::scheduling {

// Load-balancing strategy that chooses the backend server of a call.
// Implementations are not thread-safe.
class ServerPicker {
 public:
  virtual ~ServerPicker() = default;

  // Returns the position of the chosen server in `candidates`; nullopt if no
  // candidate is eligible.
  virtual std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                          const CallProfile& call,
                                          base::Random& random) = 0;
};

enum class PickerKind {
  kEstimatedCompletion,
  kRandom,
  kRoundRobin,
  kLeastConnections,
  kCacheAffinity,
};

inline constexpr base::NameTable<PickerKind, 5> kPickerKindNames({
    "estimated_completion",
    "random",
    "round_robin",
    "least_connections",
    "cache_affinity",
});

// Creates a picker of the given kind with default settings.
std::unique_ptr<ServerPicker> MakeServerPicker(PickerKind kind);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_SERVER_PICKER_H_
