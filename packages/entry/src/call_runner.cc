#include "call_runner.h"

#include <algorithm>
#include <exception>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "turn_answer.h"
#include "vanillalever/base/hash.h"
#include "vanillalever/http/message.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::entry {
namespace {

using base::ErrorCode;
using base::ExecutionStatus;
using base::Step;

// Interval between attempts to select a server while none accepts calls.
constexpr base::Duration kServerPollInterval = base::milliseconds(100);
// Maximum wait for a server before the caller is refused.
constexpr base::Duration kServerWaitTimeout = base::seconds(3);
constexpr base::Duration kStrikePollInterval = base::milliseconds(50);
// Retries after a refusal by a leaving or full server that are not charged to
// the retry budget: nothing ran, and another server is likely to accept.
constexpr int kMaxUnchargedRetries = 3;
// Time after the deadline to wait for the reply: the sidecar ends the call at
// the deadline and reports its outcome.
constexpr base::Duration kReplyGrace = base::seconds(1);
// Time after a call's deadline to wait for the commit of its outcome before the
// caller receives an error and must repeat the turn.
constexpr base::Duration kCommitGrace = base::seconds(1);
constexpr base::Duration kObjectRetryInterval = base::milliseconds(200);
constexpr double kEstimatedBytesPerToken = 4;

base::ErrorInfo MakeError(ErrorCode code,
                          Step step,
                          std::string message,
                          ExecutionStatus ran) {
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
      plan_.is_engine
          ? static_cast<double>(plan_.body.size()) / kEstimatedBytesPerToken
          : 0;
  double expected_output_tokens =
      context_.servers.ExpectedOutputLength(plan_.class_hash);
  query_.output_tokens =
      std::min(expected_output_tokens,
               std::max(1.0, static_cast<double>(plan_.max_tokens)));
}

CallRunner::~CallRunner() {
  context_.shards.CallEnded(shard_->shard());
}

template <typename Function>
void CallRunner::Post(Function function) {
  boost::asio::post(strand_, [self = shared_from_this(),
                              function = std::move(function)]() mutable {
    self->RunOrFail([&] { function(*self); });
  });
}

template <typename Function>
void CallRunner::PostAfter(base::Duration delay, Function function) {
  delay_timer_.expires_after(delay);
  delay_timer_.async_wait(boost::asio::bind_executor(
      strand_, [self = shared_from_this(), function = std::move(function)](
                   boost::system::error_code error) mutable {
        if (!error)
          self->RunOrFail([&] { function(*self); });
      }));
}

template <typename Function>
void CallRunner::RunOrFail(Function function) {
  try {
    function();
  } catch (const base::Error& error) {
    base::ErrorInfo info = error.info();
    if (info.code == ErrorCode::kNotOwner && phase_ != Phase::kSelectingServer)
      info.ran = ExecutionStatus::kUnknown;
    Fail(info);
  } catch (const std::exception& error) {
    Fail(MakeError(ErrorCode::kInternal, Step::kRun, error.what(),
                   ExecutionStatus::kUnknown));
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
    self.CheckStrikes();
  });
}

void CallRunner::CheckStrikes() {
  if (phase_ != Phase::kSelectingServer)
    return;
  switch (context_.strikes.table().Evaluate(plan_.call.fingerprint, now())) {
    case guard::StrikeVerdict::kNormal:
      return Dispatch();
    case guard::StrikeVerdict::kRunAlone:
      run_alone_ = true;
      return Dispatch();
    case guard::StrikeVerdict::kWait:
      return PostAfter(kStrikePollInterval,
                       [](CallRunner& self) { self.CheckStrikes(); });
    case guard::StrikeVerdict::kQuarantined:
      return RollBackTurn(
          MakeError(ErrorCode::kQuarantined, Step::kAdmit,
                    "this request crashed backend servers and is refused",
                    ExecutionStatus::kNotRun));
  }
}

void CallRunner::Dispatch() {
  if (phase_ != Phase::kSelectingServer)
    return;
  server_choice_ = context_.servers.Choose(query_);
  if (!server_choice_) {
    query_.excluded.clear();
    base::ErrorInfo error =
        MakeError(ErrorCode::kUnavailable, Step::kDispatch,
                  "no server of pool " + query_.pool + " accepts calls",
                  ExecutionStatus::kNotRun);
    error.retry_after = base::seconds(1);
    last_error_ = error;
    if (plan_.deadline - now() < kServerPollInterval ||
        ++uncharged_retries_ > kServerWaitTimeout / kServerPollInterval)
      return RollBackTurn(error);
    return PostAfter(kServerPollInterval,
                     [](CallRunner& self) { self.Dispatch(); });
  }
  if (!CheckAdmission(*server_choice_))
    return;
  StartAttempt();
}

bool CallRunner::CheckAdmission(const ServerChoice& choice) {
  if (std::exchange(admission_checked_, true))
    return true;
  scheduling::AdmissionRequest request;
  auto lowest_priority =
      static_cast<std::uint32_t>(scheduling::kPriorityCount - 1);
  request.priority = static_cast<scheduling::Priority>(
      std::min(plan_.priority, lowest_priority));
  request.deadline = plan_.deadline;
  request.in_progress = plan_.in_progress;
  scheduling::PoolState pool;
  pool.expected_wait = choice.expected_wait;
  auto decision = admission_.Decide(now(), request, pool, random_);
  if (decision.admitted)
    return true;
  base::ErrorInfo error = MakeError(ErrorCode::kOverloaded, Step::kAdmit,
                                    "the expected wait leaves too little time",
                                    ExecutionStatus::kNotRun);
  error.retry_after =
      std::chrono::duration_cast<base::milliseconds>(decision.retry_after);
  RollBackTurn(error);
  return false;
}

void CallRunner::StartAttempt() {
  program::AttemptTarget target;
  target.server = server_choice_->address;
  target.sidecar_incarnation = server_choice_->incarnation;
  target.fence = shard_->fence();
  target.work_token = base::RandomId();
  target.holds_cache = plan_.is_engine;
  if (run_alone_ &&
      !context_.strikes.table().AcquireRunAlone(
          plan_.call.fingerprint, target.work_token, target.server, now()))
    return PostAfter(kStrikePollInterval,
                     [](CallRunner& self) { self.CheckStrikes(); });
  run_alone_token_ = run_alone_ ? target.work_token : "";
  try {
    attempt_key_ = shard_->With(plan_.id, [&](program::Program& program) {
      program::AttemptKey key = program.StartAttempt(plan_.call.turn, target);
      attempt_revision_ = program.revision();
      return key;
    });
  } catch (const base::Error& error) {
    EndRunAlone();
    return RollBackTurn(error.info());
  }
  phase_ = Phase::kIntentPending;
  if (run_alone_)
    return AwaitRunAlonePermit();
  Send();
}

// The permit to run alone must be durable before the call is sent; otherwise
// two entries could run the same suspect request on two servers at once.
void CallRunner::AwaitRunAlonePermit() {
  if (phase_ != Phase::kIntentPending)
    return;
  if (context_.strikes.table().run_alone_durable(plan_.call.fingerprint,
                                                 run_alone_token_))
    return Send();
  PostAfter(kStrikePollInterval,
            [](CallRunner& self) { self.AwaitRunAlonePermit(); });
}

void CallRunner::Send() {
  RunOrFail([this] {
    auto state = shard_->With(plan_.id, [&](program::Program& program) {
      auto result = program.dispatch_state(attempt_key_);
      if (result == program::DispatchState::kReady)
        program.MarkDispatched(attempt_key_);
      return result;
    });
    if (state == program::DispatchState::kNotPending) {
      return Fail(MakeError(ErrorCode::kProgramEnded, Step::kDispatch,
                            "the program ended before the call was sent",
                            ExecutionStatus::kNotRun));
    }
    if (state == program::DispatchState::kAwaitCommit) {
      return context_.committer.WhenDurable(
          shard_, plan_.id, attempt_revision_,
          [self = shared_from_this()](
              const std::optional<base::ErrorInfo>& error) {
            self->Post([error](CallRunner& runner) {
              if (runner.phase_ != Phase::kIntentPending)
                return;
              if (!error)
                return runner.Send();
              // The intent was not committed by this entry, so nothing was
              // sent.
              base::ErrorInfo info = *error;
              info.step = Step::kIntent;
              info.ran = ExecutionStatus::kNotRun;
              runner.Fail(info);
            });
          });
    }
    phase_ = Phase::kRunning;
    context_.servers.OnSend(query_, *server_choice_);
    auto timeout = plan_.deadline - now() + kReplyGrace;
    protocol::ExecuteRequest request =
        MakeExecuteRequest(plan_, attempt_key_, *shard_, now());
    request.sidecar_incarnation = server_choice_->incarnation;
    request.expected_tokens = static_cast<std::uint32_t>(query_.output_tokens);
    request.alone = run_alone_;
    server_choice_->client->Execute(
        request, timeout,
        [this, self = shared_from_this(),
         key = attempt_key_](const protocol::StreamChunk& piece) {
          context_.waiters.SendToken(plan_.id, plan_.call.turn, key.attempt,
                                     piece.text);
        },
        [self = shared_from_this(), key = attempt_key_](
            protocol::Outcome<protocol::ExecuteResult> outcome) {
          self->Post([key, outcome =
                               std::move(outcome)](CallRunner& runner) mutable {
            if (runner.phase_ == Phase::kRunning && runner.attempt_key_ == key)
              runner.OnReply(std::move(outcome));
          });
        });
  });
}

void CallRunner::OnReply(protocol::Outcome<protocol::ExecuteResult> outcome) {
  context_.servers.OnEnd(query_.pool, *server_choice_);
  if (outcome.error)
    return OnTransportError(*outcome.error);
  OnResult(std::move(outcome.value));
}

void CallRunner::OnTransportError(const base::ErrorInfo& error) {
  if (error.ran == ExecutionStatus::kNotRun)
    return OnNotRun(error);
  server_choice_->client->Cancel(attempt_key_.work_token);
  if (plan_.call.repeatable)
    return OnOutcomeUnknown(error);
  last_error_ = error;
  Settle();
}

void CallRunner::Settle() {
  phase_ = Phase::kSettling;
  program::Attempt attempt;
  attempt.turn = attempt_key_.turn;
  attempt.attempt = attempt_key_.attempt;
  attempt.target.server = server_choice_->address;
  attempt.target.sidecar_incarnation = server_choice_->incarnation;
  attempt.target.work_token = attempt_key_.work_token;
  context_.settler.Settle(
      attempt, shard_->shard(), shard_->fence(),
      plan_.deadline + context_.settings.settle_timeout,
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
    case SettleKind::kUnknown:
      return OnOutcomeUnknown(last_error_);
    case SettleKind::kShardLost:
      return Fail(MakeError(ErrorCode::kNotOwner, Step::kRun,
                            "the program's shard has another owner",
                            ExecutionStatus::kUnknown));
  }
}

void CallRunner::OnResult(protocol::ExecuteResult result) {
  if (result.server_crashed) {
    context_.strikes.table().RecordStrike(
        result.crash_id, plan_.call.fingerprint,
        run_alone_ && result.concurrent_requests == 0, now());
  }
  if (result.error)
    return OnError(*result.error);
  context_.strikes.table().RecordCompletion(plan_.call.fingerprint, now());
  context_.servers.OnSuccess(query_.pool);
  if (plan_.is_engine) {
    context_.servers.OnOutputLength(plan_.class_hash, result.output_tokens);
    context_.servers.OnResult(query_, *server_choice_,
                              result.prompt_tokens + result.output_tokens);
  }
  FinishTurn(program::TurnOutcome::kDone, result.body, result);
}

void CallRunner::OnError(const base::ErrorInfo& error) {
  if (error.ran == ExecutionStatus::kNotRun)
    return OnNotRun(error);
  if (error.ran == ExecutionStatus::kUnknown)
    return OnOutcomeUnknown(error);
  EndRunAlone();
  FinishTurn(program::TurnOutcome::kFailed, http::ErrorBody(error), {});
}

// Releases the permit to run alone of a suspect request that neither completed
// nor crashed its server.
void CallRunner::EndRunAlone() {
  if (!run_alone_token_.empty())
    context_.strikes.table().ReleaseRunAlone(plan_.call.fingerprint,
                                             run_alone_token_, now());
  run_alone_token_.clear();
}

void CallRunner::OnNotRun(const base::ErrorInfo& error) {
  RunOrFail([&] {
    EndRunAlone();
    context_.acknowledger.Add(server_choice_->address,
                              server_choice_->incarnation,
                              attempt_key_.work_token);
    shard_->With(plan_.id, [&](program::Program& program) {
      return program.MarkNotRun(attempt_key_);
    });
    phase_ = Phase::kSelectingServer;
    query_.excluded.push_back(server_choice_->address);
    Retry(error, ++uncharged_retries_ > kMaxUnchargedRetries);
  });
}

void CallRunner::OnOutcomeUnknown(const base::ErrorInfo& error) {
  if (!plan_.call.repeatable)
    return FinishAsUnknown(error);
  RunOrFail([&] {
    EndRunAlone();
    shard_->With(plan_.id, [&](program::Program& program) {
      return program.MarkLost(attempt_key_);
    });
    context_.acknowledger.Add(server_choice_->address,
                              server_choice_->incarnation,
                              attempt_key_.work_token);
    phase_ = Phase::kSelectingServer;
    query_.excluded.push_back(server_choice_->address);
    Retry(error, true);
  });
}

// Records that the call may have run, so that a repeated turn gets the same
// answer.
void CallRunner::FinishAsUnknown(const base::ErrorInfo& error) {
  EndRunAlone();
  base::ErrorInfo info =
      MakeError(ErrorCode::kOutcomeUnknown, Step::kRun,
                "the call may have run and is not run again: " + error.message,
                ExecutionStatus::kUnknown);
  info.peer = server_choice_->address;
  phase_ = Phase::kCommitting;
  program::Answer answer;
  answer.outcome = program::TurnOutcome::kUnknown;
  answer.body = http::ErrorBody(info);
  RecordAnswer(std::move(answer));
}

void CallRunner::Retry(const base::ErrorInfo& error, bool charge_retry_budget) {
  last_error_ = error;
  if (!charge_retry_budget)
    return CheckStrikes();
  auto delay =
      context_.servers.TryRetry(query_.pool, plan_.deadline, ++retries_);
  if (!delay)
    return RollBackTurn(error);
  PostAfter(*delay, [](CallRunner& self) { self.CheckStrikes(); });
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
    return StoreAnswerObject(std::move(answer));
  RecordAnswer(std::move(answer));
}

void CallRunner::StoreAnswerObject(program::Answer answer) {
  answer.object = program::ProgramCodec::ObjectName(
      plan_.id, plan_.program_incarnation, plan_.call.turn);
  context_.workers.Post([self = shared_from_this(),
                         answer = std::move(answer)]() mutable {
    try {
      self->context_.store.PutObject(answer.object, answer.body);
      self->Post([answer = std::move(answer)](CallRunner& runner) mutable {
        runner.RecordAnswer(std::move(answer));
      });
    } catch (const base::Error&) {
      self->Post([answer = std::move(answer)](CallRunner& runner) mutable {
        if (runner.shard_->dropped())
          return runner.Fail(MakeError(ErrorCode::kNotOwner, Step::kCommit,
                                       "the program's shard has another owner",
                                       ExecutionStatus::kUnknown));
        runner.PostAfter(kObjectRetryInterval, [answer = std::move(answer)](
                                                   CallRunner& again) mutable {
          again.StoreAnswerObject(std::move(answer));
        });
      });
    }
  });
}

void CallRunner::RecordAnswer(program::Answer answer) {
  RunOrFail([&] {
    program::AnswerMatch match = shard_->Accept(plan_.id, attempt_key_, answer);
    if (match == program::AnswerMatch::kDropped) {
      return Fail(MakeError(ErrorCode::kProgramEnded, Step::kAnswer,
                            "the program ended before its answer",
                            ExecutionStatus::kRan));
    }
    AwaitCommit(std::move(answer));
  });
}

void CallRunner::AwaitCommit(program::Answer answer) {
  std::uint64_t revision = shard_->With(
      plan_.id, [](program::Program& program) { return program.revision(); });
  context_.committer.WhenDurable(
      shard_, plan_.id, revision,
      [self = shared_from_this(), answer = std::move(answer)](
          const std::optional<base::ErrorInfo>& error) {
        self->Post([error, answer](CallRunner& runner) {
          runner.OnCommitted(error, answer);
        });
      });
}

void CallRunner::OnCommitted(const std::optional<base::ErrorInfo>& error,
                             const program::Answer& answer) {
  if (error)
    return Fail(*error);
  if (server_choice_) {
    context_.acknowledger.Add(server_choice_->address,
                              server_choice_->incarnation,
                              attempt_key_.work_token);
  }
  program::TurnRecord record;
  record.turn = plan_.call.turn;
  record.pool = plan_.call.pool;
  record.operation = plan_.call.operation;
  record.answer = answer;
  TurnAnswer turn_answer = MakeTurnAnswer(plan_.id, record, answer.body);
  context_.waiters.Finish(plan_.id, plan_.call.turn, turn_answer.status,
                          turn_answer.body);
  Finish();
}

void CallRunner::OnCommitTimeout() {
  if (phase_ != Phase::kCommitting)
    return;
  base::ErrorInfo error =
      MakeError(ErrorCode::kUnavailable, Step::kCommit,
                "the outcome is not durable yet; repeat the turn",
                ExecutionStatus::kUnknown);
  error.retry_after = base::seconds(1);
  context_.waiters.Fail(plan_.id, plan_.call.turn, error);
}

// Closes the turn without a record, so that its number can be reused. For a
// non-repeatable call, the caller is answered only after this is durable:
// otherwise a new owner could still find the intent and later answer "unknown".
void CallRunner::RollBackTurn(base::ErrorInfo error) {
  RunOrFail([&] {
    std::uint64_t revision = 0;
    error.ran = shard_->With(plan_.id, [&](program::Program& program) {
      base::ExecutionStatus ran = program.Withdraw(plan_.call.turn);
      revision = program.revision();
      return ran;
    });
    if (plan_.call.repeatable || attempt_key_.work_token.empty())
      return Fail(error);
    phase_ = Phase::kCommitting;
    context_.committer.WhenDurable(
        shard_, plan_.id, revision,
        [self = shared_from_this(),
         error](const std::optional<base::ErrorInfo>& commit_error) {
          self->Post([error = commit_error.value_or(error)](
                         CallRunner& runner) { runner.Fail(error); });
        });
  });
}

void CallRunner::Fail(const base::ErrorInfo& error) {
  context_.waiters.Fail(plan_.id, plan_.call.turn, error);
  Finish();
}

void CallRunner::Finish() {
  phase_ = Phase::kFinished;
  deadline_timer_.cancel();
  delay_timer_.cancel();
}

void CallRunner::OnDeadline() {
  base::ErrorInfo error =
      MakeError(ErrorCode::kTimeout, Step::kRun,
                "the call's deadline has passed", ExecutionStatus::kUnknown);
  switch (phase_) {
    case Phase::kSelectingServer:
      if (!last_error_.message.empty())
        error.message += ": " + last_error_.message;
      return RollBackTurn(error);
    case Phase::kIntentPending:
      error.step = Step::kIntent;
      return RunOrFail([&] {
        EndRunAlone();
        shard_->With(plan_.id, [&](program::Program& program) {
          return program.MarkNotRun(attempt_key_);
        });
        RollBackTurn(error);
      });
    case Phase::kRunning:
    case Phase::kSettling:
      // The sidecar ends the call at the same deadline and reports its outcome;
      // the request's own timeout bounds the wait.
      return;
    case Phase::kCommitting:
      // The sidecar's reply about the deadline arrives shortly after it. After
      // kCommitGrace the caller receives an error and must repeat the turn; the
      // commit continues.
      deadline_timer_.expires_after(kCommitGrace);
      deadline_timer_.async_wait(boost::asio::bind_executor(
          strand_,
          [weak = weak_from_this()](boost::system::error_code wait_error) {
            auto runner = weak.lock();
            if (!wait_error && runner)
              runner->OnCommitTimeout();
          }));
      return;
    case Phase::kFinished:
      return;
  }
}

}  // namespace vanillalever::entry
