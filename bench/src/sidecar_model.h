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

// A call on its way from an entry to a sidecar.
struct CallMessage {
  // Unique for each attempt.
  std::uint64_t id = 0;
  scheduling::ProgramKey program = 0;
  int program_class = 0;
  scheduling::Priority priority = scheduling::Priority::kNormal;
  double prompt_tokens = 0;
  // Real output, known to the engine only.
  double output_tokens = 0;
  base::TimePoint program_start{};
  base::TimePoint deadline{};
  bool blocks_parent = false;
};

enum class CallOutcome { kDone, kExpired, kFailed };

// What the sidecar answers for a call.
struct CallResult {
  std::uint64_t id = 0;
  CallOutcome outcome = CallOutcome::kDone;
  base::TimePoint first_token{};
  double cached_tokens = 0;
};

// One server: the real queue, limiter and detector in front of a model engine.
class SidecarModel {
 public:
  // What the sidecar tells the rest of the simulation.
  struct Hooks {
    std::function<void(const CallResult&)> on_result;
    std::function<void(const FirstToken&)> on_first_token;
    std::function<void(const CacheChange&)> on_cache;
    // A call started; `prefill` prompt tokens must be computed.
    std::function<void(const CallMessage&, double prefill)> on_start;
  };

  SidecarModel(const EngineSettings& engine,
               const Policy& policy,
               EventQueue* events,
               Hooks hooks);

  void Receive(const CallMessage& message);
  void Cancel(std::uint64_t id);
  // Frees the KV of an ended program, now or when its last call here ends.
  void Release(scheduling::ProgramKey program);
  void SetSpeed(double speed);
  // Fails all calls; until Restart new ones fail as well.
  void Crash();
  void Restart();

  // Samples the engine's rate; called at a fixed interval.
  void Tick();
  scheduling::LoadReport Report();

  bool down() const { return down_; }
  EngineModel& engine() { return engine_; }

 private:
  void Dispatch();
  void HandleEngine();
  void ScheduleEngine();
  void Answer(std::uint64_t id, CallOutcome outcome, EngineResult result = {});

  EngineModel engine_;
  Policy policy_;
  EventQueue* events_;
  Hooks hooks_;
  std::unique_ptr<scheduling::RequestQueue> queue_;
  scheduling::ConcurrencyLimiter limiter_;
  scheduling::SlownessDetector detector_;
  scheduling::LengthEstimator lengths_;
  std::unordered_map<std::uint64_t, CallMessage> calls_;
  // Running calls, and whether they count as long.
  std::unordered_map<std::uint64_t, bool> running_long_;
  std::size_t long_count_ = 0;
  std::unordered_map<scheduling::ProgramKey, bool> ended_;
  // Number of the latest scheduled engine event; older ones are void.
  std::uint64_t engine_event_ = 0;
  double last_work_ = 0;
  base::Duration last_busy_{0};
  bool down_ = false;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_SIDECAR_MODEL_H_
