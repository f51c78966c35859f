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

// Writes the changes of all owned programs by group commit and tells when a
// revision is durable. Thread-safe. A transaction whose result is in doubt is
// repeated until its result is certain; other changes wait meanwhile.
class Committer {
 public:
  // Called once, on the commit thread or the caller's: without an error when
  // the revision is durable, with kNotOwner (ran unknown) when the shard was
  // lost first.
  using Callback = std::function<void(const std::optional<base::ErrorInfo>&)>;

  Committer(ShardHost& shards,
            platform::PlatformStore& store,
            base::Duration group_commit_window,
            base::CounterRegistry& counters);

  void WhenDurable(const ShardPtr& shard,
                   const program::ProgramId& program,
                   std::uint64_t revision,
                   Callback callback);

  // Commits soon; called after changes that nobody waits for.
  void Wake() { thread_.Wake(); }

  // Programs whose changes are not durable.
  std::size_t uncommitted() const;

  // Ends the thread; waiting callbacks get an error.
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
  void Notify();
  void NotifyReady(const program::ProgramId& program);

  ShardHost& shards_;
  platform::PlatformStore& store_;
  const base::Duration group_commit_window_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  base::Counter& commits_;
  base::Counter& rows_;
  base::Counter& conflicts_;
  base::Counter& doubts_;
  std::mutex mutex_;
  std::multimap<program::ProgramId, Waiter> waiters_;
  std::atomic<bool> stopping_ = false;
  // Last, because it runs from construction on.
  PeriodicThread thread_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_COMMITTER_H_
