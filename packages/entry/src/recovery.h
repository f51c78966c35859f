#ifndef VANILLALEVER_ENTRY_SRC_RECOVERY_H_
#define VANILLALEVER_ENTRY_SRC_RECOVERY_H_

#include <atomic>
#include <memory>

#include "entry_context.h"
#include "vanillalever/membership/shard_map.h"

namespace vanillalever::entry {

// Loads taken shards: reads their programs, installs them, and settles intents
// that a former owner left open. Thread-safe.
class Recovery {
 public:
  explicit Recovery(EntryContext& context);

  // Loads the shard on a worker thread, until it succeeds or the shard is not
  // owned any more.
  void Load(const membership::ShardRow& row);

  // Reads one program that is not in memory. Blocks. Returns whether it exists.
  // Throws base::Error (not run) when the platform cannot be read.
  bool LoadProgram(const ShardPtr& shard, const program::ProgramId& id);

 private:
  // Intents of a shard that are still open; the last one to be settled lets
  // sidecars drop what former owners left.
  struct OpenIntents {
    ShardPtr shard;
    std::atomic<std::size_t> left = 0;
  };

  ShardPtr ReadShard(const membership::ShardRow& row);
  void SettleIntent(const std::shared_ptr<OpenIntents>& open,
                    const program::ProgramAttempt& intent);
  void OnSettled(const std::shared_ptr<OpenIntents>& open,
                 const program::ProgramAttempt& intent,
                 const SettleOutcome& outcome);
  void Finish(const std::shared_ptr<OpenIntents>& open,
              const program::ProgramAttempt& intent,
              const program::Answer& answer);
  void Withdraw(const ShardPtr& shard, const program::ProgramAttempt& intent);
  void IntentDone(const std::shared_ptr<OpenIntents>& open);

  EntryContext& context_;
  base::Counter& programs_;
  base::Counter& malformed_;
  base::Counter& intents_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_RECOVERY_H_
