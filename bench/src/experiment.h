#ifndef VANILLALEVER_BENCH_EXPERIMENT_H_
#define VANILLALEVER_BENCH_EXPERIMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "run_result.h"
#include "simulation.h"
#include "workload.h"

namespace vanillalever::bench {

// Settings of an experiment: all workloads, policies, loads and seeds.
struct ExperimentSettings {
  std::vector<WorkloadSettings> workloads;
  std::vector<double> loads;
  std::vector<std::uint64_t> seeds;
  // Duration of arrivals in each run.
  base::Duration arrival_duration = base::seconds(480);
  // Programs that arrive earlier are not measured.
  base::Duration warm_up = base::seconds(120);
  // Number of concurrent runs.
  unsigned jobs = 1;
};

// Parameters of one cell; a cell pools the runs of all seeds.
struct CellKey {
  std::string workload;
  std::string policy;
  double load = 0;
  // "normal", "slowed", "outage", "no_outage" or "overload".
  std::string scenario;

  bool operator<(const CellKey& other) const {
    return std::tie(workload, policy, load, scenario) <
           std::tie(other.workload, other.policy, other.load, other.scenario);
  }
};

// Loads of the outage and the overload scenario, relative to capacity, and time
// of the outage after the start of the run.
inline constexpr double kOutageLoad = 0.6;
inline constexpr double kOverloadLoad = 3.0;
inline constexpr base::Duration kOutageStart = base::seconds(150);

// Pooled results by cell.
struct ExperimentResult {
  std::map<CellKey, RunResult> cells;
};

// Runs all cells. Progress is printed to standard error.
ExperimentResult RunExperiment(const ExperimentSettings& settings);

// Result of one closed-loop run.
struct CapacitySample {
  std::string workload;
  std::string policy;
  // Number of concurrent programs.
  std::size_t in_progress = 0;
  // Useful work rate, in programs per second.
  double rate = 0;
};

// Runs every policy in closed loop without deadlines. The capacity of a
// workload is the highest rate of any policy, so that it is the same for all
// policies. The rate is the useful work rate divided by the mean useful work of
// a program; counting finished programs would be biased towards short ones.
std::vector<CapacitySample> MeasureCapacity(const ExperimentSettings& settings);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_EXPERIMENT_H_
