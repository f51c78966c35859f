#include "vanillalever/execution/drain_state.h"

namespace vanillalever::execution {

DrainState::DrainState(DrainSettings settings) : settings_(settings) {}

void DrainState::Begin() {
  if (phase_ == DrainPhase::kServing)
    phase_ = DrainPhase::kDraining;
}

DrainPhase DrainState::Update(std::size_t open_work,
                              std::size_t unacknowledged,
                              base::TimePoint now) {
  if (phase_ != DrainPhase::kDraining)
    return phase_;
  if (open_work > 0) {
    idle_since_.reset();
    return phase_;
  }
  if (!idle_since_)
    idle_since_ = now;
  if (unacknowledged == 0 ||
      now - *idle_since_ >= settings_.acknowledgement_timeout)
    phase_ = DrainPhase::kDrained;
  return phase_;
}

}  // namespace vanillalever::execution
