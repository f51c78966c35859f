#include "work_executor.h"

#include <algorithm>
#include <utility>

#include "vanillalever/scheduling/candidate.h"

namespace vanillalever::sidecar {
namespace {

using base::ErrorCode;
using base::ExecutionStatus;
using execution::Admission;
using execution::Settlement;

// Requests whose connections break within this time were hit by one crash.
constexpr base::Duration kCrashWindow = base::seconds(1);
// Time between reachability checks of a server that was lost.
constexpr base::Duration kProbeInterval = base::milliseconds(200);
// When a refused caller should try again.
constexpr base::milliseconds kRetryAfter{500};
// Work that a call of a plain service stands for (work tokens).
constexpr double kServiceWork = 500;
// Prompt bytes per token, for the estimate before the engine counts.
constexpr double kBytesPerToken = 4;

base::ErrorInfo Refusal(ErrorCode code, const std::string& message) {
  base::ErrorInfo info;
  info.code = code;
  info.step = base::Step::kDispatch;
  info.message = message;
  info.retry_after = kRetryAfter;
  return info;
}

protocol::ExecuteResult ErrorResult(base::ErrorInfo info) {
  protocol::ExecuteResult result;
  result.error = std::move(info);
  return result;
}

bool IsEngineCall(const protocol::ExecuteRequest& request) {
  return !request.prefix_key.empty();
}

double ExpectedWork(const protocol::ExecuteRequest& request) {
  if (!IsEngineCall(request))
    return kServiceWork;
  return static_cast<double>(request.body.size()) / kBytesPerToken +
         scheduling::kDecodeWeight * request.expected_tokens;
}

scheduling::Priority ToPriority(std::uint32_t rank) {
  auto last = static_cast<std::uint32_t>(scheduling::kPriorityCount - 1);
  return static_cast<scheduling::Priority>(std::min(rank, last));
}

execution::CacheHolder HolderOf(const protocol::ExecuteRequest& request) {
  return {request.program, request.program_incarnation};
}

}  // namespace

WorkExecutor::WorkExecutor(std::string incarnation,
                           Backend& backend,
                           CacheReleaser& releaser,
                           base::CounterRegistry& counters)
    : incarnation_(std::move(incarnation)),
      backend_(backend),
      releaser_(releaser),
      executed_(counters.counter("vl_sidecar_executed_total",
                                 "Calls handed to the backend server.")),
      refused_(counters.counter("vl_sidecar_refused_total",
                                "Calls refused as not run.")),
      crashes_(counters.counter("vl_sidecar_server_crashes_total",
                                "Crashes of the backend server that hit "
                                "running calls.")),
      ledger_(incarnation_, {}),
      drain_({}),
      queue_(
          scheduling::MakeRequestQueue(scheduling::QueueKind::kRemainingWork)) {
}

void WorkExecutor::RunActions(Actions& actions) {
  for (auto& action : actions)
    action();
}

execution::WorkKey WorkExecutor::KeyOf(
    const protocol::ExecuteRequest& request) {
  return {request.work_token, request.sidecar_incarnation, request.shard,
          request.fence, request.repeatable};
}

execution::WorkKey WorkExecutor::KeyOf(const std::string& token,
                                       std::uint32_t shard,
                                       std::uint64_t fence) const {
  return {token, incarnation_, shard, fence, false};
}

std::optional<base::ErrorInfo> WorkExecutor::RefusalReason() const {
  if (!drain_.accepting())
    return Refusal(ErrorCode::kUnavailable, "the backend server is leaving");
  if (!configured_)
    return Refusal(ErrorCode::kUnavailable, "no configuration is known yet");
  if (!server_reachable_)
    return Refusal(ErrorCode::kUnavailable,
                   "the backend server is not reachable");
  return std::nullopt;
}

void WorkExecutor::Execute(protocol::ExecuteRequest request,
                           Responder responder) {
  base::TimePoint now = std::chrono::steady_clock::now();
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    std::optional<base::ErrorInfo> refusal = RefusalReason();
    bool known = works_.contains(request.work_token) ||
                 ledger_.Result(request.work_token) != nullptr;
    if (refusal && !known) {
      refused_.Add();
      actions.emplace_back([responder, result = ErrorResult(*refusal)] {
        responder.done(result);
      });
    } else {
      Admission admission = ledger_.Admit(KeyOf(request));
      switch (admission) {
        case Admission::kAccepted:
          releaser_.NoteFence(request.shard, request.fence);
          Enqueue(std::move(request), responder, now);
          break;
        case Admission::kOpen:
          works_.at(request.work_token)->responders.push_back(responder);
          break;
        case Admission::kDone:
          actions.emplace_back(
              [responder, result = RetainedResult(request.work_token)] {
                responder.done(result);
              });
          break;
        default: {
          refused_.Add();
          base::ErrorInfo info = Refusal(
              ErrorCode::kUnavailable,
              "work token refused: " +
                  std::string(execution::kAdmissionNames.name(admission)));
          if (admission == Admission::kClosed)
            info.ran = ExecutionStatus::kRan;
          if (admission == Admission::kStaleFence)
            info.code = ErrorCode::kNotOwner;
          actions.emplace_back([responder, result = ErrorResult(info)] {
            responder.done(result);
          });
        }
      }
    }
    Pump(now, actions);
  }
  RunActions(actions);
}

void WorkExecutor::Enqueue(protocol::ExecuteRequest request,
                           Responder responder,
                           base::TimePoint now) {
  auto work = std::make_shared<Work>();
  work->arrived = now;
  work->deadline = now + base::milliseconds(request.deadline_ms);
  work->expected_work = ExpectedWork(request);
  work->request = std::move(request);
  work->responders.push_back(std::move(responder));
  works_[work->request.work_token] = work;
  if (work->request.alone) {
    alone_queue_.push_back(work);
    return;
  }
  scheduling::QueuedCall call;
  call.id = next_queue_id_++;
  call.priority = ToPriority(work->request.priority);
  call.expected_work = work->expected_work;
  call.enqueue_time = now;
  call.program_start = now - base::milliseconds(work->request.program_age_ms);
  call.deadline = work->deadline;
  work->queue_id = call.id;
  work->long_work = queue_->IsLong(call);
  queued_[call.id] = work;
  queue_->Push(call);
}

// Starts as many waiting calls as may run. A suspect call waits until nothing
// else runs, and nothing else starts while it waits or runs.
void WorkExecutor::Pump(base::TimePoint now, Actions& actions) {
  if (alone_running_)
    return;
  if (!alone_queue_.empty())
    return PumpAlone(now, actions);
  while (true) {
    scheduling::SlotState slots;
    slots.limit = limiter_.limit();
    slots.running = running_;
    slots.running_long = running_long_;
    auto next = queue_->Pop(now, slots);
    if (!next)
      return;
    auto entry = queued_.extract(next->id);
    Start(entry.mapped(), now, actions);
  }
}

void WorkExecutor::PumpAlone(base::TimePoint now, Actions& actions) {
  if (running_ > 0)
    return;
  WorkPtr work = alone_queue_.front();
  alone_queue_.pop_front();
  alone_running_ = true;
  Start(work, now, actions);
}

void WorkExecutor::Start(const WorkPtr& work,
                         base::TimePoint now,
                         Actions& actions) {
  if (!ledger_.Start(work->request.work_token))
    return;
  work->running = true;
  work->started = now;
  ++running_;
  if (work->long_work)
    ++running_long_;
  if (IsEngineCall(work->request))
    releaser_.Begin(HolderOf(work->request), now);
  executed_.Add();
  base::Duration timeout =
      std::max<base::Duration>(work->deadline - now, base::milliseconds(1));
  actions.emplace_back([this, work, timeout] {
    auto call = backend_.Run(
        work->request, timeout,
        [this, work](std::string text) { OnToken(work, std::move(text)); },
        [this, work](BackendResult result) {
          OnDone(work, std::move(result));
        });
    std::lock_guard lock(mutex_);
    if (work->cancelled && call)
      call->Cancel();
    else if (work->running)
      work->call = std::move(call);
  });
}

void WorkExecutor::OnToken(const WorkPtr& work, std::string text) {
  std::vector<Responder> responders;
  {
    std::lock_guard lock(mutex_);
    if (++work->generated == 1)
      sampled_work_ +=
          static_cast<double>(work->request.body.size()) / kBytesPerToken;
    sampled_work_ += scheduling::kDecodeWeight;
    if (work->request.stream)
      responders = work->responders;
  }
  for (const Responder& responder : responders)
    responder.token(text);
}

void WorkExecutor::OnDone(const WorkPtr& work, BackendResult result) {
  bool cancelled = false;
  {
    std::lock_guard lock(mutex_);
    cancelled = work->cancelled;
  }
  if (!result.connection_lost || cancelled)
    return Complete(work, std::move(result), false);
  // A lost connection alone does not show that the process died.
  backend_.Probe([this, work, result = std::move(result)](bool reachable) {
    Complete(work, result, !reachable);
  });
}

// Gives all requests that one crash hit the same identity and the number of
// calls that ran when it struck.
protocol::ExecuteResult WorkExecutor::CrashDetails(base::TimePoint now) {
  if (crash_count_ == 0 || now - crash_time_ > kCrashWindow) {
    ++crash_count_;
    crash_running_ = running_;
    crashes_.Add();
  }
  crash_time_ = now;
  server_reachable_ = false;
  protocol::ExecuteResult details;
  details.server_crashed = true;
  details.crash_id = incarnation_ + "/" + std::to_string(crash_count_);
  details.concurrent_requests = static_cast<std::uint32_t>(crash_running_ - 1);
  return details;
}

void WorkExecutor::Complete(const WorkPtr& work,
                            BackendResult result,
                            bool crashed) {
  base::TimePoint now = std::chrono::steady_clock::now();
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    if (!std::exchange(work->running, false))
      return;
    protocol::ExecuteResult reply;
    if (crashed)
      reply = CrashDetails(now);
    reply.error = result.error;
    reply.body = result.error ? "" : result.body;
    reply.prompt_tokens = result.prompt_tokens;
    reply.output_tokens = result.output_tokens;
    reply.cached_tokens = result.cached_tokens;
    reply.queued_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<base::milliseconds>(work->started -
                                                       work->arrived)
            .count());
    if (result.error && result.error->step == base::Step::kConnect)
      server_reachable_ = false;
    RecordRates(*work, result, now);
    --running_;
    if (work->long_work)
      --running_long_;
    if (work->request.alone)
      alone_running_ = false;
    if (IsEngineCall(work->request))
      releaser_.End(HolderOf(work->request),
                    result.prompt_tokens + result.output_tokens, now);
    execution::WorkResult retained;
    retained.error = reply.error;
    retained.body = reply.body;
    retained.tokens = reply.output_tokens;
    retained.prompt_tokens = reply.prompt_tokens;
    retained.cached_tokens = reply.cached_tokens;
    ledger_.Finish(work->request.work_token, std::move(retained));
    works_.erase(work->request.work_token);
    work->call.reset();
    for (Responder& responder : work->responders)
      actions.emplace_back([responder, reply] { responder.done(reply); });
    work->responders.clear();
    Pump(now, actions);
  }
  RunActions(actions);
}

void WorkExecutor::RecordRates(const Work& work,
                               const BackendResult& result,
                               base::TimePoint now) {
  if (result.error)
    return;
  std::chrono::duration<double> took = now - work.started;
  double tokens = std::max<double>(1, result.output_tokens);
  limiter_.OnCompletion(now, took.count() / tokens, running_);
  if (!IsEngineCall(work.request))
    sampled_work_ += kServiceWork;
}

void WorkExecutor::RefuseQueued(const WorkPtr& work,
                                const base::ErrorInfo& info,
                                Actions& actions) {
  refused_.Add();
  works_.erase(work->request.work_token);
  for (Responder& responder : work->responders)
    actions.emplace_back(
        [responder, result = ErrorResult(info)] { responder.done(result); });
  work->responders.clear();
}

void WorkExecutor::Cancel(const std::string& work_token) {
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    auto found = works_.find(work_token);
    if (found == works_.end())
      return;
    WorkPtr work = found->second;
    work->cancelled = true;
    if (work->running) {
      if (work->call)
        work->call->Cancel();
      return;
    }
    queue_->Remove(work->queue_id);
    queued_.erase(work->queue_id);
    std::erase(alone_queue_, work);
    ledger_.Cancel(KeyOf(work->request));
    RefuseQueued(work, Refusal(ErrorCode::kUnavailable, "cancelled"), actions);
    Pump(std::chrono::steady_clock::now(), actions);
  }
  RunActions(actions);
}

protocol::ExecuteResult WorkExecutor::RetainedResult(
    const std::string& token) const {
  protocol::ExecuteResult result;
  if (const execution::WorkResult* retained = ledger_.Result(token)) {
    result.error = retained->error;
    result.body = retained->body;
    result.output_tokens = static_cast<std::uint32_t>(retained->tokens);
    result.prompt_tokens = static_cast<std::uint32_t>(retained->prompt_tokens);
    result.cached_tokens = static_cast<std::uint32_t>(retained->cached_tokens);
  }
  return result;
}

protocol::SettleReply WorkExecutor::Settle(
    const protocol::SettleRequest& request) {
  std::lock_guard lock(mutex_);
  releaser_.NoteFence(request.shard, request.fence);
  protocol::SettleReply reply;
  reply.sidecar_incarnation = incarnation_;
  switch (
      ledger_.Settle(KeyOf(request.work_token, request.shard, request.fence))) {
    case Settlement::kDone:
      reply.state = protocol::SettleState::kDone;
      reply.result = RetainedResult(request.work_token);
      break;
    case Settlement::kRunning:
    case Settlement::kFull:
      reply.state = protocol::SettleState::kRunning;
      break;
    case Settlement::kRevoked:
      reply.state = protocol::SettleState::kRevoked;
      break;
    case Settlement::kStaleFence:
      reply.state = protocol::SettleState::kFenced;
      break;
    case Settlement::kClosed:
    case Settlement::kOtherIncarnation:
      reply.state = protocol::SettleState::kDone;
      reply.result = ErrorResult(
          Refusal(ErrorCode::kOutcomeUnknown,
                  "the result was acknowledged and dropped before"));
      reply.result.error->ran = ExecutionStatus::kUnknown;
      break;
  }
  return reply;
}

void WorkExecutor::Acknowledge(const std::vector<std::string>& work_tokens) {
  std::lock_guard lock(mutex_);
  for (const std::string& token : work_tokens)
    ledger_.Acknowledge(token);
}

void WorkExecutor::ShardSettled(std::uint32_t shard, std::uint64_t fence) {
  std::lock_guard lock(mutex_);
  releaser_.NoteFence(shard, fence);
  ledger_.AcknowledgePreviousOwners(shard, fence);
}

void WorkExecutor::SetConfigured() {
  std::lock_guard lock(mutex_);
  configured_ = true;
}

void WorkExecutor::BeginDrain() {
  std::lock_guard lock(mutex_);
  drain_.Begin();
}

execution::DrainPhase WorkExecutor::drain_phase() const {
  std::lock_guard lock(mutex_);
  return drain_.phase();
}

void WorkExecutor::Tick(base::TimePoint now) {
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    std::vector<scheduling::QueuedCall> expired;
    queue_->Expire(now, &expired);
    for (const scheduling::QueuedCall& call : expired) {
      auto entry = queued_.extract(call.id);
      ledger_.Refuse(entry.mapped()->request.work_token);
      RefuseQueued(entry.mapped(),
                   Refusal(ErrorCode::kTimeout,
                           "the deadline passed while the call waited"),
                   actions);
    }
    if (running_ > 0 && last_sample_ != base::TimePoint())
      slowness_.OnSample(running_, sampled_work_, now - last_sample_);
    sampled_work_ = 0;
    last_sample_ = now;
    drain_.Update(ledger_.open(), ledger_.unacknowledged(), now);
    if (!server_reachable_ && now - last_probe_ > kProbeInterval) {
      last_probe_ = now;
      actions.emplace_back([this] {
        backend_.Probe([this](bool reachable) {
          std::lock_guard lock(mutex_);
          server_reachable_ = reachable;
        });
      });
    }
    Pump(now, actions);
  }
  RunActions(actions);
}

ExecutorLoad WorkExecutor::load() const {
  std::lock_guard lock(mutex_);
  double backlog = queue_->queued_work();
  for (const auto& [token, work] : works_) {
    if (work->running)
      backlog += std::max(0.0, work->expected_work -
                                   scheduling::kDecodeWeight * work->generated);
  }
  ExecutorLoad load;
  load.backlog_tokens = static_cast<std::uint64_t>(backlog);
  load.running = static_cast<std::uint32_t>(running_);
  load.queued = static_cast<std::uint32_t>(queue_->size());
  load.tokens_per_second = slowness_.long_run_rate();
  load.slowness = slowness_.slowness();
  load.leaving = !drain_.accepting();
  load.concurrency_limit = static_cast<std::uint32_t>(limiter_.limit());
  load.server_reachable = server_reachable_;
  return load;
}

}  // namespace vanillalever::sidecar
