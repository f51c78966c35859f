#ifndef VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_
#define VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_

#include <unordered_map>

#include "vanillalever/membership/shard_map.h"

namespace vanillalever::membership {

// Judgement of a command's fencing token.
enum class FenceCheck {
  kCurrent,  // equal to the highest token seen
  kRaised,   // higher than any token seen before; now the highest
  kStale,    // lower than the highest: reject the command
};

// Highest fencing token seen per shard. Not thread-safe.
class FenceTable {
 public:
  // Judges a token and remembers it if it is the highest.
  FenceCheck CheckAndUpdate(ShardId shard, FencingToken fence);

  // Highest token seen; zero for none.
  FencingToken highest(ShardId shard) const;

 private:
  std::unordered_map<ShardId, FencingToken> highest_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_FENCE_TABLE_H_
