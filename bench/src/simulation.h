#ifndef VANILLALEVER_BENCH_SIMULATION_H_
#define VANILLALEVER_BENCH_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "entry_model.h"
#include "event_queue.h"
#include "policy.h"
#include "run_result.h"
#include "sidecar_model.h"
#include "workload.h"

namespace vanillalever::bench {

// Conditions of one run.
struct RunSettings {
  std::uint64_t seed = 1;
  // Programs that arrive per second on average, in open loop.
  double rate = 1;
  // Time during which programs arrive; the run ends when all programs have
  // ended.
  base::Duration arrival_duration = base::seconds(480);
  // Programs that arrive earlier are not measured.
  base::Duration warm_up = base::seconds(120);
  // At any time one server in ten, chosen at random, runs at a quarter of its
  // speed.
  bool slowed = false;
  // Start of an outage of every second server for kOutageDuration; zero for
  // none.
  base::Duration outage{0};
  // Number of concurrent programs in closed loop without deadlines, to measure
  // capacity; zero for open-loop arrivals.
  std::size_t closed_loop = 0;
};

// Duration of an outage, and time after the end of a program within which its
// KV must be freed.
inline constexpr base::Duration kOutageDuration = base::seconds(10);
inline constexpr base::Duration kMaxReleaseDelay = base::seconds(5);

// Discrete-event simulation of entries, sidecars and engines around the
// production scheduling classes.
class Simulation {
 public:
  Simulation(const WorkloadSettings& workload,
             const Policy& policy,
             const RunSettings& settings);

  RunResult Run();

 private:
  void AddSidecar(scheduling::ServerIndex server);
  void AddEntry(std::size_t entry);
  void ScheduleArrivals();
  void StartProgram(const ProgramShape* shape, base::Duration time);
  void StartClosedLoopProgram();
  void ScheduleRateSamples();
  void ScheduleSlowdowns();
  void ScheduleOutage();
  void SendLoadReports(scheduling::ServerIndex server);
  void SendCacheEvent(scheduling::ServerIndex server,
                      const CacheChange& change);
  void SendRelease(scheduling::ServerIndex server,
                   scheduling::ProgramKey program);
  void RecordCallStart(scheduling::ServerIndex server,
                       const CallMessage& message,
                       double prefill);
  void RecordProgramEnd(const ProgramRun& program, bool finished);
  void SampleEndedKv();
  base::Duration Elapsed() const { return events_.now() - start_; }
  base::Duration Latency(std::size_t entry,
                         scheduling::ServerIndex server) const;
  bool IsMeasuring() const;

  WorkloadSettings workload_;
  Policy policy_;
  RunSettings settings_;
  EventQueue events_;
  base::TimePoint start_;
  base::Random random_;
  std::vector<Arrival> arrivals_;
  // Programs drawn for the closed loop. A deque, because ProgramRun points to
  // its elements.
  std::deque<ProgramShape> closed_loop_programs_;
  std::vector<std::unique_ptr<SidecarModel>> sidecars_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  std::vector<std::uint64_t> cache_sequences_;
  // Entry by attempt id, to route the result.
  std::unordered_map<std::uint64_t, std::size_t> attempt_entries_;
  // Tokens of each program that have been computed on any server.
  std::unordered_map<scheduling::ProgramKey, double> computed_tokens_;
  std::unordered_map<scheduling::ProgramKey, base::TimePoint> end_times_;
  std::size_t next_entry_ = 0;
  std::size_t active_programs_ = 0;
  std::size_t pending_arrivals_ = 0;
  double kv_samples_ = 0;
  // Useful work of calls completed in the measured period (work tokens).
  double useful_work_ = 0;
  RunResult result_;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_SIMULATION_H_
