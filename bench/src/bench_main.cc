#include <chrono>
#include <cstdint>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "bounds.h"
#include "experiment.h"
#include "report.h"

DEFINE_bool(quick, false, "Two seeds, short runs, and the goal load only.");
DEFINE_bool(measure_capacity,
            false,
            "Measure the workloads' capacity in closed loop and exit.");
DEFINE_double(capacity_factor,
              1,
              "Factor on the fixed capacities of the workloads.");
DEFINE_int32(seeds, 5, "Seeds, numbered from --first_seed.");
DEFINE_uint64(first_seed, 1, "First seed.");
DEFINE_int32(jobs, 4, "Number of concurrent runs.");
DEFINE_string(output, "", "Folder for CSV and SVG files; none if empty.");
DEFINE_string(known_red, "KNOWN-RED.txt", "List of bounds that may fail.");

namespace vanillalever::bench {
namespace {

// Measures of the design page: whole-program latency, wasted prefill, goodput
// at the demand peak, head-of-line blocking, tail latency with slowed servers.
constexpr int kMeasures = 5;

ExperimentSettings SettingsFromFlags() {
  ExperimentSettings settings;
  settings.workloads = {CascaWorkload(), TanWorkload()};
  for (WorkloadSettings& workload : settings.workloads)
    workload.capacity *= FLAGS_capacity_factor;
  settings.loads = {0.6, 0.8, 0.95, 1.2};
  int seeds = FLAGS_seeds;
  if (FLAGS_quick) {
    settings.loads = {0.95};
    settings.arrival_duration = base::seconds(300);
    settings.warm_up = base::seconds(80);
    seeds = 2;
  }
  for (int i = 0; i < seeds; ++i)
    settings.seeds.push_back(FLAGS_first_seed + static_cast<std::uint64_t>(i));
  settings.jobs = static_cast<unsigned>(FLAGS_jobs);
  return settings;
}

// Prints the bounds; returns the number of failed bounds that are not listed as
// known failures.
int PrintBounds(const std::vector<Bound>& bounds) {
  std::set<std::string> known_failures = ReadKnownFailures(FLAGS_known_red);
  int unexpected = 0;
  for (const Bound& bound : bounds) {
    bool known = known_failures.contains(bound.name);
    std::string state = "ok";
    if (!bound.passed())
      state = known ? "KNOWN-RED" : "FAILED";
    else if (known)
      state = "ok (listed in KNOWN-RED.txt)";
    if (!bound.passed() && !known)
      ++unexpected;
    std::cout << std::left << std::setw(52) << bound.name << " " << std::setw(9)
              << bound.value << (bound.at_least ? " >= " : " <= ")
              << std::setw(9) << bound.limit << " " << state << "\n";
  }
  return unexpected;
}

void PrintCapacity(const ExperimentSettings& settings) {
  for (const CapacitySample& sample : MeasureCapacity(settings)) {
    std::cout << sample.workload << " " << std::left << std::setw(24)
              << sample.policy << " in_progress=" << std::setw(5)
              << sample.in_progress << " programs_per_second=" << sample.rate
              << "\n";
  }
}

int Main() {
  ExperimentSettings settings = SettingsFromFlags();
  if (FLAGS_measure_capacity) {
    PrintCapacity(settings);
    return 0;
  }
  ExperimentResult result = RunExperiment(settings);
  PrintTable(settings, result, std::cout);
  std::vector<Bound> bounds =
      CheckBounds(settings, result, FLAGS_quick ? "quick." : "");
  int unexpected = PrintBounds(bounds);
  if (!FLAGS_output.empty()) {
    std::filesystem::create_directories(FLAGS_output);
    WriteCsv(settings, result, FLAGS_output);
    WriteBoundsCsv(bounds, FLAGS_output);
    WriteSvg(settings, result, FLAGS_output);
  }
  std::size_t within = 0;
  for (const Bound& bound : bounds)
    within += bound.passed() ? 1 : 0;
  std::cout << "bench: measures=" << kMeasures
            << " workloads=" << settings.workloads.size()
            << " within_bounds=" << within << " of=" << bounds.size()
            << std::endl;
  return unexpected == 0 ? 0 : 1;
}

}  // namespace
}  // namespace vanillalever::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return vanillalever::bench::Main();
}
