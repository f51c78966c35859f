#include "vanillalever/program/program.h"

#include <vector>

#include <catch2/catch.hpp>

#include "program_fixture.h"
#include "vanillalever/base/random.h"

namespace vanillalever::program {
namespace {

using enum AdmitAction;
using enum AnswerMatch;
using enum DispatchState;

AdmitAction Admit(Program& program, const CallRequest& call) {
  return program.Admit(call, NoLimits(), kStart).action;
}

// Program whose creation is durable, with an allowance for the first call.
Program StoredProgram(std::int64_t allowance = 100) {
  Program program(MakeSpec(), kStart, allowance);
  Commit(program);
  return program;
}

// Guards against an owner crash that consumes most of a small budget, because
// the allowance counts as spent.
TEST_CASE("an allowance is at most an eighth of the budget") {
  Program program(MakeSpec(800), kStart, 4096);
  CHECK(program.BeginCommit(kStart).head.budget.held == 100);
}

// Guards against calls that run out of order, twice or under a used turn
// number.
TEST_CASE("turns are admitted in order and repeats are answered") {
  Program program = StoredProgram();
  CHECK(CodeOf([&] { Admit(program, MakeCall(0)); }) == "invalid_request");
  CHECK(CodeOf([&] { Admit(program, MakeCall(2)); }) == "turn_conflict");
  CHECK(Admit(program, MakeCall(1)) == kRun);
  CHECK(Admit(program, MakeCall(1)) == kJoin);
  CHECK(CodeOf([&] { Admit(program, MakeCall(1, true, "other")); }) ==
        "turn_conflict");
  CHECK(CodeOf([&] { Admit(program, MakeCall(2)); }) == "turn_conflict");
  AttemptKey key = program.StartAttempt(1, MakeTarget("t1"));
  program.MarkDispatched(key);
  CHECK(program.Accept(key, MakeAnswer("a")) == kEndedTurn);
  // The turn has ended but is not durable: no caller is answered and no new
  // turn is admitted.
  CHECK(Admit(program, MakeCall(1)) == kJoin);
  CHECK(CodeOf([&] { Admit(program, MakeCall(2)); }) == "turn_conflict");
  CHECK(program.answer_needed(key));
  Commit(program);
  CHECK_FALSE(program.answer_needed(key));
  Admission repeat = program.Admit(MakeCall(1), NoLimits(), kStart);
  CHECK(repeat.action == kAnswer);
  CHECK(repeat.record->answer.body == "a");
  CHECK(CodeOf([&] { Admit(program, MakeCall(1, true, "other")); }) ==
        "turn_conflict");
  CHECK(Admit(program, MakeCall(2)) == kRun);
}

// Guards against an answer that is recorded for a request that it does not
// belong to.
TEST_CASE("late, duplicate and misrouted answers are counted and dropped") {
  Program program = StoredProgram();
  Admit(program, MakeCall(1));
  AttemptKey first = program.StartAttempt(1, MakeTarget("t1"));
  CHECK(program.Accept(first, MakeAnswer("early")) == kDropped);
  program.MarkDispatched(first);
  CHECK(program.Accept({1, 1, "t2"}, MakeAnswer("x")) == kDropped);
  CHECK(program.Accept({1, 2, "t1"}, MakeAnswer("x")) == kDropped);
  CHECK(program.Accept({2, 1, "t1"}, MakeAnswer("x")) == kDropped);
  CHECK(program.MarkLost(first));
  CHECK(program.Accept(first, MakeAnswer("late")) == kDropped);
  AttemptKey second = program.StartAttempt(1, MakeTarget("t2"));
  Commit(program);
  program.MarkDispatched(second);
  CHECK(program.Accept(second, MakeAnswer("good")) == kEndedTurn);
  CHECK(program.Accept(second, MakeAnswer("twice")) == kDropped);
  CHECK(program.dropped_answers() == 6);
  CHECK(program.history().back().answer.body == "good");
  // The reservation of the lost attempt counts as spent.
  CHECK(program.budget().spent() == 140);
  CHECK(program.budget().reserved() == 0);
}

// Guards against a hedged call that charges only the faster of its attempts.
TEST_CASE("the first of two hedged attempts ends the turn") {
  Program program = StoredProgram(200);
  Admit(program, MakeCall(1));
  AttemptKey slow = program.StartAttempt(1, MakeTarget("t1"));
  AttemptKey fast = program.StartAttempt(1, MakeTarget("t2", "10.0.0.2:7000"));
  program.MarkDispatched(slow);
  program.MarkDispatched(fast);
  AttemptKey unsent = program.StartAttempt(1, MakeTarget("t3"));
  CHECK(program.Accept(fast, MakeAnswer("f")) == kEndedTurn);
  CHECK(program.dispatch_state(unsent) == kNotPending);
  CHECK(program.budget().reserved() == 100);
  Commit(program);
  CHECK(Admit(program, MakeCall(2)) == kRun);
  CHECK(program.Accept(slow, MakeAnswer("s", 7)) == kSettledCost);
  CHECK(program.budget().spent() == 47);
  CHECK(program.history().back().answer.body == "f");
}

// Guards against a dispatch whose cost or intent is lost when the owner
// crashes.
TEST_CASE("an attempt waits until intent and reservation are durable") {
  Program program(MakeSpec(), kStart, 100);
  Admit(program, MakeCall(1));
  AttemptKey key = program.StartAttempt(1, MakeTarget("t1"));
  CHECK(program.dispatch_state(key) == kAwaitCommit);
  CHECK(CodeOf([&] { program.MarkDispatched(key); }) == "internal");
  Commit(program);
  CHECK(program.dispatch_state(key) == kReady);
  program.MarkDispatched(key);
  CHECK(program.dispatch_state(key) == kNotPending);
  program.Accept(key, MakeAnswer("a"));
  Commit(program);
  // The allowance covers the next repeatable call, but never an intent.
  Admit(program, MakeCall(2));
  AttemptKey second = program.StartAttempt(2, MakeTarget("t2"));
  CHECK(program.dispatch_state(second) == kReady);
  program.MarkDispatched(second);
  program.Accept(second, MakeAnswer("b"));
  Commit(program);
  Admit(program, MakeCall(3, false));
  // A commit that began before the intent does not make it durable.
  program.BeginCommit(kStart);
  AttemptKey pay = program.StartAttempt(3, MakeTarget("t3"));
  CHECK(program.dispatch_state(pay) == kAwaitCommit);
  program.CommitApplied(9);
  CHECK(program.dispatch_state(pay) == kAwaitCommit);
  Commit(program);
  CHECK(program.dispatch_state(pay) == kReady);
  CHECK(CodeOf([&] { program.StartAttempt(3, MakeTarget("t4")); }) ==
        "internal");
}

// Guards against reporting a call as not run although it may have run.
TEST_CASE("a withdrawn turn is reported as not run only if that is certain") {
  Program program = StoredProgram(300);
  Admit(program, MakeCall(1));
  AttemptKey key = program.StartAttempt(1, MakeTarget("t1"));
  CHECK(program.MarkNotRun(key));
  CHECK_FALSE(program.MarkNotRun(key));
  CHECK(program.Withdraw(1) == base::ExecutionStatus::kNotRun);
  CHECK(program.budget().available() == 10'000);
  Admit(program, MakeCall(1, true, "changed"));
  key = program.StartAttempt(1, MakeTarget("t2"));
  program.MarkDispatched(key);
  program.MarkLost(key);
  CHECK(program.Withdraw(1) == base::ExecutionStatus::kUnknown);
  Commit(program);
  Admit(program, MakeCall(1));
  key = program.StartAttempt(1, MakeTarget("t3"));
  program.MarkDispatched(key);
  CHECK(program.Withdraw(1) == base::ExecutionStatus::kUnknown);
  CHECK(program.Accept(key, MakeAnswer("x")) == kSettledCost);
  CHECK(program.last_turn() == 0);
}

// Guards against a non-repeatable call that runs again after its outcome is
// lost.
TEST_CASE("a lost non-repeatable call ends its turn as unknown") {
  Program program(MakeSpec(), kStart);
  Admit(program, MakeCall(1, false));
  AttemptKey key = program.StartAttempt(1, MakeTarget("t1"));
  Commit(program);
  program.MarkDispatched(key);
  CHECK(program.open_intents().size() == 1);
  CHECK(CodeOf([&] { program.Withdraw(1); }) == "internal");
  CHECK(CodeOf([&] { program.FailTurn(1, Answer()); }) == "internal");
  CHECK_FALSE(program.Settle(key, SettleOutcome::kRunning, Answer()));
  CHECK(program.Settle(key, SettleOutcome::kIncarnationGone, Answer()));
  Commit(program);
  Admission repeat = program.Admit(MakeCall(1, false), NoLimits(), kStart);
  CHECK(repeat.record->answer.outcome == TurnOutcome::kUnknown);
  CHECK(program.budget().spent() == 100);
  CHECK(Admit(program, MakeCall(2)) == kRun);
}

// Guards against programs that loop indefinitely.
TEST_CASE("declared limits end a program with an error that names the limit") {
  LoopGuard turns({.max_turns = 1});
  LoopGuard time({.max_elapsed = base::seconds(60)});
  LoopGuard spend({.max_spend = 40});
  for (const LoopGuard& guard : {turns, time, spend}) {
    Program program(MakeSpec(), kStart, 100);
    RunTurn(program, 1);
    base::TimePoint later = kStart + base::seconds(61);
    CHECK(CodeOf([&] { program.Admit(MakeCall(2), guard, later); }) ==
          "limit_reached");
    CHECK(program.state() == ProgramState::kLimitReached);
    CHECK(program.dirty());
    Commit(program);
    CHECK(program.Admit(MakeCall(1), guard, later).action == kAnswer);
    CHECK(CodeOf([&] { Admit(program, MakeCall(2)); }) == "limit_reached");
  }
  Program program(MakeSpec(), kStart);
  CHECK_FALSE(program.CheckLimits(time, kStart + base::seconds(59)));
  CHECK(program.CheckLimits(time, kStart + base::seconds(60)));
  auto error = LoopGuard({.max_turns = 1}).Check({.turns = 1});
  CHECK(error->message ==
        "the program reached its declared limit on turns: 1 of 1 turns");
}

// Guards against KV cache that stays allocated for an ended program.
TEST_CASE("releases stay pending until every holder has acknowledged") {
  Program program(MakeSpec(), kStart, 100);
  RunTurn(program, 1);
  CHECK(program.pending_releases().empty());
  program.End();
  // If the release were sent before the end is durable, a new owner could find
  // the program running.
  CHECK(program.pending_releases().empty());
  Commit(program);
  CHECK(program.pending_releases().size() == 1);
  CHECK_FALSE(program.removable());
  program.ReleaseAcknowledged({"10.0.0.1:7000", "another incarnation"});
  CHECK(program.pending_releases().size() == 1);
  program.ReleaseAcknowledged({"10.0.0.1:7000", "sidecar-1"});
  CHECK(program.pending_releases().empty());
  CHECK_FALSE(program.removable());
  Commit(program);
  CHECK(program.removable());
  CHECK(CodeOf([&] { Admit(program, MakeCall(2)); }) == "program_ended");
}

// Guards against a cancel that loses track of running work or still sends
// attempts.
TEST_CASE("cancel withdraws unsent attempts and awaits the others") {
  Program program = StoredProgram();
  Admit(program, MakeCall(1));
  AttemptKey unsent = program.StartAttempt(1, MakeTarget("t1"));
  CHECK(program.Cancel().empty());
  CHECK(program.dispatch_state(unsent) == kNotPending);
  CHECK(program.settled());
  CHECK(program.budget().available() == 10'000);

  Program paying(MakeSpec(), kStart);
  Admit(paying, MakeCall(1, false));
  AttemptKey sent = paying.StartAttempt(1, MakeTarget("t1"));
  Commit(paying);
  paying.MarkDispatched(sent);
  CHECK(CodeOf([&] { paying.End(); }) == "turn_conflict");
  CHECK(paying.Cancel().size() == 1);
  CHECK_FALSE(paying.settled());
  CHECK(paying.pending_releases().empty());
  CHECK(paying.Accept(sent, MakeAnswer("paid")) == kEndedTurn);
  CHECK(paying.settled());
  Commit(paying);
  CHECK(paying.pending_releases().size() == 1);
  CHECK(Admit(paying, MakeCall(1, false)) == kAnswer);
}

// Guards against memory that grows with the length of the history.
TEST_CASE("trimmed turns must be read from their rows") {
  Program program(MakeSpec(), kStart, 100);
  for (std::uint32_t turn = 1; turn <= 5; ++turn)
    RunTurn(program, turn);
  program.TrimHistory(2);
  CHECK(program.history().size() == 2);
  CHECK(Admit(program, MakeCall(3)) == kReadHistory);
  CHECK(Admit(program, MakeCall(4)) == kAnswer);
  TurnRecord stored{3, "fingerprint-3", "models", "chat", Answer()};
  CheckRepeat(MakeCall(3), stored);
  CHECK(CodeOf([&] { CheckRepeat(MakeCall(3, true, "other"), stored); }) ==
        "turn_conflict");
}

// Guards against a malformed answer that closes its attempt or is charged.
TEST_CASE("a malformed answer is refused without a change") {
  Program program = StoredProgram();
  Admit(program, MakeCall(1));
  AttemptKey key = program.StartAttempt(1, MakeTarget("t1"));
  program.MarkDispatched(key);
  Answer large = MakeAnswer(std::string(kMaxInlineBodyBytes + 1, 'x'));
  CHECK(CodeOf([&] { program.Accept(key, large); }) == "too_large/ran");
  CHECK(CodeOf([&] { program.Accept(key, MakeAnswer("", -1)); }) ==
        "invalid_request/ran");
  large.object = "object-1";
  CHECK(program.Accept(key, large) == kEndedTurn);
}

}  // namespace
}  // namespace vanillalever::program
