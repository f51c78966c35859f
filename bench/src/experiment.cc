#include "experiment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include "policy.h"

namespace vanillalever::bench {
namespace {

// Concurrent programs per server in the capacity runs.
constexpr std::size_t kClosedLoopProgramsPerServer[] = {4,  6,  8, 10,
                                                        12, 16, 24};

// Minimum time between two progress lines.
constexpr std::chrono::seconds kProgressInterval{5};

struct Job {
  CellKey key;
  const WorkloadSettings* workload = nullptr;
  Policy policy;
  RunSettings settings;
};

// Runs all jobs on `threads` threads. Results are in the order of the jobs, so
// that they do not depend on thread timing.
std::vector<RunResult> RunJobs(const std::vector<Job>& jobs,
                               unsigned threads,
                               const std::string& label) {
  std::vector<RunResult> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> done{0};
  std::mutex mutex;
  auto last_print = std::chrono::steady_clock::now();
  auto work = [&] {
    for (std::size_t i = next++; i < jobs.size(); i = next++) {
      Simulation simulation(*jobs[i].workload, jobs[i].policy,
                            jobs[i].settings);
      results[i] = simulation.Run();
      std::size_t count = ++done;
      std::lock_guard lock(mutex);
      auto now = std::chrono::steady_clock::now();
      if (now - last_print < kProgressInterval && count < jobs.size())
        continue;
      last_print = now;
      std::cerr << "bench: " << label << " " << count << "/" << jobs.size()
                << " runs\n";
    }
  };
  std::vector<std::thread> pool;
  for (unsigned i = 0; i < std::max(1U, threads); ++i)
    pool.emplace_back(work);
  for (std::thread& thread : pool)
    thread.join();
  return results;
}

}  // namespace

std::vector<CapacitySample> MeasureCapacity(
    const ExperimentSettings& settings) {
  std::vector<Job> jobs;
  for (const WorkloadSettings& workload : settings.workloads) {
    for (const Policy& policy : AllPolicies()) {
      for (std::size_t programs_per_server : kClosedLoopProgramsPerServer) {
        jobs.push_back({.key = {.workload = workload.name,
                                .policy = policy.name,
                                .scenario = "capacity"},
                        .workload = &workload,
                        .policy = policy,
                        .settings = {.arrival_duration = base::seconds(600),
                                     .warm_up = base::seconds(200),
                                     .closed_loop = programs_per_server *
                                                    workload.servers}});
      }
    }
  }
  std::vector<RunResult> results = RunJobs(jobs, settings.jobs, "capacity");
  std::vector<CapacitySample> samples;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    samples.push_back({.workload = jobs[i].key.workload,
                       .policy = jobs[i].key.policy,
                       .in_progress = jobs[i].settings.closed_loop,
                       .rate = results[i].useful_work_rate /
                               MeanUsefulWork(*jobs[i].workload)});
  }
  return samples;
}

ExperimentResult RunExperiment(const ExperimentSettings& settings) {
  ExperimentResult result;
  std::vector<Job> jobs;
  for (const WorkloadSettings& workload : settings.workloads) {
    for (const Policy& policy : AllPolicies()) {
      auto add = [&](double load, const std::string& scenario) {
        for (std::uint64_t seed : settings.seeds) {
          RunSettings run{.seed = seed,
                          .rate = load * workload.capacity,
                          .arrival_duration = settings.arrival_duration,
                          .warm_up = settings.warm_up,
                          .slowed = scenario == "slowed",
                          .outage = scenario == "outage" ? kOutageStart
                                                         : base::Duration(0)};
          jobs.push_back({.key = {.workload = workload.name,
                                  .policy = policy.name,
                                  .load = load,
                                  .scenario = scenario},
                          .workload = &workload,
                          .policy = policy,
                          .settings = run});
        }
      };
      for (double load : settings.loads) {
        add(load, "normal");
        add(load, "slowed");
      }
      add(kOutageLoad, "outage");
      add(kOutageLoad, "no_outage");
      add(kOverloadLoad, "overload");
    }
  }
  std::vector<RunResult> results = RunJobs(jobs, settings.jobs, "measures");
  for (std::size_t i = 0; i < jobs.size(); ++i)
    result.cells[jobs[i].key].Merge(results[i]);
  return result;
}

}  // namespace vanillalever::bench
