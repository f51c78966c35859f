#ifndef VANILLALEVER_EXECUTION_DRAIN_STATE_H_
#define VANILLALEVER_EXECUTION_DRAIN_STATE_H_

#include <cstddef>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::execution {

enum class DrainPhase {
  kServing,   // accepts work
  kDraining,  // refuses new work as not run; accepted work continues
  kDrained,   // the process may exit
};

inline constexpr base::NameTable<DrainPhase, 3> kDrainPhaseNames({
    "serving",
    "draining",
    "drained",
});

struct DrainSettings {
  // Longest wait for acknowledgements of results after the last work has ended.
  // Longer than most outages of the platform; without a limit a result whose
  // owner no longer exists would prevent the exit indefinitely.
  base::Duration acknowledgement_timeout = base::seconds(300);
};

// Tracks the graceful shutdown of a sidecar. A drain cannot be cancelled within
// one incarnation. Not thread-safe.
class DrainState {
 public:
  explicit DrainState(DrainSettings settings);

  // Starts draining, requested by a signal or by the instance list. Idempotent.
  void Begin();

  // Whether new work is accepted rather than refused as not run.
  bool accepting() const { return phase_ == DrainPhase::kServing; }

  // Returns the phase at `now`, given the number of work items queued or
  // running and of results not yet acknowledged. Must be called with current
  // numbers before the process exits.
  DrainPhase Update(std::size_t open_work,
                    std::size_t unacknowledged,
                    base::TimePoint now);

  // Phase after the last call of Begin() or Update().
  DrainPhase phase() const { return phase_; }

 private:
  DrainSettings settings_;
  DrainPhase phase_ = DrainPhase::kServing;
  // When Update() first saw that no work was open; reset by new work.
  std::optional<base::TimePoint> idle_since_;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_DRAIN_STATE_H_
