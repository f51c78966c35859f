#include "vanillalever/scheduling/server_picker.h"

#include <cassert>

#include "vanillalever/scheduling/cache_affinity_picker.h"
#include "vanillalever/scheduling/estimated_completion_picker.h"
#include "vanillalever/scheduling/least_connections_picker.h"
#include "vanillalever/scheduling/random_picker.h"
#include "vanillalever/scheduling/round_robin_picker.h"

namespace vanillalever::scheduling {

std::unique_ptr<ServerPicker> MakeServerPicker(PickerKind kind) {
  switch (kind) {
    case PickerKind::kEstimatedCompletion:
      return std::make_unique<EstimatedCompletionPicker>();
    case PickerKind::kRandom:
      return std::make_unique<RandomPicker>();
    case PickerKind::kRoundRobin:
      return std::make_unique<RoundRobinPicker>();
    case PickerKind::kLeastConnections:
      return std::make_unique<LeastConnectionsPicker>();
    case PickerKind::kCacheAffinity:
      return std::make_unique<CacheAffinityPicker>();
  }
  assert(false);
  return nullptr;
}

}  // namespace vanillalever::scheduling
