#include "vanillalever/membership/fence_table.h"

namespace vanillalever::membership {

FenceCheck FenceTable::CheckAndUpdate(ShardId shard, FencingToken fence) {
  FencingToken& highest = highest_[shard];
  if (fence < highest)
    return FenceCheck::kStale;
  if (fence == highest)
    return FenceCheck::kCurrent;
  highest = fence;
  return FenceCheck::kRaised;
}

FencingToken FenceTable::highest(ShardId shard) const {
  auto it = highest_.find(shard);
  return it == highest_.end() ? 0 : it->second;
}

}  // namespace vanillalever::membership
