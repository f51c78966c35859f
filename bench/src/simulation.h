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
  // Time during which programs arrive; the run ends when all have ended.
  base::Duration length = base::seconds(480);
  // Programs that arrive earlier are not measured.
  base::Duration warm_up = base::seconds(120);
  // One server in ten works at a quarter of its speed, in turns.
  bool slowed = false;
  // Start of a 10 s outage of every second server; none if zero.
  base::Duration outage{0};
  // Programs kept in progress instead of open-loop arrivals, to measure
  // capacity; none if zero. Deadlines do not apply then.
  std::size_t closed_loop = 0;
};

// Length of an outage, and time after a program's end at which a server must
// have freed its KV.
inline constexpr base::Duration kOutageLength = base::seconds(10);
inline constexpr base::Duration kReleaseBound = base::seconds(5);

// Discrete-event simulation of entries, sidecars and engines that drives the
// real decision classes.
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
  void SchedulePeriodic();
  void ScheduleSlowdowns();
  void ScheduleOutage();
  void DeliverReports(scheduling::ServerIndex server);
  void DeliverCacheChange(scheduling::ServerIndex server,
                          const CacheChange& change);
  void DeliverRelease(scheduling::ServerIndex server,
                      scheduling::ProgramKey program);
  void CountStart(scheduling::ServerIndex server,
                  const CallMessage& message,
                  double prefill);
  void CountEnd(const ProgramRun& program, bool finished);
  void SampleEndedKv();
  base::Duration Elapsed() const { return events_.now() - start_; }
  base::Duration Latency(std::size_t entry,
                         scheduling::ServerIndex server) const;
  bool Measuring() const;

  WorkloadSettings workload_;
  Policy policy_;
  RunSettings settings_;
  EventQueue events_;
  base::TimePoint start_;
  base::Random random_;
  std::vector<Arrival> arrivals_;
  // Programs drawn for the closed loop; addresses must stay valid.
  std::deque<ProgramShape> drawn_;
  std::vector<std::unique_ptr<SidecarModel>> sidecars_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  std::vector<std::uint64_t> cache_sequences_;
  // Entry of each attempt, for its result.
  std::unordered_map<std::uint64_t, std::size_t> attempt_entries_;
  // History that each program had computed somewhere (tokens).
  std::unordered_map<scheduling::ProgramKey, double> computed_;
  std::unordered_map<scheduling::ProgramKey, base::TimePoint> ended_;
  std::size_t next_entry_ = 0;
  std::size_t open_programs_ = 0;
  std::size_t pending_arrivals_ = 0;
  double kv_samples_ = 0;
  // Useful work of the calls that ended while measuring (work tokens).
  double useful_work_ = 0;
  RunResult result_;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_SIMULATION_H_
