#include "sidecar_model.h"

#include <utility>

#include "cluster.h"

namespace vanillalever::faultmatrix {

namespace {

using execution::Admission;
using execution::WorkResult;

constexpr std::size_t kMaxRunningJobs = 2;
// Timeout of a run on the backend; ends calls of hung services.
constexpr Duration kRunTimeout = seconds(3);
// Scaled to the length of a schedule.
constexpr execution::CacheLeaseSettings kCacheSettings{seconds(12),
                                                       milliseconds(500)};
constexpr execution::DrainSettings kDrainSettings{seconds(60)};

WorkResult Failure(base::ExecutionStatus ran, const std::string& message) {
  WorkResult result;
  base::ErrorInfo error;
  error.code = base::ErrorCode::kBackendFailed;
  error.step = base::Step::kRun;
  error.message = message;
  error.ran = ran;
  result.error = error;
  return result;
}

}  // namespace

SidecarModel::SidecarModel(Cluster& cluster,
                           std::string address,
                           std::string incarnation,
                           bool engine)
    : cluster_(cluster),
      process_(cluster.simulator(), std::move(address)),
      engine_(engine),
      ledger_(std::move(incarnation), execution::WorkLedgerSettings()),
      leases_(kCacheSettings),
      drain_(kDrainSettings),
      config_(std::make_unique<config::ConfigHolder>()) {}

void SidecarModel::Start() {
  if (FakeBackend* backend = cluster_.backend(process_.address()))
    backend->Reset();
  process_.ScheduleEvery(milliseconds(250), [this] { SendReleases(); });
  process_.ScheduleEvery(milliseconds(100), [this] { UpdateDrain(); });
}

void SidecarModel::Stop() {
  leaving_since_ = cluster_.simulator().now();
  if (cluster_.enabled(Safeguard::kDrain)) {
    drain_.Begin();
    return;
  }
  process_.Schedule(seconds(5), [this] {
    cluster_.RecordPlannedStop(process_, ledger_.open());
    cluster_.RestartSidecar(process_.address());
  });
}

bool SidecarModel::IsFenced(std::uint32_t shard, std::uint64_t fence) {
  return cluster_.enabled(Safeguard::kFencing) &&
         fences_.CheckAndUpdate(shard, fence) == membership::FenceCheck::kStale;
}

execution::WorkKey SidecarModel::WorkKeyFor(
    const ExecuteRequest& request) const {
  execution::WorkKey key;
  key.token = request.key.work_token;
  key.incarnation = request.sidecar_incarnation;
  key.shard = request.program.shard();
  key.fence = cluster_.enabled(Safeguard::kFencing) ? request.fence : 0;
  key.repeatable = request.repeatable;
  return key;
}

void SidecarModel::Execute(const ExecuteRequest& request,
                           const Respond& respond) {
  ExecuteReply reply{request.program,     request.key, true, false,
                     request.fingerprint, "",          {},   WorkResult()};
  const std::string& token = request.key.work_token;
  if (!drain_.accepting() && jobs_.count(token) == 0 &&
      ledger_.Result(token) == nullptr) {
    SendResponse(respond, reply);
    return;
  }
  if (IsFenced(request.program.shard(), request.fence)) {
    SendResponse(respond, reply);
    return;
  }
  Admission admission = ledger_.Admit(WorkKeyFor(request));
  bool duplicate =
      admission == Admission::kOpen || admission == Admission::kDone;
  if (duplicate && !cluster_.enabled(Safeguard::kTokenDeduplication)) {
    if (FakeBackend* backend = cluster_.backend(process_.address()))
      backend->Run(request, [](std::size_t) {});
  }
  switch (admission) {
    case Admission::kAccepted:
      last_accepted_ = cluster_.simulator().now();
      jobs_[token] = Job{request, {respond}};
      queue_.push_back(token);
      StartQueuedJobs();
      return;
    case Admission::kOpen:
      jobs_[token].waiting.push_back(respond);
      return;
    case Admission::kDone:
      reply.refused = false;
      reply.result = *ledger_.Result(token);
      break;
    case Admission::kClosed:
      reply.refused = false;
      reply.result =
          Failure(base::ExecutionStatus::kUnknown, "the token is closed");
      break;
    case Admission::kOtherIncarnation:
      reply.other_incarnation = true;
      break;
    default:
      break;
  }
  SendResponse(respond, reply);
}

void SidecarModel::StartQueuedJobs() {
  while (running_.size() < kMaxRunningJobs && !queue_.empty() &&
         !running_alone_) {
    std::string token = queue_.front();
    auto job = jobs_.find(token);
    bool alone = job != jobs_.end() && job->second.request.alone;
    if (alone && !running_.empty())
      return;
    queue_.pop_front();
    if (!ledger_.Start(token))
      continue;
    running_.insert(token);
    running_alone_ = alone;
    bool repeatable = job->second.request.repeatable;
    cluster_.InjectFaults(PathStep::kRun, process_, nullptr, process_.address(),
                          repeatable, [this, token] { RunOnBackend(token); });
  }
}

void SidecarModel::RunOnBackend(const std::string& token) {
  const ExecuteRequest request = jobs_[token].request;
  execution::CacheHolder holder{request.program.text(),
                                request.program_incarnation};
  if (engine_)
    leases_.Begin(holder, cluster_.simulator().now());
  FakeBackend* backend = cluster_.backend(process_.address());
  auto end = [this, token, holder](WorkResult result, std::uint64_t crash) {
    if (jobs_.count(token) == 0)
      return;
    if (engine_)
      leases_.End(holder, result.tokens, cluster_.simulator().now());
    Finish(token, std::move(result), crash);
  };
  if (backend == nullptr) {
    end(Failure(base::ExecutionStatus::kNotRun,
                "the backend refuses connections"),
        0);
    return;
  }
  cluster_.network().SendRequest<std::size_t>(
      process_, backend->process(), kRunTimeout,
      [backend, request](const std::function<void(std::size_t)>& respond) {
        backend->Run(request, respond);
      },
      [this, end](std::size_t index) {
        const Execution& execution = cluster_.executions()[index];
        WorkResult result;
        result.body = execution.answer;
        result.tokens = static_cast<std::uint64_t>(execution.cost);
        end(std::move(result), 0);
      },
      [end, backend](bool maybe_delivered) {
        bool crashed = maybe_delivered && !backend->process().alive();
        end(Failure(maybe_delivered ? base::ExecutionStatus::kUnknown
                                    : base::ExecutionStatus::kNotRun,
                    "no answer from the backend"),
            crashed ? backend->run_number() : 0);
      });
}

void SidecarModel::Finish(const std::string& token,
                          WorkResult result,
                          std::uint64_t crash) {
  // One crash fails several calls; the first to fail records what was running.
  if (crash > 0 && crashes_.count(crash) == 0) {
    for (const std::string& running : running_)
      crashes_[crash].push_back(jobs_[running].request.fingerprint);
  }
  running_.erase(token);
  running_alone_ = false;
  auto job = jobs_.extract(token);
  const ExecuteRequest& request = job.mapped().request;
  ExecuteReply reply{request.program,     request.key, false, false,
                     request.fingerprint, "",          {},    result};
  if (crash > 0) {
    reply.crash = incarnation() + "/" + std::to_string(crash);
    reply.running = crashes_[crash];
  }
  ledger_.Finish(token, std::move(result));
  for (const Respond& respond : job.mapped().waiting)
    SendResponse(respond, reply);
  StartQueuedJobs();
}

void SidecarModel::SendResponse(const Respond& respond,
                                const ExecuteReply& reply) {
  cluster_.RespondOrSwap(process_, respond, reply);
}

SettleReply SidecarModel::Settle(const execution::WorkKey& key, bool cancel) {
  SettleReply reply;
  execution::WorkKey fenced = key;
  if (!cluster_.enabled(Safeguard::kFencing))
    fenced.fence = 0;
  if (IsFenced(key.shard, key.fence)) {
    reply.settlement = execution::Settlement::kStaleFence;
    return reply;
  }
  reply.settlement = cancel ? ledger_.Cancel(fenced) : ledger_.Settle(fenced);
  if (reply.settlement == execution::Settlement::kDone)
    reply.result = *ledger_.Result(key.token);
  if (reply.settlement == execution::Settlement::kRevoked)
    jobs_.erase(key.token);
  return reply;
}

void SidecarModel::AcknowledgePreviousOwners(std::uint32_t shard,
                                             std::uint64_t fence) {
  if (!IsFenced(shard, fence))
    ledger_.AcknowledgePreviousOwners(shard, fence);
}

void SidecarModel::Release(const execution::CacheHolder& holder,
                           std::uint32_t shard,
                           std::uint64_t fence,
                           const std::function<void()>& done) {
  if (IsFenced(shard, fence))
    return;
  leases_.Release(holder, cluster_.simulator().now());
  release_waiting_[holder].push_back(done);
  SendReleases();
}

void SidecarModel::SendReleases() {
  FakeBackend* backend = cluster_.backend(process_.address());
  if (!engine_ || backend == nullptr)
    return;
  bool retry = cluster_.enabled(Safeguard::kReleaseRetry);
  TimePoint now = cluster_.simulator().now();
  // With the safeguard disabled, a release is sent once, on request, and the
  // leases of held cache never expire.
  if (!retry && release_waiting_.empty())
    return;
  for (const execution::ReleaseCommand& command :
       leases_.TakeDueReleases(now)) {
    if (!retry && release_waiting_.count(command.holder) == 0)
      continue;
    auto waiting = retry ? std::vector<std::function<void()>>()
                         : std::move(release_waiting_[command.holder]);
    if (!retry)
      release_waiting_.erase(command.holder);
    cluster_.network().SendRequest<bool>(
        process_, backend->process(), milliseconds(400),
        [backend, command](const std::function<void(bool)>& respond) {
          backend->Release(command.holder);
          respond(true);
        },
        [this, command, waiting](bool) {
          leases_.Confirm(command);
          if (!leases_.released(command.holder))
            return;
          auto node = release_waiting_.extract(command.holder);
          for (const auto& done : node ? node.mapped() : waiting)
            done();
        },
        [](bool) {});
  }
}

ReportReply SidecarModel::Report(
    const std::shared_ptr<const config::ConfigBody>& known) {
  cluster_.OfferConfig(config_, known);
  return {incarnation(), !drain_.accepting()};
}

void SidecarModel::UpdateDrain() {
  auto phase = drain_.Update(ledger_.open(), ledger_.unacknowledged(),
                             cluster_.simulator().now());
  if (phase != execution::DrainPhase::kDrained)
    return;
  cluster_.RecordPlannedStop(process_,
                             ledger_.open() + ledger_.unacknowledged());
  cluster_.RestartSidecar(process_.address());
}

}  // namespace vanillalever::faultmatrix
