#ifndef VANILLALEVER_BENCH_ENTRY_MODEL_H_
#define VANILLALEVER_BENCH_ENTRY_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "event_queue.h"
#include "policy.h"
#include "sidecar_model.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/admission_control.h"
#include "vanillalever/scheduling/cache_index.h"
#include "vanillalever/scheduling/hedge_policy.h"
#include "vanillalever/scheduling/length_estimator.h"
#include "vanillalever/scheduling/load_table.h"
#include "vanillalever/scheduling/retry_budget.h"
#include "vanillalever/scheduling/server_picker.h"
#include "workload.h"

namespace vanillalever::bench {

// State of a program in progress.
struct ProgramRun {
  const ProgramShape* shape = nullptr;
  scheduling::ProgramKey key = 0;
  // Null for programs started by callers.
  ProgramRun* parent = nullptr;
  base::TimePoint start{};
  base::TimePoint deadline{};
  std::size_t turn = 0;
  // Tokens of history before the current turn.
  double history = 0;
  // Sub-agents that the next turn waits for.
  std::size_t open_children = 0;
  // All sub-agents started so far.
  std::vector<ProgramRun*> children{};
  bool arrived_in_peak = false;
  bool measured = false;
  // Whether the first turn has been issued; false while waiting for admission.
  bool admitted = false;
  bool ended = false;
};

// Simulated entry around the production classes for admission, server
// selection, hedging and retries.
class EntryModel {
 public:
  struct Hooks {
    std::function<void(scheduling::ServerIndex, const CallMessage&)> send;
    std::function<void(scheduling::ServerIndex, std::uint64_t id)> cancel;
    std::function<void(scheduling::ServerIndex, scheduling::ProgramKey)>
        release;
    // `wait` is the time from the issue of a turn to its first token, less the
    // time to prefill its new prompt tokens on an idle server (seconds). Also
    // called when the program ends before the first token.
    std::function<void(const ProgramRun&, double wait)> on_wait;
    std::function<void(const TurnShape&)> on_turn_done;
    std::function<void(const ProgramRun&)> on_refused;
    std::function<void(const ProgramRun&, bool finished)> on_end;
    std::function<void()> on_retry;
    std::function<void(double work)> on_hedge;
  };

  EntryModel(const WorkloadSettings& workload,
             const Policy& policy,
             std::uint64_t seed,
             EventQueue* events,
             Hooks hooks);

  // Starts a program as soon as it is admitted.
  void StartProgram(std::unique_ptr<ProgramRun> program);

  void OnFirstToken(const FirstToken& token);
  void OnResult(const CallResult& result);
  void OnReport(scheduling::ServerIndex server,
                const scheduling::LoadReport& report);
  void OnCacheEvent(const scheduling::CacheEvent& event);
  void SetDistance(scheduling::ServerIndex server, base::Duration distance);

 private:
  struct Attempt {
    std::uint64_t id = 0;
    scheduling::ServerIndex server = 0;
    double work = 0;
    bool hedge = false;
  };

  struct Call {
    ProgramRun* program = nullptr;
    base::TimePoint issued{};
    base::TimePoint sent{};
    int attempts = 0;
    bool first_token = false;
    std::vector<Attempt> open;
  };

  const ClassSettings& ClassSettingsFor(const ProgramRun& program) const;
  void AdmitProgram(ProgramRun* program);
  scheduling::PoolState CurrentPoolState();
  void IssueTurn(ProgramRun* program, base::TimePoint issued);
  // Sends the call to a server; returns false if none is eligible.
  bool SendAttempt(std::uint64_t call_id, bool hedge);
  void ScheduleHedge(std::uint64_t call_id);
  void RetryCall(std::uint64_t call_id);
  void FinishCall(std::uint64_t call_id, const CallResult& result);
  void NextTurn(ProgramRun* program);
  void EndProgram(ProgramRun* program, bool finished);
  void CancelCalls(ProgramRun* program);
  void RecordWait(const ProgramRun& program,
                  base::TimePoint issued,
                  base::TimePoint end);

  WorkloadSettings workload_;
  Policy policy_;
  EventQueue* events_;
  Hooks hooks_;
  base::Random random_;
  std::unique_ptr<scheduling::ServerPicker> picker_;
  scheduling::LoadTable loads_;
  scheduling::CacheIndex cache_;
  scheduling::LengthEstimator lengths_;
  scheduling::HedgePolicy hedges_;
  scheduling::RetryBudget retries_;
  scheduling::AdmissionControl admission_;
  std::unordered_map<ProgramRun*, std::unique_ptr<ProgramRun>> programs_;
  std::unordered_map<std::uint64_t, Call> calls_;
  // Call id by attempt id, for open attempts.
  std::unordered_map<std::uint64_t, std::uint64_t> attempts_;
  std::uint64_t next_id_;
  std::uint64_t next_key_;
  std::vector<scheduling::Candidate> candidates_;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_ENTRY_MODEL_H_
