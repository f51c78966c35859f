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

// Connections that are lost within this time are attributed to one crash.
constexpr base::Duration kCrashWindow = base::seconds(1);
// Time between reachability checks of an unreachable server.
constexpr base::Duration kProbeInterval = base::milliseconds(200);
// Retry-after time of rejected calls.
constexpr base::milliseconds kRetryAfter{500};
// Assumed work of a service call (work tokens).
constexpr double kServiceCallWork = 500;
// Used to estimate the prompt's tokens before the engine reports them.
constexpr double kPromptBytesPerToken = 4;

base::ErrorInfo MakeRejection(ErrorCode code, const std::string& message) {
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
    return kServiceCallWork;
  return static_cast<double>(request.body.size()) / kPromptBytesPerToken +
         scheduling::kDecodeWeight * request.expected_tokens;
}

scheduling::Priority ToPriority(std::uint32_t rank) {
  auto lowest = static_cast<std::uint32_t>(scheduling::kPriorityCount - 1);
  return static_cast<scheduling::Priority>(std::min(rank, lowest));
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
          scheduling::MakeRequestQueue(scheduling::QueueKind::kRemainingWork)),
      crash_probe_(backend) {}

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

std::optional<base::ErrorInfo> WorkExecutor::RejectionError() const {
  if (!drain_.accepting())
    return MakeRejection(ErrorCode::kUnavailable,
                         "the backend server is leaving");
  if (!configured_)
    return MakeRejection(ErrorCode::kUnavailable,
                         "no configuration is known yet");
  if (!server_reachable_)
    return MakeRejection(ErrorCode::kUnavailable,
                         "the backend server is not reachable");
  return std::nullopt;
}

void WorkExecutor::Execute(protocol::ExecuteRequest request,
                           Responder responder) {
  base::TimePoint now = std::chrono::steady_clock::now();
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    std::optional<base::ErrorInfo> rejection = RejectionError();
    bool known = work_by_token_.contains(request.work_token) ||
                 ledger_.Result(request.work_token) != nullptr;
    if (rejection && !known) {
      refused_.Add();
      actions.emplace_back([responder, result = ErrorResult(*rejection)] {
        responder.done(result);
      });
    } else {
      Admission admission = ledger_.Admit(KeyOf(request));
      switch (admission) {
        case Admission::kAccepted:
          releaser_.RecordFence(request.shard, request.fence);
          Enqueue(std::move(request), responder, now);
          break;
        case Admission::kOpen:
          work_by_token_.at(request.work_token)
              ->responders.push_back(responder);
          break;
        case Admission::kDone:
          actions.emplace_back(
              [responder, result = RetainedResult(request.work_token)] {
                responder.done(result);
              });
          break;
        default: {
          refused_.Add();
          base::ErrorInfo info = MakeRejection(
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
    StartWaitingCalls(now, actions);
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
  work_by_token_[work->request.work_token] = work;
  if (work->request.alone) {
    run_alone_queue_.push_back(work);
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
  work->is_long = queue_->IsLong(call);
  queued_by_id_[call.id] = work;
  queue_->Push(call);
}

// Starts as many waiting calls as the concurrency limit permits. A suspect call
// runs alone: it waits until no other call runs, and no other call starts while
// it waits or runs.
void WorkExecutor::StartWaitingCalls(base::TimePoint now, Actions& actions) {
  if (run_alone_active_)
    return;
  if (!run_alone_queue_.empty())
    return StartRunAloneCall(now, actions);
  while (true) {
    scheduling::SlotState slots;
    slots.limit = limiter_.limit();
    slots.running = running_;
    slots.running_long = running_long_;
    auto next = queue_->Pop(now, slots);
    if (!next)
      return;
    auto node = queued_by_id_.extract(next->id);
    Start(node.mapped(), now, actions);
  }
}

void WorkExecutor::StartRunAloneCall(base::TimePoint now, Actions& actions) {
  if (running_ > 0)
    return;
  WorkPtr work = run_alone_queue_.front();
  run_alone_queue_.pop_front();
  run_alone_active_ = true;
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
  if (work->is_long)
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
          OnBackendDone(work, std::move(result));
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
    if (++work->generated_tokens == 1)
      work_since_sample_ +=
          static_cast<double>(work->request.body.size()) / kPromptBytesPerToken;
    work_since_sample_ += scheduling::kDecodeWeight;
    if (work->request.stream)
      responders = work->responders;
  }
  for (const Responder& responder : responders)
    responder.token(text);
}

void WorkExecutor::OnBackendDone(const WorkPtr& work, BackendResult result) {
  bool cancelled = false;
  {
    std::lock_guard lock(mutex_);
    cancelled = work->cancelled;
  }
  if (!result.connection_lost || cancelled)
    return Complete(work, std::move(result), false);
  // A lost connection does not prove that the server crashed.
  crash_probe_.Check([this, work, result = std::move(result)](bool crashed) {
    Complete(work, result, crashed);
  });
}

// Records a crash of the backend server. All requests that one crash hits get
// the same crash id and the same number of concurrent calls.
protocol::ExecuteResult WorkExecutor::RecordCrash(base::TimePoint now) {
  if (crash_count_ == 0 || now - crash_time_ > kCrashWindow) {
    ++crash_count_;
    running_at_crash_ = running_;
    crashes_.Add();
  }
  crash_time_ = now;
  server_reachable_ = false;
  protocol::ExecuteResult details;
  details.server_crashed = true;
  details.crash_id = incarnation_ + "/" + std::to_string(crash_count_);
  details.concurrent_requests =
      static_cast<std::uint32_t>(running_at_crash_ - 1);
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
      reply = RecordCrash(now);
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
    if (work->is_long)
      --running_long_;
    if (work->request.alone)
      run_alone_active_ = false;
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
    work_by_token_.erase(work->request.work_token);
    work->call.reset();
    for (Responder& responder : work->responders)
      actions.emplace_back([responder, reply] { responder.done(reply); });
    work->responders.clear();
    StartWaitingCalls(now, actions);
  }
  RunActions(actions);
}

void WorkExecutor::RecordRates(const Work& work,
                               const BackendResult& result,
                               base::TimePoint now) {
  if (result.error)
    return;
  std::chrono::duration<double> duration = now - work.started;
  double tokens = std::max<double>(1, result.output_tokens);
  limiter_.OnCompletion(now, duration.count() / tokens, running_);
  if (!IsEngineCall(work.request))
    work_since_sample_ += kServiceCallWork;
}

void WorkExecutor::RejectCall(const WorkPtr& work,
                              const base::ErrorInfo& info,
                              Actions& actions) {
  refused_.Add();
  work_by_token_.erase(work->request.work_token);
  for (Responder& responder : work->responders)
    actions.emplace_back(
        [responder, result = ErrorResult(info)] { responder.done(result); });
  work->responders.clear();
}

void WorkExecutor::Cancel(const std::string& work_token) {
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    auto it = work_by_token_.find(work_token);
    if (it == work_by_token_.end())
      return;
    WorkPtr work = it->second;
    work->cancelled = true;
    if (work->running) {
      if (work->call)
        work->call->Cancel();
      return;
    }
    queue_->Remove(work->queue_id);
    queued_by_id_.erase(work->queue_id);
    std::erase(run_alone_queue_, work);
    ledger_.Cancel(KeyOf(work->request));
    RejectCall(work, MakeRejection(ErrorCode::kUnavailable, "cancelled"),
               actions);
    StartWaitingCalls(std::chrono::steady_clock::now(), actions);
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
  releaser_.RecordFence(request.shard, request.fence);
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
          MakeRejection(ErrorCode::kOutcomeUnknown,
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
  releaser_.RecordFence(shard, fence);
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
  crash_probe_.Tick(now);
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    std::vector<scheduling::QueuedCall> expired;
    queue_->Expire(now, &expired);
    for (const scheduling::QueuedCall& call : expired) {
      auto node = queued_by_id_.extract(call.id);
      ledger_.Refuse(node.mapped()->request.work_token);
      RejectCall(node.mapped(),
                 MakeRejection(ErrorCode::kTimeout,
                               "the deadline passed while the call waited"),
                 actions);
    }
    if (running_ > 0 && last_sample_ != base::TimePoint())
      slowness_.OnSample(running_, work_since_sample_, now - last_sample_);
    work_since_sample_ = 0;
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
    StartWaitingCalls(now, actions);
  }
  RunActions(actions);
}

ExecutorLoad WorkExecutor::load() const {
  std::lock_guard lock(mutex_);
  double backlog = queue_->queued_work();
  for (const auto& [token, work] : work_by_token_) {
    if (work->running)
      backlog +=
          std::max(0.0, work->expected_work -
                            scheduling::kDecodeWeight * work->generated_tokens);
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
