// Durability of a program: content of a commit, and recovery from stored rows.

#include <algorithm>
#include <iterator>

#include "vanillalever/program/program.h"

namespace vanillalever::program {

namespace {

void Require(bool condition, const char* message) {
  if (!condition) {
    throw base::NotRunError(base::ErrorCode::kInternal, base::Step::kCommit,
                            message);
  }
}

void RequireRow(bool condition, const char* message) {
  if (!condition) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kParse, message);
  }
}

Attempt RecoverIntent(const OpenTurn& open) {
  Attempt attempt;
  attempt.turn = open.call.turn;
  attempt.attempt = open.intent.attempt;
  attempt.target = open.intent.target;
  attempt.reservation = open.intent.reservation;
  attempt.repeatable = false;
  attempt.dispatched = true;
  return attempt;
}

}  // namespace

Program Program::Recover(const ProgramHead& head,
                         std::vector<TurnRecord> turns,
                         std::uint64_t head_version,
                         base::TimePoint now,
                         OwnershipEnd ownership_end) {
  std::sort(
      turns.begin(), turns.end(),
      [](const TurnRecord& a, const TurnRecord& b) { return a.turn < b.turn; });
  bool repeated =
      std::adjacent_find(turns.begin(), turns.end(),
                         [](const TurnRecord& a, const TurnRecord& b) {
                           return a.turn == b.turn;
                         }) != turns.end();
  RequireRow(!repeated, "a turn occurs twice");
  RequireRow(turns.empty() || (turns.front().turn > 0 &&
                               turns.back().turn <= head.last_turn),
             "a turn is outside the program's history");
  Program program;
  program.spec_ = head.spec;
  program.state_ = head.state;
  program.last_turn_ = head.last_turn;
  program.history_ = std::move(turns);
  program.holders_ = head.holders;
  program.children_ = head.children;
  program.share_returned_ = head.share_returned;
  program.started_ = now - head.elapsed;
  std::int64_t open_intents = 0;
  if (head.open) {
    const auto& [call, intent] = *head.open;
    RequireRow(call.turn == head.last_turn + 1 && !call.repeatable,
               "the open turn does not follow the last turn");
    program.open_call_ = call;
    program.attempts_started_ = intent.attempt;
    program.attempts_.push_back(RecoverIntent(*head.open));
    open_intents = intent.reservation;
    if (intent.target.holds_cache) {
      program.holders_.insert(
          {intent.target.server, intent.target.sidecar_incarnation});
    }
  }
  program.budget_ =
      BudgetLedger::Recover(head.budget, open_intents, ownership_end);
  program.revision_ = 1;
  program.durable_revision_ = 1;
  program.durable_turn_ = head.last_turn;
  program.head_version_ = head_version;
  return program;
}

ProgramCommit Program::BeginCommit(base::TimePoint now) {
  Require(!committing(), "a commit of the program is in progress");
  ProgramCommit commit;
  commit.expected_version = head_version_;
  ProgramHead& head = commit.head;
  head.spec = spec_;
  head.state = state_;
  head.last_turn = last_turn_;
  head.elapsed = elapsed(now);
  bool running = state_ == ProgramState::kRunning;
  std::int64_t max_allowance = spec_.budget / kAllowanceDivisor;
  head.budget =
      budget_.BeginCommit(running ? std::min(allowance_, max_allowance) : 0);
  auto intent = std::find_if(
      attempts_.begin(), attempts_.end(), [](const Attempt& attempt) {
        return !attempt.repeatable && !attempt.superseded;
      });
  if (intent != attempts_.end()) {
    head.open = OpenTurn{
        *open_call_, {intent->attempt, intent->target, intent->reservation}};
  }
  head.holders = holders_;
  head.children = children_;
  head.share_returned = share_returned_;
  std::copy_if(
      history_.begin(), history_.end(), std::back_inserter(commit.turns),
      [this](const TurnRecord& record) { return record.turn > durable_turn_; });
  pending_commit_ = PendingCommit{revision_, last_turn_};
  return commit;
}

void Program::CommitApplied(std::uint64_t head_version) {
  Require(committing(), "no commit of the program is in progress");
  durable_revision_ = pending_commit_->revision;
  durable_turn_ = pending_commit_->last_turn;
  head_version_ = head_version;
  budget_.CommitApplied();
  pending_commit_.reset();
}

void Program::CommitRejected() {
  Require(committing(), "no commit of the program is in progress");
  budget_.CommitRejected();
  pending_commit_.reset();
}

void Program::TrimHistory(std::size_t keep) {
  auto durable_end = std::find_if(
      history_.begin(), history_.end(),
      [this](const TurnRecord& record) { return record.turn > durable_turn_; });
  auto durable = static_cast<std::size_t>(durable_end - history_.begin());
  if (durable > keep) {
    history_.erase(history_.begin(),
                   durable_end - static_cast<std::ptrdiff_t>(keep));
  }
}

}  // namespace vanillalever::program
