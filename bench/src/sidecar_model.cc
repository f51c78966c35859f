#include "sidecar_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "vanillalever/scheduling/engine_priority.h"

namespace vanillalever::bench {
namespace {

// Number of batch sizes per operating point of the slowness detector.
constexpr std::size_t kBatchSizesPerPoint = 4;

}  // namespace

SidecarModel::SidecarModel(const EngineSettings& engine,
                           const Policy& policy,
                           EventQueue* events,
                           Hooks hooks)
    : engine_(engine),
      policy_(policy),
      events_(events),
      hooks_(std::move(hooks)),
      queue_(scheduling::MakeRequestQueue(policy.queue)),
      limiter_({.min_limit = engine.max_batch / 4,
                .max_limit = engine.max_batch,
                .initial_limit = engine.max_batch}) {
  engine_.Advance(events->now());
}

void SidecarModel::Receive(const CallMessage& message) {
  calls_.emplace(message.id, message);
  if (down_) {
    ReportResult(message.id, CallOutcome::kFailed);
    return;
  }
  double cached =
      std::min(engine_.CachedTokens(message.program), message.prompt_tokens);
  double work = message.prompt_tokens - cached +
                scheduling::kDecodeWeight *
                    lengths_.ExpectedLength(message.program_class);
  queue_->Push({.id = message.id,
                .priority = message.priority,
                .expected_work = work,
                .enqueue_time = events_->now(),
                .program_start = message.program_start,
                .deadline = message.deadline,
                .blocks_parent = message.blocks_parent});
  Dispatch();
}

void SidecarModel::Dispatch() {
  base::TimePoint now = events_->now();
  std::vector<scheduling::QueuedCall> expired;
  queue_->Expire(now, &expired);
  std::size_t limit =
      policy_.adaptive_limit ? limiter_.limit() : engine_.settings().max_batch;
  while (engine_.HasFreeMemory()) {
    scheduling::SlotState slots{.limit = limit,
                                .running = engine_.running(),
                                .running_long = long_count_};
    std::optional<scheduling::QueuedCall> next = queue_->Pop(now, slots);
    if (!next)
      break;
    const CallMessage& message = calls_.at(next->id);
    double uncached =
        message.prompt_tokens - engine_.CachedTokens(message.program);
    int priority = policy_.engine_priority
                       ? scheduling::EnginePriority(message.priority, uncached)
                       : 0;
    double prefill = engine_.Start({.id = message.id,
                                    .program = message.program,
                                    .prompt_tokens = message.prompt_tokens,
                                    .output_tokens = message.output_tokens,
                                    .priority = priority},
                                   now);
    bool is_long = queue_->IsLong(*next);
    running_long_[message.id] = is_long;
    long_count_ += is_long ? 1 : 0;
    hooks_.on_start(message, prefill);
  }
  queue_->Expire(now, &expired);
  ScheduleEngineEvent();
  for (const scheduling::QueuedCall& call : expired)
    ReportResult(call.id, CallOutcome::kExpired);
}

void SidecarModel::ScheduleEngineEvent() {
  for (const CacheChange& change : engine_.TakeCacheChanges())
    hooks_.on_cache(change);
  std::uint64_t number = ++engine_event_number_;
  if (auto next = engine_.NextEvent()) {
    events_->At(*next, [this, number] {
      if (number == engine_event_number_)
        HandleEngineEvent();
    });
  }
}

void SidecarModel::HandleEngineEvent() {
  base::TimePoint now = events_->now();
  engine_.Advance(now);
  for (const FirstToken& token : engine_.TakeFirstTokens()) {
    if (calls_.contains(token.id))
      hooks_.on_first_token(token);
  }
  for (const EngineResult& result : engine_.TakeResults()) {
    const CallMessage& message = calls_.at(result.id);
    lengths_.OnLength(message.program_class, message.output_tokens);
    double decode_seconds =
        std::chrono::duration<double>(now - result.first_token).count();
    limiter_.OnCompletion(now,
                          decode_seconds / std::max(1.0, message.output_tokens),
                          engine_.running());
    if (ended_programs_.contains(message.program))
      engine_.Release(message.program, now);
    ReportResult(result.id, CallOutcome::kDone, result);
  }
  Dispatch();
}

void SidecarModel::ReportResult(std::uint64_t id,
                                CallOutcome outcome,
                                EngineResult result) {
  if (auto found = running_long_.find(id); found != running_long_.end()) {
    long_count_ -= found->second ? 1 : 0;
    running_long_.erase(found);
  }
  calls_.erase(id);
  hooks_.on_result({.id = id,
                    .outcome = outcome,
                    .first_token = result.first_token,
                    .cached_tokens = result.cached_tokens});
}

void SidecarModel::Cancel(std::uint64_t id) {
  auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  scheduling::ProgramKey program = found->second.program;
  if (!queue_->Remove(id))
    engine_.Cancel(id, events_->now());
  if (auto running = running_long_.find(id); running != running_long_.end()) {
    long_count_ -= running->second ? 1 : 0;
    running_long_.erase(running);
  }
  calls_.erase(found);
  if (ended_programs_.contains(program))
    engine_.Release(program, events_->now());
  Dispatch();
}

void SidecarModel::Release(scheduling::ProgramKey program) {
  ended_programs_[program] = true;
  engine_.Release(program, events_->now());
  ScheduleEngineEvent();
}

void SidecarModel::SetSpeed(double speed) {
  engine_.SetSpeed(speed, events_->now());
  ScheduleEngineEvent();
}

void SidecarModel::Crash() {
  down_ = true;
  engine_.Crash(events_->now());
  ++engine_event_number_;
  queue_ = scheduling::MakeRequestQueue(policy_.queue);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, message] : calls_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (std::uint64_t id : ids)
    ReportResult(id, CallOutcome::kFailed);
}

void SidecarModel::Restart() {
  down_ = false;
}

void SidecarModel::SampleRate() {
  if (down_)
    return;
  engine_.Advance(events_->now());
  base::Duration busy = engine_.busy() - last_busy_;
  double work = engine_.work_done() - last_work_;
  last_busy_ = engine_.busy();
  last_work_ = engine_.work_done();
  // Prefill changes the mix of work and is therefore a separate point.
  std::size_t point = (engine_.running() / kBatchSizesPerPoint) * 2;
  if (engine_.prefilling() > 0)
    ++point;
  detector_.OnSample(point, work, busy);
  HandleEngineEvent();
}

scheduling::LoadReport SidecarModel::MakeLoadReport() {
  engine_.Advance(events_->now());
  double backlog = queue_->queued_work();
  for (const EngineModel::Progress& progress : engine_.progress()) {
    const CallMessage& message = calls_.at(progress.id);
    backlog += progress.prefill_left +
               scheduling::kDecodeWeight *
                   lengths_.ExpectedRemainingLength(message.program_class,
                                                    progress.produced);
  }
  return {.backlog_tokens = backlog,
          .service_rate = detector_.long_run_rate(),
          .slowness = detector_.slowness(),
          .kv_cache_usage = engine_.kv_cache_usage()};
}

}  // namespace vanillalever::bench
