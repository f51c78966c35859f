#include "call_runner.h"

#include <algorithm>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "turn_answer.h"
#include "vanillalever/base/hash.h"
#include "vanillalever/http/message.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::entry {
namespace {

using base::ErrorCode;
using base::Ran;
using base::Step;

// Time between looks for a server while none may receive the call.
constexpr base::Duration kServerPoll = base::milliseconds(100);
// Longest wait for a server; the caller is refused afterwards.
constexpr base::Duration kServerPatience = base::seconds(3);
// Time between looks at the strike table.
constexpr base::Duration kStrikePoll = base::milliseconds(50);
// Refusals by leaving or full servers that are followed without charging the
// retry budget: nothing ran, and another server is likely to accept.
constexpr int kFreeRetries = 3;
// A sidecar ends calls at their deadline; its word is worth this wait.
constexpr base::Duration kReplyGrace = base::seconds(1);
// Time after a call's deadline in which its outcome is made durable before the
// caller is told to repeat the turn.
constexpr base::Duration kCommitGrace = base::seconds(1);
constexpr base::Duration kObjectRetry = base::milliseconds(200);
constexpr double kBytesPerToken = 4;

base::ErrorInfo MakeError(ErrorCode code,
                          Step step,
                          std::string message,
                          Ran ran) {
  base::ErrorInfo info;
  info.code = code;
  info.step = step;
  info.message = std::move(message);
  info.ran = ran;
  return info;
}

}  // namespace

CallRunner::CallRunner(EntryContext& context, ShardPtr shard, CallPlan plan)
    : context_(context),
      shard_(std::move(shard)),
      plan_(std::move(plan)),
      strand_(boost::asio::make_strand(context.threads.context())),
      deadline_timer_(context.threads.context()),
      delay_timer_(context.threads.context()),
      random_(base::Hash64(base::RandomId())) {
  context_.shards.CallStarted(shard_->shard());
  query_.pool = plan_.call.pool;
  query_.program = plan_.id.text();
  query_.prompt_tokens =
      plan_.engine ? static_cast<double>(plan_.body.size()) / kBytesPerToken
                   : 0;
  double learned = context_.servers.ExpectedLength(plan_.class_key);
  query_.output_tokens =
      std::min(learned, std::max(1.0, static_cast<double>(plan_.max_tokens)));
}

CallRunner::~CallRunner() {
  context_.shards.CallEnded(shard_->shard());
}

template <typename Function>
void CallRunner::Post(Function function) {
  boost::asio::post(
      strand_, [self = shared_from_this(),
                function = std::move(function)]() mutable { function(*self); });
}

template <typename Function>
void CallRunner::PostAfter(base::Duration delay, Function function) {
  delay_timer_.expires_after(delay);
  delay_timer_.async_wait(boost::asio::bind_executor(
      strand_, [self = shared_from_this(), function = std::move(function)](
                   boost::system::error_code error) mutable {
        if (!error)
          function(*self);
      }));
}

template <typename Function>
void CallRunner::Guarded(Function function) {
  try {
    function();
  } catch (const base::Error& error) {
    base::ErrorInfo info = error.info();
    if (info.code == ErrorCode::kNotOwner && phase_ != Phase::kChoosing)
      info.ran = Ran::kUnknown;
    Fail(info);
  }
}

void CallRunner::Start() {
  Post([](CallRunner& self) {
    self.deadline_timer_.expires_at(self.plan_.deadline);
    self.deadline_timer_.async_wait(boost::asio::bind_executor(
        self.strand_,
        [weak = self.weak_from_this()](boost::system::error_code error) {
          auto runner = weak.lock();
          if (!error && runner)
            runner->OnDeadline();
        }));
    self.JudgeStrikes();
  });
}

void CallRunner::JudgeStrikes() {
  if (phase_ != Phase::kChoosing)
    return;
  switch (context_.strikes.table().Judge(plan_.call.fingerprint, now())) {
    case guard::StrikeVerdict::kNormal:
      return Dispatch();
    case guard::StrikeVerdict::kRunAlone:
      alone_ = true;
      return Dispatch();
    case guard::StrikeVerdict::kWait:
      return PostAfter(kStrikePoll,
                       [](CallRunner& self) { self.JudgeStrikes(); });
    case guard::StrikeVerdict::kQuarantined:
      return Withdraw(MakeError(
          ErrorCode::kQuarantined, Step::kAdmit,
          "this request crashed backend servers and is refused", Ran::kNotRun));
  }
}

void CallRunner::Dispatch() {
  if (phase_ != Phase::kChoosing)
    return;
  choice_ = context_.servers.Choose(query_);
  if (!choice_) {
    query_.excluded.clear();
    base::ErrorInfo error = MakeError(
        ErrorCode::kUnavailable, Step::kDispatch,
        "no server of pool " + query_.pool + " accepts calls", Ran::kNotRun);
    error.retry_after = base::seconds(1);
    last_error_ = error;
    if (plan_.deadline - now() < kServerPoll ||
        ++free_retries_ > kServerPatience / kServerPoll)
      return Withdraw(error);
    return PostAfter(kServerPoll, [](CallRunner& self) { self.Dispatch(); });
  }
  if (!Admitted(*choice_))
    return;
  StartAttempt();
}

bool CallRunner::Admitted(const ServerChoice& choice) {
  if (std::exchange(admitted_, true))
    return true;
  scheduling::AdmissionRequest request;
  auto last = static_cast<std::uint32_t>(scheduling::kPriorityCount - 1);
  request.priority =
      static_cast<scheduling::Priority>(std::min(plan_.priority, last));
  request.deadline = plan_.deadline;
  request.in_progress = plan_.in_progress;
  scheduling::PoolState pool;
  pool.expected_wait = choice.expected_wait;
  auto decision = admission_.Decide(now(), request, pool, random_);
  if (decision.admitted)
    return true;
  base::ErrorInfo error =
      MakeError(ErrorCode::kOverloaded, Step::kAdmit,
                "the expected wait leaves too little time", Ran::kNotRun);
  error.retry_after =
      std::chrono::duration_cast<base::milliseconds>(decision.retry_after);
  Withdraw(error);
  return false;
}

void CallRunner::StartAttempt() {
  program::AttemptTarget target;
  target.server = choice_->address;
  target.sidecar_incarnation = choice_->incarnation;
  target.fence = shard_->fence();
  target.work_token = base::RandomId();
  target.holds_cache = plan_.engine;
  if (alone_ &&
      !context_.strikes.table().BeginAlone(
          plan_.call.fingerprint, target.work_token, target.server, now()))
    return PostAfter(kStrikePoll,
                     [](CallRunner& self) { self.JudgeStrikes(); });
  alone_token_ = alone_ ? target.work_token : "";
  try {
    key_ = shard_->With(plan_.id, [&](program::Program& program) {
      program::AttemptKey key = program.StartAttempt(plan_.call.turn, target);
      attempt_revision_ = program.revision();
      return key;
    });
  } catch (const base::Error& error) {
    EndAttempt();
    return Withdraw(error.info());
  }
  phase_ = Phase::kIntent;
  if (alone_)
    return AwaitAlone();
  Send();
}

// The permission to run alone must be durable, or two entries could run the
// same suspect on two servers.
void CallRunner::AwaitAlone() {
  if (phase_ != Phase::kIntent)
    return;
  if (context_.strikes.table().alone_durable(plan_.call.fingerprint,
                                             alone_token_))
    return Send();
  PostAfter(kStrikePoll, [](CallRunner& self) { self.AwaitAlone(); });
}

void CallRunner::Send() {
  Guarded([this] {
    auto state = shard_->With(plan_.id, [&](program::Program& program) {
      auto result = program.dispatch_state(key_);
      if (result == program::DispatchState::kReady)
        program.MarkDispatched(key_);
      return result;
    });
    if (state == program::DispatchState::kNotPending) {
      return Fail(MakeError(ErrorCode::kProgramEnded, Step::kDispatch,
                            "the program ended before the call was sent",
                            Ran::kNotRun));
    }
    if (state == program::DispatchState::kAwaitCommit) {
      return context_.committer.WhenDurable(
          shard_, plan_.id, attempt_revision_,
          [self = shared_from_this()](
              const std::optional<base::ErrorInfo>& error) {
            self->Post([error](CallRunner& runner) {
              if (runner.phase_ != Phase::kIntent)
                return;
              if (!error)
                return runner.Send();
              // The intent was not made durable here, so nothing was sent.
              base::ErrorInfo info = *error;
              info.step = Step::kIntent;
              info.ran = Ran::kNotRun;
              runner.Fail(info);
            });
          });
    }
    phase_ = Phase::kRunning;
    context_.servers.OnSend(query_, *choice_);
    auto timeout = plan_.deadline - now() + kReplyGrace;
    protocol::ExecuteRequest request =
        MakeExecuteRequest(plan_, key_, *shard_, now());
    request.sidecar_incarnation = choice_->incarnation;
    request.expected_tokens = static_cast<std::uint32_t>(query_.output_tokens);
    request.alone = alone_;
    choice_->client->Execute(
        request, timeout,
        [this, self = shared_from_this(),
         key = key_](const protocol::StreamPiece& piece) {
          context_.waiters.Token(plan_.id, plan_.call.turn, key.attempt,
                                 piece.text);
        },
        [self = shared_from_this(),
         key = key_](protocol::Outcome<protocol::ExecuteResult> outcome) {
          self->Post(
              [key, outcome = std::move(outcome)](CallRunner& runner) mutable {
                if (runner.phase_ == Phase::kRunning && runner.key_ == key)
                  runner.OnReply(std::move(outcome));
              });
        });
  });
}

void CallRunner::OnReply(protocol::Outcome<protocol::ExecuteResult> outcome) {
  context_.servers.OnEnd(query_.pool, *choice_);
  if (outcome.error)
    return OnTransportError(*outcome.error);
  OnResult(std::move(outcome.value));
}

void CallRunner::OnTransportError(const base::ErrorInfo& error) {
  if (error.ran == Ran::kNotRun)
    return OnNotRun(error);
  choice_->client->Cancel(key_.work_token);
  if (plan_.call.repeatable)
    return OnLost(error);
  last_error_ = error;
  Settle();
}

void CallRunner::Settle() {
  phase_ = Phase::kSettling;
  program::Attempt attempt;
  attempt.turn = key_.turn;
  attempt.attempt = key_.attempt;
  attempt.target.server = choice_->address;
  attempt.target.sidecar_incarnation = choice_->incarnation;
  attempt.target.work_token = key_.work_token;
  context_.settler.Settle(
      attempt, shard_->shard(), shard_->fence(),
      plan_.deadline + context_.settings.settle_limit,
      [self = shared_from_this()](SettleOutcome outcome) {
        self->Post([outcome = std::move(outcome)](CallRunner& runner) mutable {
          runner.OnSettled(std::move(outcome));
        });
      });
}

void CallRunner::OnSettled(SettleOutcome outcome) {
  switch (outcome.kind) {
    case SettleKind::kResult:
      return OnResult(std::move(outcome.result));
    case SettleKind::kNotRun:
      return OnNotRun(last_error_);
    case SettleKind::kLost:
      return OnLost(last_error_);
    case SettleKind::kShardLost:
      return Fail(MakeError(ErrorCode::kNotOwner, Step::kRun,
                            "the program's shard has another owner",
                            Ran::kUnknown));
  }
}

void CallRunner::OnResult(protocol::ExecuteResult result) {
  if (result.server_crashed) {
    context_.strikes.table().RecordStrike(
        result.crash_id, plan_.call.fingerprint,
        alone_ && result.co_runners == 0, now());
  }
  if (result.error)
    return OnError(*result.error);
  context_.strikes.table().RecordCompletion(plan_.call.fingerprint, now());
  context_.servers.OnSuccess(query_.pool);
  if (plan_.engine) {
    context_.servers.OnLength(plan_.class_key, result.output_tokens);
    context_.servers.OnResult(query_, *choice_,
                              result.prompt_tokens + result.output_tokens);
  }
  FinishTurn(program::TurnOutcome::kDone, result.body, result);
}

void CallRunner::OnError(const base::ErrorInfo& error) {
  if (error.ran == Ran::kNotRun)
    return OnNotRun(error);
  if (error.ran == Ran::kUnknown)
    return OnLost(error);
  EndAttempt();
  FinishTurn(program::TurnOutcome::kFailed, http::ErrorBody(error), {});
}

// Gives back the permission of a suspect that neither completed nor crashed.
void CallRunner::EndAttempt() {
  if (!alone_token_.empty())
    context_.strikes.table().EndAlone(plan_.call.fingerprint, alone_token_,
                                      now());
  alone_token_.clear();
}

void CallRunner::OnNotRun(const base::ErrorInfo& error) {
  Guarded([&] {
    EndAttempt();
    context_.acknowledger.Add(choice_->address, choice_->incarnation,
                              key_.work_token);
    shard_->With(plan_.id, [&](program::Program& program) {
      return program.MarkNotRun(key_);
    });
    phase_ = Phase::kChoosing;
    query_.excluded.push_back(choice_->address);
    Retry(error, ++free_retries_ > kFreeRetries);
  });
}

void CallRunner::OnLost(const base::ErrorInfo& error) {
  if (!plan_.call.repeatable)
    return EndAsUnknown(error);
  Guarded([&] {
    EndAttempt();
    shard_->With(plan_.id, [&](program::Program& program) {
      return program.MarkLost(key_);
    });
    context_.acknowledger.Add(choice_->address, choice_->incarnation,
                              key_.work_token);
    phase_ = Phase::kChoosing;
    query_.excluded.push_back(choice_->address);
    Retry(error, true);
  });
}

// The record says that the call may have run, so that a repeated turn gets the
// same answer.
void CallRunner::EndAsUnknown(const base::ErrorInfo& error) {
  EndAttempt();
  base::ErrorInfo info =
      MakeError(ErrorCode::kOutcomeUnknown, Step::kRun,
                "the call may have run and is not run again: " + error.message,
                Ran::kUnknown);
  info.peer = choice_->address;
  phase_ = Phase::kCommitting;
  program::Answer answer;
  answer.outcome = program::TurnOutcome::kUnknown;
  answer.body = http::ErrorBody(info);
  Accept(std::move(answer));
}

void CallRunner::Retry(const base::ErrorInfo& error, bool charged) {
  last_error_ = error;
  if (!charged)
    return JudgeStrikes();
  auto delay =
      context_.servers.TryRetry(query_.pool, plan_.deadline, ++retries_);
  if (!delay)
    return Withdraw(error);
  PostAfter(*delay, [](CallRunner& self) { self.JudgeStrikes(); });
}

void CallRunner::FinishTurn(program::TurnOutcome outcome,
                            const std::string& body,
                            const protocol::ExecuteResult& usage) {
  phase_ = Phase::kCommitting;
  program::Answer answer;
  answer.outcome = outcome;
  answer.body = body;
  answer.input_tokens = usage.prompt_tokens;
  answer.output_tokens = usage.output_tokens;
  answer.cost =
      plan_.operation_cost + answer.input_tokens + answer.output_tokens;
  if (answer.body.size() > program::kMaxInlineBodyBytes)
    return StoreObject(std::move(answer));
  Accept(std::move(answer));
}

void CallRunner::StoreObject(program::Answer answer) {
  answer.object = program::ProgramCodec::ObjectName(
      plan_.id, plan_.program_incarnation, plan_.call.turn);
  context_.workers.Post([self = shared_from_this(),
                         answer = std::move(answer)]() mutable {
    try {
      self->context_.store.PutObject(answer.object, answer.body);
      self->Post([answer = std::move(answer)](CallRunner& runner) mutable {
        runner.Accept(std::move(answer));
      });
    } catch (const base::Error&) {
      self->Post([answer = std::move(answer)](CallRunner& runner) mutable {
        if (runner.shard_->dropped())
          return runner.Fail(MakeError(ErrorCode::kNotOwner, Step::kCommit,
                                       "the program's shard has another owner",
                                       Ran::kUnknown));
        runner.PostAfter(kObjectRetry, [answer = std::move(answer)](
                                           CallRunner& again) mutable {
          again.StoreObject(std::move(answer));
        });
      });
    }
  });
}

void CallRunner::Accept(program::Answer answer) {
  Guarded([&] {
    program::AnswerMatch match = shard_->Accept(plan_.id, key_, answer);
    if (match == program::AnswerMatch::kDropped) {
      return Fail(MakeError(ErrorCode::kProgramEnded, Step::kAnswer,
                            "the program ended before its answer", Ran::kRan));
    }
    AwaitDurable(std::move(answer));
  });
}

void CallRunner::AwaitDurable(program::Answer answer) {
  std::uint64_t revision = shard_->With(
      plan_.id, [](program::Program& program) { return program.revision(); });
  context_.committer.WhenDurable(
      shard_, plan_.id, revision,
      [self = shared_from_this(), answer = std::move(answer)](
          const std::optional<base::ErrorInfo>& error) {
        self->Post([error, answer](CallRunner& runner) {
          runner.OnDurable(error, answer);
        });
      });
}

void CallRunner::OnDurable(const std::optional<base::ErrorInfo>& error,
                           const program::Answer& answer) {
  if (error)
    return Fail(*error);
  if (choice_) {
    context_.acknowledger.Add(choice_->address, choice_->incarnation,
                              key_.work_token);
  }
  program::TurnRecord record;
  record.turn = plan_.call.turn;
  record.pool = plan_.call.pool;
  record.operation = plan_.call.operation;
  record.answer = answer;
  TurnAnswer final = MakeTurnAnswer(plan_.id, record, answer.body);
  context_.waiters.Finish(plan_.id, plan_.call.turn, final.status, final.body);
  Finished();
}

void CallRunner::OnCommitOverdue() {
  if (phase_ != Phase::kCommitting)
    return;
  base::ErrorInfo error = MakeError(
      ErrorCode::kUnavailable, Step::kCommit,
      "the outcome is not durable yet; repeat the turn", Ran::kUnknown);
  error.retry_after = base::seconds(1);
  context_.waiters.Fail(plan_.id, plan_.call.turn, error);
}

// Closes the turn without a record, so that its number may be used again. The
// caller of a non-repeatable call is told once this is durable: a new owner
// that still found the intent could otherwise answer "unknown" later.
void CallRunner::Withdraw(base::ErrorInfo error) {
  Guarded([&] {
    std::uint64_t revision = 0;
    error.ran = shard_->With(plan_.id, [&](program::Program& program) {
      base::Ran ran = program.Withdraw(plan_.call.turn);
      revision = program.revision();
      return ran;
    });
    if (plan_.call.repeatable || key_.work_token.empty())
      return Fail(error);
    phase_ = Phase::kCommitting;
    context_.committer.WhenDurable(
        shard_, plan_.id, revision,
        [self = shared_from_this(),
         error](const std::optional<base::ErrorInfo>& lost) {
          self->Post([error = lost.value_or(error)](CallRunner& runner) {
            runner.Fail(error);
          });
        });
  });
}

void CallRunner::Fail(const base::ErrorInfo& error) {
  context_.waiters.Fail(plan_.id, plan_.call.turn, error);
  Finished();
}

void CallRunner::Finished() {
  phase_ = Phase::kFinished;
  deadline_timer_.cancel();
  delay_timer_.cancel();
}

void CallRunner::OnDeadline() {
  base::ErrorInfo error =
      MakeError(ErrorCode::kTimeout, Step::kRun,
                "the call's deadline has passed", Ran::kUnknown);
  switch (phase_) {
    case Phase::kChoosing:
      if (!last_error_.message.empty())
        error.message += ": " + last_error_.message;
      return Withdraw(error);
    case Phase::kIntent:
      error.step = Step::kIntent;
      return Guarded([&] {
        EndAttempt();
        shard_->With(plan_.id, [&](program::Program& program) {
          return program.MarkNotRun(key_);
        });
        Withdraw(error);
      });
    case Phase::kRunning:
    case Phase::kSettling:
      // The sidecar ends the call at the same deadline and says what became of
      // it; the reply's own timeout bounds the wait.
      return;
    case Phase::kCommitting:
      // A sidecar's word about the deadline arrives just after it; after a
      // grace the caller is told to repeat the turn, and the run goes on.
      deadline_timer_.expires_after(kCommitGrace);
      deadline_timer_.async_wait(boost::asio::bind_executor(
          strand_,
          [weak = weak_from_this()](boost::system::error_code wait_error) {
            auto runner = weak.lock();
            if (!wait_error && runner)
              runner->OnCommitOverdue();
          }));
      return;
    case Phase::kFinished:
      return;
  }
}

}  // namespace vanillalever::entry
