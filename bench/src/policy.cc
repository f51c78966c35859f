#include "policy.h"

namespace vanillalever::bench {

using scheduling::PickerKind;
using scheduling::QueueKind;

std::vector<Policy> AllPolicies() {
  std::vector<Policy> policies;
  policies.push_back({.name = "vanillalever",
                      .picker = PickerKind::kEstimatedCompletion,
                      .queue = QueueKind::kRemainingWork,
                      .adaptive_limit = true,
                      .engine_priority = true,
                      .hedging = true,
                      .admission = true,
                      .release = true,
                      .retry_budget = true});
  for (PickerKind kind :
       {PickerKind::kRandom, PickerKind::kRoundRobin,
        PickerKind::kLeastConnections, PickerKind::kCacheAffinity}) {
    policies.push_back(
        {.name = std::string(scheduling::kPickerKindNames.name(kind)) + "+fifo",
         .picker = kind,
         .queue = QueueKind::kFifo});
  }
  return policies;
}

}  // namespace vanillalever::bench
