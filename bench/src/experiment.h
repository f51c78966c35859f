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

// Settings of a whole bench run.
struct ExperimentSettings {
  std::vector<WorkloadSettings> workloads;
  std::vector<double> loads;
  std::vector<std::uint64_t> seeds;
  // Time of arrivals in each run.
  base::Duration length = base::seconds(480);
  // Programs that arrive earlier are not measured.
  base::Duration warm_up = base::seconds(120);
  // Runs at the same time.
  unsigned jobs = 1;
};

// What sets the runs of one cell apart; a cell pools all its seeds.
struct CellKey {
  std::string workload;
  std::string policy;
  double load = 0;
  // "normal", "slowed", "outage" or "overload".
  std::string scenario;

  bool operator<(const CellKey& other) const {
    return std::tie(workload, policy, load, scenario) <
           std::tie(other.workload, other.policy, other.load, other.scenario);
  }
};

// Load of the outage scenario, and of the overload scenario, as shares of
// capacity.
inline constexpr double kOutageLoad = 0.6;
inline constexpr double kOverloadLoad = 3.0;
inline constexpr base::Duration kOutageStart = base::seconds(150);

// All results of a bench run.
struct ExperimentResult {
  std::map<CellKey, RunResult> cells;
};

// Runs every cell. Progress goes to standard error.
ExperimentResult RunExperiment(const ExperimentSettings& settings);

// One closed-loop run.
struct CapacitySample {
  std::string workload;
  std::string policy;
  // Programs in progress at any time.
  std::size_t in_progress = 0;
  // Useful work reached, in programs per second.
  double rate = 0;
};

// Runs every policy in closed loop without deadlines. A workload's capacity is
// the highest rate that any policy reaches: it is a property of the pool and
// the same for all policies. The rate is that of useful work divided by a
// program's mean, because the programs that finish within a run are shorter
// than those that start.
std::vector<CapacitySample> MeasureCapacity(const ExperimentSettings& settings);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_EXPERIMENT_H_
