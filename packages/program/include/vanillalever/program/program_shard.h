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
  // Allowance set aside when a program is created, in tokens.
  std::int64_t first_allowance = 4096;
  // Records of durable turns kept in memory per program. Callers repeat the
  // last turn after a lost answer; older turns are read from their rows.
  std::size_t history_turns = 2;
  // Most programs whose commits depend on one another, because children were
  // created or ended since the last commit; until the commit, more children are
  // refused, and the budget of more ended children is returned later.
  std::size_t max_linked = 32;
};

// Request to create a program.
struct CreateRequest {
  std::string organisation;
  std::string program_class;
  // The caller's key.
  std::string key;
  // Budget in tokens, above zero; for a child its share of the parent's budget.
  std::int64_t budget = 0;
  // Whether the caller stated no budget, so that a repeated create is not
  // compared with it: the class's default may have been revised since.
  bool default_budget = false;
  // Program of which the new one is a sub-agent; empty for none.
  ProgramId parent;
  // Random incarnation for the program if it is new.
  std::string incarnation;
};

// Result of a creation.
struct CreateResult {
  ProgramId id;
  // False if the key had been used before.
  bool created = false;
  // Revision that must be durable before the caller is answered.
  std::uint64_t revision = 0;
};

// An open intent that a new owner settles.
struct ProgramAttempt {
  ProgramId program;
  Attempt attempt;
};

// The programs of one shard, under one lock. Thread-safe. After Drop() every
// operation throws kNotOwner, so that nothing is answered from a lost shard.
class ProgramShard {
 public:
  // `condition` names the shard and the version of its row under this owner;
  // `fence` is the fencing token of this ownership.
  ProgramShard(const ShardCondition& condition,
               std::uint64_t fence,
               const ProgramShardSettings& settings);

  std::uint32_t shard() const { return condition_.shard; }
  std::uint64_t fence() const { return fence_; }

  // Id that the request gives its program.
  static ProgramId IdFor(const CreateRequest& request);

  // Creates a program, or returns the existing one of the same key. Throws
  // kConflict if that one has another class, parent or budget; for children
  // also kNotFound, kForbidden, kProgramEnded, kBudgetExhausted and kOverloaded
  // (too many children since the last commit).
  CreateResult Create(const CreateRequest& request, base::TimePoint now);

  // Adds a program recovered from its rows; throws kInternal if it is present.
  void Insert(Program program);

  // After all programs of a shard were inserted: cancels the running children
  // of cancelled parents, takes back the budget of settled children, and lists
  // the open intents in order of program ids.
  std::vector<ProgramAttempt> FinishRecovery();

  // Calls `function` with the program under the lock and returns its result;
  // throws kNotFound. `function` must not call this shard.
  template <typename Function>
  auto With(const ProgramId& id, Function&& function);

  // Takes an answer for a program that may no longer be present; counts and
  // drops it then.
  AnswerMatch Accept(const ProgramId& id, const AttemptKey& key, Answer answer);

  // Cancels a program and its descendants; returns the attempts to be cancelled
  // at their sidecars.
  std::vector<ProgramAttempt> Cancel(const ProgramId& id);

  // Begins the commits of changed programs, in the order in which they changed,
  // and adds them to the batch until it is full. Returns how many were added.
  std::size_t Collect(RecordBatch& batch, base::TimePoint now);
  // The batch took effect with this version: notes it for this shard's
  // programs, trims their history and returns the ids.
  std::vector<ProgramId> CommitApplied(const RecordBatch& batch,
                                       std::uint64_t version);
  // The batch did not take effect: its changes are collected again.
  void CommitRejected(const RecordBatch& batch);

  // Programs with changes that are not durable, including those of commits in
  // progress that have changed again; a bound on it limits what a platform
  // outage may accumulate.
  std::size_t changed() const;
  // Programs in memory, in order of their ids.
  std::vector<ProgramId> ids() const;
  std::size_t size() const;
  // Ended programs with releases to send, in order of their ids.
  std::vector<std::pair<ProgramId, CacheHolder>> PendingReleases() const;
  // Removes programs with nothing left to do; returns their ids.
  std::vector<ProgramId> RemoveFinished();
  // Removes one program whatever its state, for example because its row was
  // changed by somebody else; the caller then reads its rows again.
  void Remove(const ProgramId& id);
  // Answers that matched no open attempt, of all programs so far.
  std::uint64_t dropped_answers() const;

  // Ownership is lost: forgets all programs.
  void Drop();
  bool dropped() const;

 private:
  // Two programs whose next commits must take effect together.
  using Link = std::pair<ProgramId, ProgramId>;

  void RequireOwned() const;
  Program& Require(const ProgramId& id);
  Program* Find(const ProgramId& id);
  CreateResult Repeat(const Program& program,
                      const CreateRequest& request) const;
  void CreateChild(const CreateRequest& request, const ProgramId& id);
  // Queues the program for commit if it changed, and returns its budget share
  // to its parent once it is settled.
  void AfterChange(Program& program);
  void Enqueue(const Program& program);
  void AddLink(const ProgramId& parent, const ProgramId& child);
  void DropLinks(const ProgramId& id);
  // The programs that must commit together with `id`, in order of ids.
  std::set<ProgramId> Group(const ProgramId& id) const;
  // Adds the group to the batch; false if it does not fit.
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
  std::deque<ProgramId> queue_;
  std::unordered_set<ProgramId, ProgramIdHash> queued_;
  // Links for the next commit, both directions, and those of commits in
  // progress.
  std::set<Link> links_;
  std::set<Link> pending_links_;
  // Settled children whose budget is returned after the next commit.
  std::set<ProgramId> deferred_;
  // Answers dropped by removed programs, or for absent ones.
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
