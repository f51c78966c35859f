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

// Table of the shards that this entry owns. Thread-safe; each slot has its own
// lock.
class ShardHost {
 public:
  // The shard, for messages about calls in progress. Throws kNotOwner (not run)
  // if this entry does not own it or has not recovered it yet.
  ShardPtr RequireOwned(std::uint32_t shard) const;

  // As RequireOwned(), for new calls: also throws kUnavailable (not run) while
  // the shard is frozen for a hand-over.
  ShardPtr RequireAdmitting(std::uint32_t shard) const;

  // The shard, or null.
  ShardPtr Find(std::uint32_t shard) const;

  void Install(ShardPtr shard);
  // Removes a shard that is no longer owned; later operations on it throw
  // kNotOwner.
  void Drop(std::uint32_t shard);
  // While frozen, a shard admits no new calls, so that it becomes idle before a
  // hand-over.
  void SetFrozen(std::uint32_t shard, bool frozen);

  // Counts calls in progress, so that a hand-over can wait for them.
  void CallStarted(std::uint32_t shard);
  void CallEnded(std::uint32_t shard);
  int active_calls(std::uint32_t shard) const;

  std::vector<ShardPtr> all() const;

 private:
  struct Slot {
    mutable std::mutex mutex;
    ShardPtr shard;
    bool frozen = false;
    std::atomic<int> active_calls = 0;
  };

  std::array<Slot, program::kShardCount> slots_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SHARD_HOST_H_
