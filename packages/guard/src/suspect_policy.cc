#include "vanillalever/guard/suspect_policy.h"

namespace vanillalever::guard {

Admission SuspectPolicy::Decide(const SuspectState& state) const {
  if (state.quarantined || state.crashes >= kMaxTrialCrashes)
    return Admission::kRefuse;
  std::size_t possible = state.crashes + state.unresolved;
  if (state.crashes < kMaxCrashes) {
    if (possible >= kMaxCrashes)
      return Admission::kWait;
    return possible >= kApartCrashes ? Admission::kApart : Admission::kNormal;
  }
  if (!state.settled || state.unresolved > 0 || state.on_trial)
    return Admission::kWait;
  bool certain = state.crashes - state.doubtful >= kMaxCrashes;
  return certain ? Admission::kRefuse : Admission::kTrial;
}

}  // namespace vanillalever::guard
