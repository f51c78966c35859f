#ifndef VANILLALEVER_SIDECAR_SRC_WORK_EXECUTOR_H_
#define VANILLALEVER_SIDECAR_SRC_WORK_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backend.h"
#include "cache_releaser.h"
#include "crash_probe.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/execution/drain_state.h"
#include "vanillalever/execution/work_ledger.h"
#include "vanillalever/protocol/node_handler.h"
#include "vanillalever/scheduling/concurrency_limiter.h"
#include "vanillalever/scheduling/request_queue.h"
#include "vanillalever/scheduling/slowness_detector.h"

namespace vanillalever::sidecar {

// Current load of the backend server.
struct ExecutorLoad {
  std::uint64_t backlog_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  double tokens_per_second = 0;
  double slowness = 1;
  bool leaving = false;
  std::uint32_t concurrency_limit = 0;
  bool server_reachable = true;
};

// Queues and executes calls for one backend server and retains their results
// until the owner has made them durable. Thread-safe. Responders and the
// backend are called without holding the lock.
class WorkExecutor {
 public:
  using Responder = protocol::Responder<protocol::ExecuteResult>;
  using ReleaseResponder = protocol::Responder<std::optional<base::ErrorInfo>>;

  WorkExecutor(std::string incarnation,
               Backend& backend,
               CacheReleaser& releaser,
               base::CounterRegistry& counters);

  // Executes the request, or responds with the reason for rejecting it.
  void Execute(protocol::ExecuteRequest request, Responder responder);
  // Cancels work that has not ended.
  void Cancel(const std::string& work_token);
  protocol::SettleReply Settle(const protocol::SettleRequest& request);
  void Acknowledge(const std::vector<std::string>& work_tokens);
  void ShardSettled(std::uint32_t shard, std::uint64_t fence);

  // Starts accepting calls. Until then they are rejected because no
  // configuration is known.
  void SetConfigured();
  // Stops accepting calls and lets work in flight finish.
  void BeginDrain();
  execution::DrainPhase drain_phase() const;

  // Expires waiting calls, samples rates and probes an unreachable server.
  void Tick(base::TimePoint now);

  ExecutorLoad load() const;

 private:
  // Callbacks to invoke after the lock is released.
  using Actions = std::vector<std::function<void()>>;

  // A call that is queued or running.
  struct Work {
    protocol::ExecuteRequest request;
    std::vector<Responder> responders;
    std::uint64_t queue_id = 0;
    base::TimePoint arrived;
    base::TimePoint started;
    base::TimePoint deadline;
    bool running = false;
    bool is_long = false;
    bool cancelled = false;
    // Estimate at arrival (work tokens).
    double expected_work = 0;
    std::uint32_t generated_tokens = 0;
    std::shared_ptr<http::ClientCall> call;
  };
  using WorkPtr = std::shared_ptr<Work>;

  static void RunActions(Actions& actions);
  static execution::WorkKey KeyOf(const protocol::ExecuteRequest& request);
  execution::WorkKey KeyOf(const std::string& token,
                           std::uint32_t shard,
                           std::uint64_t fence) const;
  // Error for new work that cannot be accepted now, or nullopt.
  std::optional<base::ErrorInfo> RejectionError() const;
  void Enqueue(protocol::ExecuteRequest request,
               Responder responder,
               base::TimePoint now);
  void StartWaitingCalls(base::TimePoint now, Actions& actions);
  void StartRunAloneCall(base::TimePoint now, Actions& actions);
  void Start(const WorkPtr& work, base::TimePoint now, Actions& actions);
  void OnToken(const WorkPtr& work, std::string text);
  void OnBackendDone(const WorkPtr& work, BackendResult result);
  void Complete(const WorkPtr& work, BackendResult result, bool crashed);
  void RecordRates(const Work& work,
                   const BackendResult& result,
                   base::TimePoint now);
  protocol::ExecuteResult RecordCrash(base::TimePoint now);
  void RejectCall(const WorkPtr& work,
                  const base::ErrorInfo& info,
                  Actions& actions);
  protocol::ExecuteResult RetainedResult(const std::string& token) const;

  const std::string incarnation_;
  Backend& backend_;
  CacheReleaser& releaser_;
  base::Counter& executed_;
  base::Counter& refused_;
  base::Counter& crashes_;

  mutable std::mutex mutex_;
  execution::WorkLedger ledger_;
  execution::DrainState drain_;
  std::unique_ptr<scheduling::RequestQueue> queue_;
  scheduling::ConcurrencyLimiter limiter_;
  scheduling::SlownessDetector slowness_;
  // Queued and running calls by work token, and queued ones by queue id.
  std::map<std::string, WorkPtr> work_by_token_;
  std::map<std::uint64_t, WorkPtr> queued_by_id_;
  // Suspect calls that wait until no other call runs.
  std::deque<WorkPtr> run_alone_queue_;
  std::uint64_t next_queue_id_ = 1;
  std::size_t running_ = 0;
  std::size_t running_long_ = 0;
  bool run_alone_active_ = false;
  bool configured_ = false;
  bool server_reachable_ = true;
  // Work completed since the last rate sample (work tokens).
  double work_since_sample_ = 0;
  base::TimePoint last_sample_;
  // State of the latest crash of the backend server.
  std::uint64_t crash_count_ = 0;
  std::size_t running_at_crash_ = 0;
  base::TimePoint crash_time_;
  base::TimePoint last_probe_;
  CrashProbe crash_probe_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_WORK_EXECUTOR_H_
