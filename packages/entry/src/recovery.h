#ifndef VANILLALEVER_ENTRY_SRC_RECOVERY_H_
#define VANILLALEVER_ENTRY_SRC_RECOVERY_H_

#include <atomic>
#include <memory>

#include "entry_context.h"
#include "vanillalever/membership/shard_map.h"

namespace vanillalever::entry {

// Loads shards that this entry has taken over: reads their programs, installs
// the shards and settles intents that a previous owner left open. Thread-safe.
class Recovery {
 public:
  explicit Recovery(EntryContext& context);

  // Loads the shard on a worker thread. Retries until it succeeds or this entry
  // no longer owns the shard.
  void LoadShard(const membership::ShardRow& row);

  // Loads one program that is not in memory. Blocks. Returns whether it exists.
  // Throws base::Error (not run) if the platform cannot be read.
  bool LoadProgram(const ShardPtr& shard, const program::ProgramId& id);

 private:
  // Progress of settling the open intents of a shard. Once none remains,
  // sidecars are notified that they may drop work of previous owners.
  struct SettlementProgress {
    ShardPtr shard;
    std::atomic<std::size_t> remaining = 0;
  };

  ShardPtr ReadShard(const membership::ShardRow& row);
  void SettleAttempt(const std::shared_ptr<SettlementProgress>& progress,
                     const program::ProgramAttempt& open_attempt);
  void OnSettled(const std::shared_ptr<SettlementProgress>& progress,
                 const program::ProgramAttempt& open_attempt,
                 const SettleOutcome& outcome);
  void FinishTurn(const std::shared_ptr<SettlementProgress>& progress,
                  const program::ProgramAttempt& open_attempt,
                  const program::Answer& answer);
  void RollBackTurn(const ShardPtr& shard,
                    const program::ProgramAttempt& open_attempt);
  void OnAttemptDone(const std::shared_ptr<SettlementProgress>& progress);

  EntryContext& context_;
  base::Counter& recovered_programs_;
  base::Counter& malformed_programs_;
  base::Counter& settled_intents_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_RECOVERY_H_
