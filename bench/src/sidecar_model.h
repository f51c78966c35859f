#ifndef VANILLALEVER_BENCH_SIDECAR_MODEL_H_
#define VANILLALEVER_BENCH_SIDECAR_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "engine_model.h"
#include "event_queue.h"
#include "policy.h"
#include "vanillalever/scheduling/concurrency_limiter.h"
#include "vanillalever/scheduling/length_estimator.h"
#include "vanillalever/scheduling/load_table.h"
#include "vanillalever/scheduling/request_queue.h"
#include "vanillalever/scheduling/slowness_detector.h"

namespace vanillalever::bench {

// A call sent by an entry to a sidecar.
struct CallMessage {
  // Unique for each attempt.
  std::uint64_t id = 0;
  scheduling::ProgramKey program = 0;
  int program_class = 0;
  scheduling::Priority priority = scheduling::Priority::kNormal;
  double prompt_tokens = 0;
  // Actual output length; used by the engine only.
  double output_tokens = 0;
  base::TimePoint program_start{};
  base::TimePoint deadline{};
  bool blocks_parent = false;
};

enum class CallOutcome { kDone, kExpired, kFailed };

// Result of a call as returned to the entry.
struct CallResult {
  std::uint64_t id = 0;
  CallOutcome outcome = CallOutcome::kDone;
  base::TimePoint first_token{};
  double cached_tokens = 0;
};

// Simulated server: the production request queue, concurrency limiter and
// slowness detector in front of an EngineModel.
class SidecarModel {
 public:
  // Callbacks into the simulation.
  struct Hooks {
    std::function<void(const CallResult&)> on_result;
    std::function<void(const FirstToken&)> on_first_token;
    std::function<void(const CacheChange&)> on_cache;
    // A call was started and has `prefill` prompt tokens to compute.
    std::function<void(const CallMessage&, double prefill)> on_start;
  };

  SidecarModel(const EngineSettings& engine,
               const Policy& policy,
               EventQueue* events,
               Hooks hooks);

  void Receive(const CallMessage& message);
  void Cancel(std::uint64_t id);
  // Frees the KV of an ended program, now or when its last call on this server
  // ends.
  void Release(scheduling::ProgramKey program);
  void SetSpeed(double speed);
  // Fails all calls, and all new calls until Restart.
  void Crash();
  void Restart();

  // Samples the engine's rate for the slowness detector; called periodically.
  void SampleRate();
  scheduling::LoadReport MakeLoadReport();

  bool down() const { return down_; }
  EngineModel& engine() { return engine_; }

 private:
  void Dispatch();
  void HandleEngineEvent();
  void ScheduleEngineEvent();
  void ReportResult(std::uint64_t id,
                    CallOutcome outcome,
                    EngineResult result = {});

  EngineModel engine_;
  Policy policy_;
  EventQueue* events_;
  Hooks hooks_;
  std::unique_ptr<scheduling::RequestQueue> queue_;
  scheduling::ConcurrencyLimiter limiter_;
  scheduling::SlownessDetector detector_;
  scheduling::LengthEstimator lengths_;
  std::unordered_map<std::uint64_t, CallMessage> calls_;
  // Whether a call counts as long, by id of the running call.
  std::unordered_map<std::uint64_t, bool> running_long_;
  std::size_t long_count_ = 0;
  std::unordered_map<scheduling::ProgramKey, bool> ended_programs_;
  // Number of the latest scheduled engine event; earlier events are ignored.
  std::uint64_t engine_event_number_ = 0;
  double last_work_ = 0;
  base::Duration last_busy_{0};
  bool down_ = false;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_SIDECAR_MODEL_H_
