#ifndef VANILLALEVER_ENTRY_SRC_COMMITTER_H_
#define VANILLALEVER_ENTRY_SRC_COMMITTER_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "periodic_thread.h"
#include "shard_host.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/platform/reliable_commit.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::entry {

// Writes the changes of all owned programs by group commit and notifies waiters
// when a revision is durable. A transaction whose result is undecided is
// repeated until it is decided; other changes are held back until then.
// Thread-safe.
class Committer {
 public:
  // Called once, on the commit thread or the caller's thread: without an error
  // when the revision is durable, or with kNotOwner (ran unknown) if the shard
  // was lost first.
  using Callback = std::function<void(const std::optional<base::ErrorInfo>&)>;

  Committer(ShardHost& shards,
            platform::PlatformStore& store,
            base::Duration group_commit_window,
            base::CounterRegistry& counters);

  void WhenDurable(const ShardPtr& shard,
                   const program::ProgramId& program,
                   std::uint64_t revision,
                   Callback callback);

  // Triggers a commit; for changes without a waiting callback.
  void Wake() { thread_.Wake(); }

  // Number of programs with uncommitted changes.
  std::size_t uncommitted() const;

  // Stops the commit thread and fails the waiting callbacks.
  void Stop();

 private:
  struct Waiter {
    ShardPtr shard;
    std::uint64_t revision = 0;
    Callback callback;
  };

  void Run();
  void CommitBatch(const program::RecordBatch& batch,
                   const std::vector<ShardPtr>& shards);
  platform::ReliableCommitResult ReadBack(
      const program::RecordBatch& batch,
      platform::ReliableCommitResult result);
  void OnConflict(const program::RecordBatch& batch,
                  const std::vector<ShardPtr>& shards,
                  const std::string& conflict_key);
  void NotifyWaiters();
  void NotifyProgramWaiters(const program::ProgramId& program);

  ShardHost& shards_;
  platform::PlatformStore& store_;
  const base::Duration group_commit_window_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  base::Counter& applied_commits_;
  base::Counter& applied_rows_;
  base::Counter& conflicts_;
  base::Counter& undecided_commits_;
  std::mutex mutex_;
  std::multimap<program::ProgramId, Waiter> waiters_;
  std::atomic<bool> stopping_ = false;
  // Declared last: the thread starts in the constructor and uses the other
  // members.
  PeriodicThread thread_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_COMMITTER_H_
