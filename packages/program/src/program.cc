#include "vanillalever/program/program.h"

#include <algorithm>
#include <iterator>

namespace vanillalever::program {

namespace {

using base::ErrorCode;
using base::NotRunError;
using base::Step;

[[noreturn]] void ThrowUsageError(std::string message) {
  throw NotRunError(ErrorCode::kInternal, Step::kAdmit, std::move(message));
}

base::Error TurnConflict(std::string message) {
  return NotRunError(ErrorCode::kTurnConflict, Step::kAdmit,
                     std::move(message));
}

// Throws for an answer that cannot be recorded; the error says that the call
// ran.
void CheckAnswer(const Answer& answer, const std::string& server) {
  base::ErrorInfo info;
  info.step = Step::kAnswer;
  info.peer = server;
  info.ran = base::ExecutionStatus::kRan;
  if (answer.input_tokens < 0 || answer.output_tokens < 0 || answer.cost < 0) {
    info.code = ErrorCode::kInvalidRequest;
    info.message = "the answer has a negative amount";
    throw base::Error(std::move(info));
  }
  if (answer.body.size() > kMaxInlineBodyBytes && answer.object.empty()) {
    info.code = ErrorCode::kTooLarge;
    info.message = "the answer's body needs an object";
    throw base::Error(std::move(info));
  }
}

std::string TurnLabel(std::uint32_t turn) {
  return "turn " + std::to_string(turn);
}

}  // namespace

Program::Program(ProgramSpec spec,
                 base::TimePoint now,
                 std::int64_t first_allowance)
    : spec_(std::move(spec)),
      budget_(spec_.budget),
      allowance_(first_allowance),
      started_(now),
      revision_(1) {}

base::milliseconds Program::elapsed(base::TimePoint now) const {
  return std::chrono::duration_cast<base::milliseconds>(now - started_);
}

// --- Calls -------------------------------------------------------------------

Admission Program::Admit(const CallRequest& call,
                         const LoopGuard& guard,
                         base::TimePoint now) {
  if (call.turn == 0) {
    throw NotRunError(ErrorCode::kInvalidRequest, Step::kAdmit,
                      "turns are numbered from 1");
  }
  if (open_call_ && call.turn == open_call_->turn) {
    if (call.fingerprint != open_call_->fingerprint)
      throw TurnConflict(TurnLabel(call.turn) +
                         " is open with another request");
    return {AdmitAction::kJoin, std::nullopt};
  }
  if (call.turn <= last_turn_)
    return AdmitRepeat(call);
  AdmitNew(call, guard, now);
  return {AdmitAction::kRun, std::nullopt};
}

Admission Program::AdmitRepeat(const CallRequest& call) const {
  const TurnRecord* record = FindTurn(call.turn);
  if (record == nullptr)
    return {AdmitAction::kReadHistory, std::nullopt};
  CheckRepeat(call, *record);
  if (!turn_durable(call.turn))
    return {AdmitAction::kJoin, std::nullopt};
  return {AdmitAction::kAnswer, *record};
}

void Program::AdmitNew(const CallRequest& call,
                       const LoopGuard& guard,
                       base::TimePoint now) {
  if (state_ != ProgramState::kRunning)
    throw EndedError();
  if (open_call_)
    throw TurnConflict(TurnLabel(open_call_->turn) + " has not ended");
  if (call.turn != last_turn_ + 1) {
    throw TurnConflict("expected " + TurnLabel(last_turn_ + 1) + ", got " +
                       TurnLabel(call.turn));
  }
  if (last_turn_ > 0 && !turn_durable(last_turn_))
    throw TurnConflict(TurnLabel(last_turn_) + " is not durable yet");
  LoopUsage usage{last_turn_, elapsed(now), budget_.spent()};
  if (auto reached = guard.Check(usage)) {
    EnterFinalState(ProgramState::kLimitReached);
    throw base::Error(*reached);
  }
  if (call.worst_case_cost < 0) {
    throw NotRunError(ErrorCode::kInvalidRequest, Step::kAdmit,
                      "the worst-case cost is negative");
  }
  // Only checks that the cost fits; StartAttempt() reserves it per attempt.
  budget_.Reserve(call.worst_case_cost);
  budget_.Release(call.worst_case_cost);
  open_call_ = call;
  attempts_started_ = 0;
  attempt_lost_ = false;
}

bool Program::CheckLimits(const LoopGuard& guard, base::TimePoint now) {
  if (state_ != ProgramState::kRunning)
    return false;
  if (!guard.Check({last_turn_, elapsed(now), budget_.spent()}))
    return false;
  EnterFinalState(ProgramState::kLimitReached);
  return true;
}

AttemptKey Program::StartAttempt(std::uint32_t turn, AttemptTarget target) {
  if (!open_call_ || open_call_->turn != turn)
    ThrowUsageError(TurnLabel(turn) + " is not open");
  if (state_ != ProgramState::kRunning)
    throw EndedError();
  if (!open_call_->repeatable && HasActiveAttempt(turn))
    ThrowUsageError(TurnLabel(turn) +
                    " has an open attempt that may not be repeated");
  budget_.Reserve(open_call_->worst_case_cost);
  allowance_ = open_call_->worst_case_cost;
  if (!open_call_->repeatable || !budget_.covered())
    IncrementRevision();
  Attempt attempt;
  attempt.turn = turn;
  attempt.attempt = ++attempts_started_;
  attempt.target = std::move(target);
  attempt.reservation = open_call_->worst_case_cost;
  attempt.repeatable = open_call_->repeatable;
  attempt.revision = revision_;
  attempts_.push_back(std::move(attempt));
  return attempts_.back().key();
}

DispatchState Program::dispatch_state(const AttemptKey& key) const {
  auto attempt = Find(key);
  if (attempt == attempts_.end() || attempt->dispatched)
    return DispatchState::kNotPending;
  bool intent_durable =
      attempt->repeatable || durable_revision_ >= attempt->revision;
  return intent_durable && budget_.covered() ? DispatchState::kReady
                                             : DispatchState::kAwaitCommit;
}

void Program::MarkDispatched(const AttemptKey& key) {
  if (dispatch_state(key) != DispatchState::kReady)
    ThrowUsageError("an attempt of " + TurnLabel(key.turn) +
                    " may not be sent");
  auto attempt = Find(key);
  attempt->dispatched = true;
  if (attempt->target.holds_cache) {
    holders_.insert(
        {attempt->target.server, attempt->target.sidecar_incarnation});
  }
}

AnswerMatch Program::Accept(const AttemptKey& key, Answer answer) {
  auto attempt = Find(key);
  if (attempt == attempts_.end() || !attempt->dispatched) {
    ++dropped_answers_;
    return AnswerMatch::kDropped;
  }
  CheckAnswer(answer, attempt->target.server);
  Attempt settled = std::move(*attempt);
  attempts_.erase(attempt);
  if (answer.outcome == TurnOutcome::kUnknown) {
    answer.cost = settled.reservation;
    budget_.ChargeInFull(settled.reservation);
  } else {
    budget_.Settle(settled.reservation, answer.cost);
  }
  if (settled.superseded) {
    // The stored row counts the whole reservation, so the lower cost must
    // become durable only once the program has ended.
    if (state_ != ProgramState::kRunning)
      IncrementRevision();
    return AnswerMatch::kSettledCost;
  }
  EndTurn(std::move(answer));
  return AnswerMatch::kEndedTurn;
}

bool Program::MarkNotRun(const AttemptKey& key) {
  auto attempt = Find(key);
  if (attempt == attempts_.end())
    return false;
  budget_.Release(attempt->reservation);
  if (!attempt->repeatable || state_ != ProgramState::kRunning)
    IncrementRevision();
  attempts_.erase(attempt);
  CloseTurnWithoutAttempts();
  return true;
}

bool Program::MarkLost(const AttemptKey& key) {
  auto attempt = Find(key);
  if (attempt == attempts_.end())
    return false;
  Attempt lost = std::move(*attempt);
  attempts_.erase(attempt);
  budget_.ChargeInFull(lost.reservation);
  if (!lost.repeatable && !lost.superseded) {
    Answer answer;
    answer.outcome = TurnOutcome::kUnknown;
    answer.cost = lost.reservation;
    EndTurn(std::move(answer));
    return true;
  }
  if (!lost.superseded)
    attempt_lost_ = true;
  if (state_ != ProgramState::kRunning)
    IncrementRevision();
  CloseTurnWithoutAttempts();
  return true;
}

bool Program::Settle(const AttemptKey& key,
                     SettleOutcome outcome,
                     Answer answer) {
  switch (outcome) {
    case SettleOutcome::kDone:
      Accept(key, std::move(answer));
      break;
    case SettleOutcome::kRunning:
      break;
    case SettleOutcome::kRevoked:
      MarkNotRun(key);
      break;
    case SettleOutcome::kIncarnationGone:
      MarkLost(key);
      break;
  }
  return Find(key) == attempts_.end();
}

base::ExecutionStatus Program::Withdraw(std::uint32_t turn) {
  RequireClosable(turn);
  IncrementRevision();
  CloseTurn();
  bool may_have_run =
      attempt_lost_ || std::any_of(attempts_.begin(), attempts_.end(),
                                   [turn](const Attempt& attempt) {
                                     return attempt.turn == turn;
                                   });
  return may_have_run ? base::ExecutionStatus::kUnknown
                      : base::ExecutionStatus::kNotRun;
}

void Program::FailTurn(std::uint32_t turn, Answer answer) {
  RequireClosable(turn);
  answer.outcome = TurnOutcome::kFailed;
  EndTurn(std::move(answer));
}

bool Program::answer_needed(const AttemptKey& key) const {
  if (Find(key) != attempts_.end())
    return true;
  return key.turn <= last_turn_ && !turn_durable(key.turn);
}

bool Program::turn_durable(std::uint32_t turn) const {
  return turn > 0 && turn <= durable_turn_;
}

std::vector<Attempt> Program::open_intents() const {
  std::vector<Attempt> intents;
  std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(intents),
               [](const Attempt& attempt) {
                 return !attempt.repeatable && attempt.dispatched;
               });
  return intents;
}

// --- End ---------------------------------------------------------------------

void Program::End() {
  if (state_ != ProgramState::kRunning)
    return;
  if (open_call_)
    throw TurnConflict(TurnLabel(open_call_->turn) + " has not ended");
  if (!children_.empty()) {
    throw TurnConflict(std::to_string(children_.size()) +
                       " sub-agents have not ended, first " +
                       children_.begin()->first.text());
  }
  EnterFinalState(ProgramState::kEnded);
}

std::vector<Attempt> Program::Cancel() {
  if (state_ == ProgramState::kRunning)
    EnterFinalState(ProgramState::kCancelled);
  return attempts_;
}

bool Program::settled() const {
  return state_ != ProgramState::kRunning && !open_call_ && attempts_.empty() &&
         children_.empty();
}

std::vector<CacheHolder> Program::pending_releases() const {
  if (state_ == ProgramState::kRunning || durable_revision_ < end_revision_)
    return {};
  std::vector<CacheHolder> pending;
  for (const CacheHolder& holder : holders_) {
    bool busy = std::any_of(attempts_.begin(), attempts_.end(),
                            [&holder](const Attempt& attempt) {
                              return attempt.target.server == holder.server &&
                                     attempt.target.sidecar_incarnation ==
                                         holder.sidecar_incarnation;
                            });
    if (!busy)
      pending.push_back(holder);
  }
  return pending;
}

void Program::ReleaseAcknowledged(const CacheHolder& holder) {
  if (holders_.erase(holder) > 0 && state_ != ProgramState::kRunning)
    IncrementRevision();
}

bool Program::removable() const {
  bool returned = spec_.parent.empty() || share_returned_;
  return settled() && returned && holders_.empty() && !committing() && !dirty();
}

// --- Children ----------------------------------------------------------------

void Program::AddChild(const ProgramId& child, std::int64_t share) {
  if (state_ != ProgramState::kRunning)
    throw EndedError();
  if (children_.contains(child))
    ThrowUsageError("child " + child.text() + " exists");
  budget_.AllocateShare(share);
  children_.emplace(child, share);
  IncrementRevision();
}

void Program::ChildSettled(const ProgramId& child, std::int64_t child_spent) {
  auto entry = children_.find(child);
  if (entry == children_.end())
    ThrowUsageError("no child " + child.text());
  budget_.ReturnShare(entry->second, child_spent);
  children_.erase(entry);
  IncrementRevision();
}

void Program::MarkShareReturned() {
  if (!settled() || share_returned_)
    ThrowUsageError("the budget share cannot be returned now");
  share_returned_ = true;
  IncrementRevision();
}

// --- Internals ---------------------------------------------------------------

std::vector<Attempt>::iterator Program::Find(const AttemptKey& key) {
  return std::find_if(
      attempts_.begin(), attempts_.end(), [&key](const Attempt& attempt) {
        return attempt.turn == key.turn && attempt.attempt == key.attempt &&
               attempt.target.work_token == key.work_token;
      });
}

std::vector<Attempt>::const_iterator Program::Find(
    const AttemptKey& key) const {
  return const_cast<Program*>(this)->Find(key);
}

const TurnRecord* Program::FindTurn(std::uint32_t turn) const {
  auto record = std::lower_bound(
      history_.begin(), history_.end(), turn,
      [](const TurnRecord& entry, std::uint32_t n) { return entry.turn < n; });
  return record != history_.end() && record->turn == turn ? &*record : nullptr;
}

base::Error Program::EndedError() const {
  bool limit = state_ == ProgramState::kLimitReached;
  return NotRunError(
      limit ? ErrorCode::kLimitReached : ErrorCode::kProgramEnded, Step::kAdmit,
      "the program is " + std::string(kProgramStateNames.name(state_)) +
          " after " + std::to_string(last_turn_) + " turns");
}

void Program::RequireClosable(std::uint32_t turn) const {
  if (!open_call_ || open_call_->turn != turn)
    ThrowUsageError(TurnLabel(turn) + " is not open");
  if (!open_call_->repeatable && HasActiveAttempt(turn))
    ThrowUsageError(TurnLabel(turn) +
                    " has an attempt that may not be repeated");
}

void Program::EndTurn(Answer answer) {
  TurnRecord record;
  record.turn = open_call_->turn;
  record.fingerprint = open_call_->fingerprint;
  record.pool = open_call_->pool;
  record.operation = open_call_->operation;
  record.answer = std::move(answer);
  history_.push_back(std::move(record));
  last_turn_ = open_call_->turn;
  IncrementRevision();
  CloseTurn();
}

void Program::CloseTurn() {
  std::uint32_t turn = open_call_->turn;
  open_call_.reset();
  std::vector<Attempt> kept;
  for (Attempt& attempt : attempts_) {
    if (attempt.turn == turn && !attempt.dispatched) {
      budget_.Release(attempt.reservation);
      continue;
    }
    attempt.superseded = true;
    kept.push_back(std::move(attempt));
  }
  attempts_ = std::move(kept);
}

void Program::EnterFinalState(ProgramState state) {
  state_ = state;
  IncrementRevision();
  end_revision_ = revision_;
  std::vector<Attempt> kept;
  for (Attempt& attempt : attempts_) {
    if (attempt.dispatched)
      kept.push_back(std::move(attempt));
    else
      budget_.Release(attempt.reservation);
  }
  attempts_ = std::move(kept);
  CloseTurnWithoutAttempts();
}

void Program::CloseTurnWithoutAttempts() {
  if (state_ != ProgramState::kRunning && open_call_ &&
      !HasActiveAttempt(open_call_->turn))
    open_call_.reset();
}

bool Program::HasActiveAttempt(std::uint32_t turn) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [turn](const Attempt& attempt) {
                       return attempt.turn == turn && !attempt.superseded;
                     });
}

}  // namespace vanillalever::program
