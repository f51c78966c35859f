#ifndef VANILLALEVER_EXECUTION_DRAIN_STATE_H_
#define VANILLALEVER_EXECUTION_DRAIN_STATE_H_

#include <cstddef>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::execution {

enum class DrainPhase {
  kServing,   // accepts work
  kDraining,  // refuses new work as not run; work in flight continues
  kDrained,   // may exit
};

inline constexpr base::NameTable<DrainPhase, 3> kDrainPhaseNames({
    "serving",
    "draining",
    "drained",
});

struct DrainSettings {
  // How long results that nobody acknowledges delay the exit after the last
  // work has ended. Outlasts most outages of the platform; without a limit a
  // result whose owner is gone would keep the process for ever.
  base::Duration result_wait = base::seconds(300);
};

// Graceful shutdown of a sidecar. There is no way back to serving within one
// incarnation. Not thread-safe.
class DrainState {
 public:
  explicit DrainState(DrainSettings settings);

  // The sidecar was told to leave, by a signal or by the instance list. May be
  // repeated.
  void Begin();

  // Whether new work is accepted; otherwise it is refused as not run.
  bool accepting() const { return phase_ == DrainPhase::kServing; }

  // Phase at `now`, given the work that is queued or running and the results
  // that wait for their acknowledgement. Must be called with current numbers
  // before the process exits.
  DrainPhase Update(std::size_t open_work,
                    std::size_t unacknowledged,
                    base::TimePoint now);

  // Phase as of the last call of Begin() or Update().
  DrainPhase phase() const { return phase_; }

 private:
  DrainSettings settings_;
  DrainPhase phase_ = DrainPhase::kServing;
  // When the last work in flight was seen to have ended.
  std::optional<base::TimePoint> idle_since_;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_DRAIN_STATE_H_
