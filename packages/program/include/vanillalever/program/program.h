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

// The allowance for the next call is at most the budget divided by this. If
// the owner crashes, the program loses the allowance; a call that needs more
// waits for a commit instead.
inline constexpr std::int64_t kAllowanceDivisor = 8;

// Whether an attempt may be sent.
enum class DispatchState {
  kReady,        // call MarkDispatched(), then send
  kAwaitCommit,  // its intent or reservation is not durable yet
  kNotPending,   // already dispatched, or no longer open
};

// The owner's state of one program: turn order, history, budget, open attempts,
// cache holders, and how much of that is durable. Performs no I/O and is not
// thread-safe (ProgramShard holds the lock). Refusals and usage errors are
// thrown as base::Error; a refused operation changes nothing, except that
// Admit() and CheckLimits() may end the program at a limit.
//
// Sequence of a call: Admit -> StartAttempt -> [commit while kAwaitCommit] ->
// MarkDispatched -> send -> Accept -> commit -> final answer to the caller.
//
// Every change that must become durable increments revision(). A decision made
// at revision r may be sent to other processes once durable_revision() >= r.
class Program {
 public:
  // The first commit holds up to `first_allowance` tokens, so that a repeatable
  // first call that costs no more needs no commit of its own.
  Program(ProgramSpec spec,
          base::TimePoint now,
          std::int64_t first_allowance = 0);

  // Rebuilds a program under a new owner from its head row and any subset of
  // its turn rows (Admit() returns kReadHistory for missing ones). After a
  // crash the stored allowance counts as spent; an open intent is kept for
  // settlement.
  static Program Recover(const ProgramHead& head,
                         std::vector<TurnRecord> turns,
                         std::uint64_t head_version,
                         base::TimePoint now,
                         OwnershipEnd ownership_end = OwnershipEnd::kCrashed);

  const ProgramSpec& spec() const { return spec_; }
  const ProgramId& id() const { return spec_.id; }
  ProgramState state() const { return state_; }
  // Number of the last ended turn; zero before the first.
  std::uint32_t last_turn() const { return last_turn_; }
  // The open call, or nothing.
  const std::optional<CallRequest>& open_call() const { return open_call_; }
  const BudgetLedger& budget() const { return budget_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }
  // Ended turns that are in memory, in order, up to last_turn().
  const std::vector<TurnRecord>& history() const { return history_; }
  // Budget shares of children that have not ended, in tokens.
  const std::map<ProgramId, std::int64_t>& children() const {
    return children_;
  }
  // Servers that hold cache of the program and whose leases must be renewed. If
  // a crash loses a holder, its cache is released when the lease expires.
  const std::set<CacheHolder>& holders() const { return holders_; }
  // Time since creation, excluding periods without an owner.
  base::milliseconds elapsed(base::TimePoint now) const;
  // Answers that matched no open attempt.
  std::uint64_t dropped_answers() const { return dropped_answers_; }

  // --- Calls -----------------------------------------------------------------

  // Admits a call. Throws kInvalidRequest, kTurnConflict, kLimitReached,
  // kProgramEnded or kBudgetExhausted, all with ExecutionStatus::kNotRun.
  Admission Admit(const CallRequest& call,
                  const LoopGuard& guard,
                  base::TimePoint now);

  // Ends a running program that has reached a limit; returns whether it did.
  bool CheckLimits(const LoopGuard& guard, base::TimePoint now);

  // Starts an attempt of the open turn: reserves its worst-case cost and
  // records the intent of a non-repeatable call. A non-repeatable call has at
  // most one open attempt; a repeatable one may have several (hedging). Throws
  // kBudgetExhausted, kProgramEnded, kLimitReached, or kInternal on misuse.
  AttemptKey StartAttempt(std::uint32_t turn, AttemptTarget target);

  // Whether an attempt may be sent now.
  DispatchState dispatch_state(const AttemptKey& key) const;

  // Records that the attempt is about to be sent and that its server will hold
  // cache. Must be called under the lock before sending; throws kInternal
  // unless dispatch_state() is kReady.
  void MarkDispatched(const AttemptKey& key);

  // Records an answer. The first answer of a turn ends it; an answer that
  // matches no open attempt is counted and dropped. For an outcome of kUnknown
  // the whole reservation counts as spent. Throws kTooLarge for a body above
  // kMaxInlineBodyBytes without an object, and kInvalidRequest for a negative
  // amount.
  AnswerMatch Accept(const AttemptKey& key, Answer answer);

  // Records that the attempt provably did not run (never sent, refused or
  // revoked): its reservation is released and the turn stays open for another
  // attempt. Returns false for an attempt that is not open.
  bool MarkNotRun(const AttemptKey& key);

  // Records that the attempt's outcome will never be known: its reservation
  // counts as spent. The turn of a non-repeatable call ends as unknown; that of
  // a repeatable call stays open for another attempt. Returns false for an
  // attempt that is not open.
  bool MarkLost(const AttemptKey& key);

  // Applies the state of a dispatched attempt through Accept(), MarkNotRun() or
  // MarkLost(); kRunning changes nothing. If a sidecar refuses an attempt
  // because its incarnation has changed, the outcome is kIncarnationGone rather
  // than kRevoked, because the previous incarnation may have run the attempt.
  // Returns whether the attempt is no longer open.
  bool Settle(const AttemptKey& key, SettleOutcome outcome, Answer answer);

  // Closes the open turn without a record, so that its number may be used
  // again. Throws kInternal while a non-repeatable attempt is open; other
  // dispatched attempts only settle their cost. Returns the state to report to
  // the caller once the withdrawal is durable: kNotRun if every attempt
  // provably did not run, else kUnknown.
  base::ExecutionStatus Withdraw(std::uint32_t turn);

  // Ends the open turn as failed, for example at its deadline. Throws under the
  // same condition as Withdraw().
  void FailTurn(std::uint32_t turn, Answer answer);

  // Whether a sidecar must keep the answer of this attempt: the attempt is
  // open, or its turn has ended and is not durable yet. Otherwise the sidecar
  // may discard it.
  bool answer_needed(const AttemptKey& key) const;

  // Whether the turn has ended and its record is durable.
  bool turn_durable(std::uint32_t turn) const;

  // Open non-repeatable attempts that may have been sent. A new owner queries
  // their sidecars and settles them through Accept(), MarkNotRun() (revoked) or
  // MarkLost() (incarnation lost).
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

  // Whether the program has ended, no turn, attempt or child is open and so its
  // cost is final.
  bool settled() const;

  // Servers to which a release must be sent or resent now. There are none
  // before the end of the program is durable, because a new owner would find
  // the program running while its sidecars refuse its attempts. Servers with an
  // open attempt are left out.
  std::vector<CacheHolder> pending_releases() const;
  // Removes a holder that has released the cache or whose incarnation has
  // ended.
  void ReleaseAcknowledged(const CacheHolder& holder);

  // Whether nothing is left to do, so that the program may be removed from
  // memory.
  bool removable() const;

  // --- Children --------------------------------------------------------------

  // Allocates a share; throws kProgramEnded, kLimitReached, kBudgetExhausted.
  void AddChild(const ProgramId& child, std::int64_t share);
  // Reclaims the unused budget of a settled child.
  void ChildSettled(const ProgramId& child, std::int64_t child_spent);
  // Records that the parent reclaimed this program's unused budget.
  void MarkShareReturned();
  bool share_returned() const { return share_returned_; }

  // --- Durability ------------------------------------------------------------

  std::uint64_t revision() const { return revision_; }
  std::uint64_t durable_revision() const { return durable_revision_; }
  // Whether there is something to commit and no commit in progress.
  bool dirty() const { return !committing() && revision_ > durable_revision_; }
  bool committing() const { return pending_commit_.has_value(); }
  // Version of the stored head row; zero before the first commit.
  std::uint64_t head_version() const { return head_version_; }

  // Returns the content of the next commit, which then is in progress until
  // CommitApplied() or CommitRejected() reports its certain result.
  ProgramCommit BeginCommit(base::TimePoint now);
  // The commit took effect and wrote this version of the head row.
  void CommitApplied(std::uint64_t head_version);
  // The commit did not take effect; its changes must be committed again.
  void CommitRejected();

  // Removes the records of durable turns from memory except the last `keep`.
  void TrimHistory(std::size_t keep);

 private:
  // Commit whose result is not known yet.
  struct PendingCommit {
    // Revision and last turn that it contains.
    std::uint64_t revision = 0;
    std::uint32_t last_turn = 0;
  };

  Program() : budget_(0) {}

  void IncrementRevision() { ++revision_; }
  // The open attempt with this key, or attempts_.end().
  std::vector<Attempt>::iterator Find(const AttemptKey& key);
  std::vector<Attempt>::const_iterator Find(const AttemptKey& key) const;
  const TurnRecord* FindTurn(std::uint32_t turn) const;
  // Parts of Admit().
  Admission AdmitRepeat(const CallRequest& call) const;
  void AdmitNew(const CallRequest& call,
                const LoopGuard& guard,
                base::TimePoint now);
  // Error for an operation on a program that has ended.
  base::Error EndedError() const;
  // Throws unless `turn` is open and has no open non-repeatable attempt.
  void RequireClosable(std::uint32_t turn) const;
  // Appends the record of the open turn and closes it.
  void EndTurn(Answer answer);
  // Closes the open turn: withdraws attempts that were not sent and marks the
  // others as superseded.
  void CloseTurn();
  // Sets a final state and withdraws attempts that were not sent.
  void EnterFinalState(ProgramState state);
  // Closes the open turn of an ended program once no attempt can end it.
  void CloseTurnWithoutAttempts();
  // Whether an open attempt of the turn can still end it.
  bool HasActiveAttempt(std::uint32_t turn) const;

  // See the accessors.
  ProgramSpec spec_;
  ProgramState state_ = ProgramState::kRunning;
  std::uint32_t last_turn_ = 0;
  std::optional<CallRequest> open_call_;
  // Number of attempts started for the open turn.
  std::uint32_t attempts_started_ = 0;
  // Whether an attempt of the open turn has an unknown outcome.
  bool attempt_lost_ = false;
  std::vector<Attempt> attempts_;
  std::vector<TurnRecord> history_;
  BudgetLedger budget_;
  std::set<CacheHolder> holders_;
  std::map<ProgramId, std::int64_t> children_;
  bool share_returned_ = false;
  // Maximum tokens that a commit holds for the next call: the worst-case cost
  // of the last call.
  std::int64_t allowance_ = 0;
  // Time on this owner's clock at which elapsed() is zero.
  base::TimePoint started_;
  std::uint64_t dropped_answers_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t durable_revision_ = 0;
  // Revision at which the program ended.
  std::uint64_t end_revision_ = 0;
  // Last turn whose record is durable.
  std::uint32_t durable_turn_ = 0;
  std::uint64_t head_version_ = 0;
  std::optional<PendingCommit> pending_commit_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_H_
