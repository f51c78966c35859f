#ifndef VANILLALEVER_PROGRAM_PROGRAM_H_
#define VANILLALEVER_PROGRAM_PROGRAM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/program/attempt.h"
#include "vanillalever/program/budget_ledger.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/loop_guard.h"
#include "vanillalever/program/program_head.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::program {

// Part of a program's budget that may be set aside for the next call. A crash
// of the owner costs the program what is set aside; a call that needs more
// waits for a commit instead.
inline constexpr std::int64_t kAllowanceDivisor = 8;

// Whether an attempt may be sent.
enum class DispatchState {
  kReady,        // MarkDispatched(), then send
  kAwaitCommit,  // its intent or its reservation is not durable yet
  kNotPending,   // it was sent, or withdrawn because the program ended
};

// The owner's view of one program: turn order, history, budget, open attempts,
// cache holders and what of it is durable. Pure decisions; not thread-safe
// (ProgramShard holds the lock). Refusals and misuse are thrown as base::Error;
// a refused operation changes nothing, except that Admit() and CheckLimits()
// may end the program at a limit.
//
// Course of a call: Admit -> StartAttempt -> [commit while kAwaitCommit] ->
// MarkDispatched -> send -> Accept -> commit -> final answer to the caller.
//
// Every change that must become durable increments revision(). Something
// decided at revision r may be told to others once durable_revision() >= r.
class Program {
 public:
  // New program. `first_allowance` is set aside with the first commit, so that
  // the first call needs no commit of its own; in tokens.
  Program(ProgramSpec spec,
          base::TimePoint now,
          std::int64_t first_allowance = 0);

  // Program rebuilt by a new owner from its head row and any of its turn rows
  // (rows that are left out are reported as kReadHistory). The stored allowance
  // counts as spent, and an open intent is kept for settlement.
  static Program Recover(const ProgramHead& head,
                         std::vector<TurnRecord> turns,
                         std::uint64_t head_version,
                         base::TimePoint now,
                         OwnershipEnd former = OwnershipEnd::kCrashed);

  const ProgramSpec& spec() const { return spec_; }
  const ProgramId& id() const { return spec_.id; }
  ProgramState state() const { return state_; }
  // Number of the last ended turn; zero before the first.
  std::uint32_t last_turn() const { return last_turn_; }
  // The open call, or nothing.
  const std::optional<CallRequest>& open_call() const { return open_; }
  const BudgetLedger& budget() const { return budget_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }
  // Ended turns that are in memory, in order, up to last_turn().
  const std::vector<TurnRecord>& history() const { return history_; }
  // Budget shares of children that have not ended, in tokens.
  const std::map<ProgramId, std::int64_t>& children() const {
    return children_;
  }
  // Servers that hold cache of the program, whose leases are to be renewed. A
  // holder that a crash forgets is released when its lease ends.
  const std::set<CacheHolder>& holders() const { return holders_; }
  // Time under owners since creation.
  base::milliseconds elapsed(base::TimePoint now) const;
  // Answers that matched no open attempt.
  std::uint64_t dropped_answers() const { return dropped_answers_; }

  // --- Calls -----------------------------------------------------------------

  // Decides about a call. Throws kInvalidRequest, kTurnConflict, kLimitReached,
  // kProgramEnded or kBudgetExhausted, all "not run".
  Admission Admit(const CallRequest& call,
                  const LoopGuard& guard,
                  base::TimePoint now);

  // Ends a running program that has reached a limit; returns whether it did.
  bool CheckLimits(const LoopGuard& guard, base::TimePoint now);

  // Starts an attempt of the open turn: reserves its worst case and records the
  // intent of a non-repeatable call. A non-repeatable call has at most one open
  // attempt; a repeatable one may have several (hedging). Throws
  // kBudgetExhausted, or kInternal on misuse.
  AttemptKey StartAttempt(std::uint32_t turn, AttemptTarget target);

  // Whether an attempt may be sent now.
  DispatchState dispatch_state(const AttemptKey& key) const;

  // Records that the attempt is about to be sent and that its server will hold
  // cache. Call it under the lock, before the send; throws kInternal unless
  // dispatch_state() is kReady.
  void MarkDispatched(const AttemptKey& key);

  // Takes an answer. The first answer of a turn ends it; an answer that matches
  // no open attempt is counted and dropped. An outcome of kUnknown keeps the
  // reservation as spent. Throws kTooLarge for a body above kMaxInlineBodyBytes
  // without an object, and kInvalidRequest for a negative amount.
  AnswerMatch Accept(const AttemptKey& key, Answer answer);

  // The attempt provably did not run (never sent, refused, or revoked): its
  // reservation is released and the turn stays open for another attempt.
  // Returns false for an attempt that is not open.
  bool MarkNotRun(const AttemptKey& key);

  // The attempt's outcome will never be known: its reservation counts as spent.
  // A non-repeatable call ends its turn as unknown; a repeatable one leaves it
  // open for another attempt. Returns false for an attempt that is not open.
  bool MarkLost(const AttemptKey& key);

  // Applies what was found out about an attempt that was sent: Accept(),
  // nothing, MarkNotRun() or MarkLost(). A sidecar that refuses an
  // attempt because its incarnation has changed proves nothing, since the
  // previous one may have run it: that is kIncarnationGone, not kRevoked.
  // Returns whether the attempt is no longer open.
  bool Settle(const AttemptKey& key, SettleOutcome outcome, Answer answer);

  // Closes the open turn without a record, so that its number may be used
  // again. Throws kInternal while a non-repeatable attempt is open; other
  // attempts only settle their cost. Returns what the caller may be told once
  // the withdrawal is durable: kNotRun if every attempt provably did not run,
  // else kUnknown.
  base::Ran Withdraw(std::uint32_t turn);

  // Ends the open turn as failed, for example at its deadline. The same
  // condition holds as for Withdraw().
  void FailTurn(std::uint32_t turn, Answer answer);

  // Whether a sidecar must keep the answer of this attempt: the attempt is
  // open, or its turn has ended and is not durable yet. Otherwise the sidecar
  // may be told to drop it.
  bool answer_needed(const AttemptKey& key) const;

  // Whether the turn has ended and its record is durable.
  bool turn_durable(std::uint32_t turn) const;

  // Open non-repeatable attempts that may have been sent; a new owner settles
  // them with their sidecars through Accept(), MarkNotRun() (revoked) or
  // MarkLost() (incarnation gone).
  std::vector<Attempt> open_intents() const;

  // --- End -------------------------------------------------------------------

  // Ends the program; does nothing if it has ended. Throws kTurnConflict while
  // a turn is open or children have not ended.
  void End();

  // Cancels the program; does nothing if it has ended. Attempts that were not
  // sent are withdrawn. Returns the others, to be cancelled at their sidecars;
  // the program is settled once each was taken by Accept(), MarkNotRun() or
  // MarkLost().
  std::vector<Attempt> Cancel();

  // Whether the program has ended and nothing of it is open: its cost is final.
  bool settled() const;

  // Servers to which a release must be sent (again) now: none before the end of
  // the program is durable, because a new owner would find it running while its
  // sidecars refuse it, and no server at which an attempt is still open.
  std::vector<CacheHolder> pending_releases() const;
  // The server has released the cache, or that incarnation is gone.
  void ReleaseAcknowledged(const CacheHolder& holder);

  // Whether nothing is left to do, so that the program may leave the memory.
  bool removable() const;

  // --- Children --------------------------------------------------------------

  // Allocates a child's budget; throws kProgramEnded or kBudgetExhausted.
  void AddChild(const ProgramId& child, std::int64_t share);
  // Takes back the unused budget of a child that is settled.
  void ChildSettled(const ProgramId& child, std::int64_t child_spent);
  // Notes that the parent took back this program's unused budget.
  void MarkShareReturned();
  bool share_returned() const { return share_returned_; }

  // --- Durability ------------------------------------------------------------

  std::uint64_t revision() const { return revision_; }
  std::uint64_t durable_revision() const { return durable_revision_; }
  // Whether there is something to commit and no commit in progress.
  bool dirty() const { return !committing() && revision_ > durable_revision_; }
  bool committing() const { return pending_.has_value(); }
  // Version of the stored head row; zero before the first commit.
  std::uint64_t head_version() const { return head_version_; }

  // Content of the next commit. The commit then is in progress until its result
  // is certain, however long that takes.
  ProgramCommit BeginCommit(base::TimePoint now);
  // The commit took effect; the head row has this version.
  void CommitApplied(std::uint64_t head_version);
  // The commit did not take effect; its content is due again.
  void CommitRejected();

  // Drops the records of durable turns except the last `keep` from memory.
  void TrimHistory(std::size_t keep);

 private:
  // Commit whose result is not known.
  struct PendingCommit {
    // Revision and last turn that it holds.
    std::uint64_t revision = 0;
    std::uint32_t last_turn = 0;
  };

  Program() : budget_(0) {}

  void Changed() { ++revision_; }
  // The open attempt with this key, or the end.
  std::vector<Attempt>::iterator Find(const AttemptKey& key);
  std::vector<Attempt>::const_iterator Find(const AttemptKey& key) const;
  const TurnRecord* FindTurn(std::uint32_t turn) const;
  // Parts of Admit().
  Admission AdmitRepeat(const CallRequest& call) const;
  void AdmitNew(const CallRequest& call,
                const LoopGuard& guard,
                base::TimePoint now);
  // Error for a new turn of a program that has ended.
  base::Error StateError() const;
  // Throws unless `turn` is the open turn and no intent of it is open.
  void RequireClosable(std::uint32_t turn) const;
  // Appends the record of the open turn and closes it.
  void EndTurn(Answer answer);
  // Closes the open turn: withdraws attempts that were not sent and marks the
  // others as superseded.
  void CloseTurn();
  // Sets a final state.
  void Finish(ProgramState state);
  // Closes the open turn of an ended program once no attempt of it is left.
  void CloseIfAbandoned();
  // Whether an attempt of the turn can still end it.
  bool HasAttempts(std::uint32_t turn) const;

  // See the accessors.
  ProgramSpec spec_;
  ProgramState state_ = ProgramState::kRunning;
  std::uint32_t last_turn_ = 0;
  std::optional<CallRequest> open_;
  // Attempts started for the open turn.
  std::uint32_t attempts_started_ = 0;
  // Whether an attempt of the open turn was lost, so that it may have run.
  bool lost_attempt_ = false;
  std::vector<Attempt> attempts_;
  std::vector<TurnRecord> history_;
  BudgetLedger budget_;
  std::set<CacheHolder> holders_;
  std::map<ProgramId, std::int64_t> children_;
  bool share_returned_ = false;
  // Amount set aside with each commit for the next call, in tokens: the worst
  // case of the last call.
  std::int64_t allowance_ = 0;
  // Time at which elapsed() was zero, on this owner's clock.
  base::TimePoint started_;
  std::uint64_t dropped_answers_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t durable_revision_ = 0;
  // Revision at which the program ended.
  std::uint64_t end_revision_ = 0;
  // Last turn whose record is durable.
  std::uint32_t durable_turn_ = 0;
  std::uint64_t head_version_ = 0;
  std::optional<PendingCommit> pending_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_H_
