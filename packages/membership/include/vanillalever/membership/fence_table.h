#ifndef VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_
#define VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_

#include <unordered_map>

#include "vanillalever/membership/shard_map.h"

namespace vanillalever::membership {

// Result of comparing a command's fencing token with the highest one seen.
enum class FenceCheck {
  kCurrent,  // equal to the highest token seen
  kRaised,   // higher than any token seen before; recorded as the highest
  kStale,    // lower than the highest: reject the command
};

// Highest fencing token seen per shard. Not thread-safe.
class FenceTable {
 public:
  // Compares the token with the highest one and records it if it is higher.
  FenceCheck CheckAndUpdate(ShardId shard, FencingToken fence);

  // Highest token seen, or zero if there is none.
  FencingToken highest(ShardId shard) const;

 private:
  std::unordered_map<ShardId, FencingToken> highest_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_
