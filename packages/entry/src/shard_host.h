#ifndef VANILLALEVER_ENTRY_SRC_SHARD_HOST_H_
#define VANILLALEVER_ENTRY_SRC_SHARD_HOST_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "vanillalever/program/program_id.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::entry {

using ShardPtr = std::shared_ptr<program::ProgramShard>;

// The shards that this entry owns. Each slot has its own lock.
class ShardHost {
 public:
  // The shard, for messages about calls that are under way. Throws kNotOwner
  // (not run) if this entry does not own it or has not recovered it yet.
  ShardPtr Owned(std::uint32_t shard) const;

  // As Owned(), for new calls: throws kUnavailable (not run) while the shard is
  // about to be handed over.
  ShardPtr Admitting(std::uint32_t shard) const;

  // The shard, or null.
  ShardPtr Find(std::uint32_t shard) const;

  void Install(ShardPtr shard);
  // Ownership is lost: later operations on the shard throw kNotOwner.
  void Drop(std::uint32_t shard);
  // Stops admitting new calls before a hand-over.
  void Freeze(std::uint32_t shard, bool frozen);

  // Counts calls under way, so that a hand-over can wait for them.
  void CallStarted(std::uint32_t shard);
  void CallEnded(std::uint32_t shard);
  int calls(std::uint32_t shard) const;

  std::vector<ShardPtr> all() const;

 private:
  struct Slot {
    mutable std::mutex mutex;
    ShardPtr shard;
    bool frozen = false;
    std::atomic<int> calls = 0;
  };

  std::array<Slot, program::kShardCount> slots_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SHARD_HOST_H_
