#ifndef VANILLALEVER_PROGRAM_PROGRAM_SHARD_H_
#define VANILLALEVER_PROGRAM_PROGRAM_SHARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/program/program.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::program {

// Settings of a shard.
struct ProgramShardSettings {
  // Maximum tokens that a program's first commit holds for its first call.
  std::int64_t first_allowance = 4096;
  // Number of durable turns kept in memory per program. Callers repeat the last
  // turn after a lost answer; older turns are read from their rows.
  std::size_t history_turns = 2;
  // Maximum number of programs that must commit together because children were
  // created or ended since the last commit. At this size further children are
  // refused, and the budgets of further ended children are returned after the
  // commit.
  std::size_t max_linked_programs = 32;
};

// Request to create a program.
struct CreateRequest {
  std::string organisation;
  std::string program_class;
  // The caller's key.
  std::string key;
  // Budget in tokens, above zero; for a child its share of the parent's budget.
  std::int64_t budget = 0;
  // Whether the caller specified no budget. A repeated create then ignores the
  // budget, because the default of the program class may have changed since.
  bool default_budget = false;
  // Program of which the new one is a sub-agent; empty for none.
  ProgramId parent;
  // Random incarnation for the program if it is new.
  std::string incarnation;
};

// Result of a creation.
struct CreateResult {
  ProgramId id;
  // False if a program with this key existed.
  bool created = false;
  // Revision that must be durable before the result is sent to the caller.
  std::uint64_t revision = 0;
};

// An open attempt and its program.
struct ProgramAttempt {
  ProgramId program;
  Attempt attempt;
};

// The programs of one shard, protected by one mutex. Thread-safe. After Drop()
// operations throw kNotOwner, so that a lost shard answers no calls.
class ProgramShard {
 public:
  // `condition` contains the shard's number and the version of its row under
  // this owner; `fence` is the fencing token of this ownership.
  ProgramShard(const ShardCondition& condition,
               std::uint64_t fence,
               const ProgramShardSettings& settings);

  std::uint32_t shard() const { return condition_.shard; }
  std::uint64_t fence() const { return fence_; }

  // Id of the program that the request creates.
  static ProgramId IdFor(const CreateRequest& request);

  // Creates a program, or returns the existing program of the same key. Throws
  // kInvalidRequest, kConflict if the existing one has another class, parent or
  // budget, and for children also kNotFound, kForbidden, kProgramEnded,
  // kLimitReached, kBudgetExhausted or kOverloaded (too many uncommitted ones).
  CreateResult Create(const CreateRequest& request, base::TimePoint now);

  // Adds a program recovered from its rows; throws kInternal if it is present.
  void Insert(Program program);

  // Must be called once all programs of the shard are inserted. Cancels the
  // running children of cancelled parents, reclaims the budget of settled
  // children and returns the open intents in order of program ids.
  std::vector<ProgramAttempt> FinishRecovery();

  // Calls `function` with the program while holding the lock and returns its
  // result; throws kNotFound. `function` must not call this shard.
  template <typename Function>
  auto With(const ProgramId& id, Function&& function);

  // Records an answer. If the program is no longer present, the answer is
  // counted and dropped.
  AnswerMatch Accept(const ProgramId& id, const AttemptKey& key, Answer answer);

  // Cancels a program and its descendants; returns the attempts to cancel at
  // their sidecars.
  std::vector<ProgramAttempt> Cancel(const ProgramId& id);

  // Begins the commits of changed programs, in the order in which they changed,
  // and adds them to the batch until it is full. Returns the number of programs
  // added.
  std::size_t Collect(RecordBatch& batch, base::TimePoint now);
  // The batch took effect with this version: marks the commits of this shard's
  // programs as applied, trims their history and returns their ids.
  std::vector<ProgramId> CommitApplied(const RecordBatch& batch,
                                       std::uint64_t version);
  // The batch did not take effect: its changes will be collected again.
  void CommitRejected(const RecordBatch& batch);

  // Number of programs waiting to be collected, including programs that changed
  // again during a commit. Bounding it limits the uncommitted changes that
  // accumulate during a platform outage.
  std::size_t changed() const;
  // Programs in memory, in order of their ids.
  std::vector<ProgramId> ids() const;
  std::size_t size() const;
  // Ended programs with releases to send, in order of their ids.
  std::vector<std::pair<ProgramId, CacheHolder>> PendingReleases() const;
  // Removes programs with nothing left to do; returns their ids.
  std::vector<ProgramId> RemoveFinished();
  // Removes a program in any state, for example because another process changed
  // its row; the caller then reads its rows again.
  void Remove(const ProgramId& id);
  // Number of answers that matched no open attempt, over all programs since
  // construction.
  std::uint64_t dropped_answers() const;

  // Removes all programs because ownership of the shard is lost.
  void Drop();
  bool dropped() const;

 private:
  // Two programs whose next commits must take effect together.
  using Link = std::pair<ProgramId, ProgramId>;

  void RequireOwned() const;
  Program& Require(const ProgramId& id);
  Program* Find(const ProgramId& id);
  // Result for a key that is in use; throws kConflict if the request differs.
  CreateResult RepeatCreate(const Program& program,
                            const CreateRequest& request) const;
  void CreateChild(const CreateRequest& request, const ProgramId& id);
  // Queues the program for commit if it changed, and returns its budget share
  // to its parent once it is settled.
  void AfterChange(Program& program);
  void Enqueue(const Program& program);
  void AddLink(const ProgramId& parent, const ProgramId& child);
  void RemoveLinks(const ProgramId& id);
  // Returns `id` and the programs that must commit together with it.
  std::set<ProgramId> CommitGroup(const ProgramId& id) const;
  // Begins the group's commits and adds them to the batch; returns false if
  // they do not fit.
  bool AddGroup(RecordBatch& batch,
                const std::set<ProgramId>& group,
                base::TimePoint now);
  void CancelTree(Program& program, std::vector<ProgramAttempt>& attempts);

  // See the constructor.
  const ShardCondition condition_;
  const std::uint64_t fence_;
  const ProgramShardSettings settings_;

  mutable std::mutex mutex_;
  std::unordered_map<ProgramId, std::unique_ptr<Program>, ProgramIdHash>
      programs_;
  // Changed programs in the order of their first change.
  std::deque<ProgramId> commit_queue_;
  std::unordered_set<ProgramId, ProgramIdHash> queued_;
  // Links for the next commit and those of commits in progress; each is stored
  // in both directions.
  std::set<Link> links_;
  std::set<Link> pending_links_;
  // Settled children whose budget is returned after the next commit.
  std::set<ProgramId> deferred_returns_;
  // Answers dropped by programs that were removed, or sent for absent ones.
  std::uint64_t dropped_answers_ = 0;
  bool dropped_ = false;
};

template <typename Function>
auto ProgramShard::With(const ProgramId& id, Function&& function) {
  std::lock_guard lock(mutex_);
  Program& program = Require(id);
  auto call = [&]() -> decltype(auto) {
    try {
      return function(program);
    } catch (...) {
      // Admit() ends a program at a limit and then throws.
      AfterChange(program);
      throw;
    }
  };
  if constexpr (std::is_void_v<decltype(function(program))>) {
    call();
    AfterChange(program);
  } else {
    auto result = call();
    AfterChange(program);
    return result;
  }
}

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_SHARD_H_
