#include "bounds.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <limits>
#include <numeric>
#include <sstream>

#include "policy.h"

namespace vanillalever::bench {
namespace {

// Load at which the improvement goals apply.
constexpr double kGoalLoad = 0.95;

// Maximum ratio to the reference for measures without an improvement goal.
constexpr double kMaxRegressionRatio = 1.05;

// After an outage the retry storm must end within kRetryStormSeconds: in the
// following recovery window, retries are at most this share of the programs
// finished without an outage.
constexpr double kMaxRetryShare = 0.01;
constexpr std::size_t kRetryStormSeconds = 5;
constexpr std::size_t kRecoveryWindowSeconds = 30;

std::string LoadText(double load) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << load;
  return text.str();
}

double Ratio(double value, double reference) {
  if (reference > 0)
    return value / reference;
  return value > 0 ? std::numeric_limits<double>::infinity() : 1;
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

// Adds the bounds of one workload.
class WorkloadBounds {
 public:
  WorkloadBounds(const ExperimentSettings& settings,
                 const ExperimentResult& result,
                 std::string workload,
                 std::string prefix,
                 std::vector<Bound>* out)
      : settings_(settings),
        result_(result),
        workload_(std::move(workload)),
        prefix_(std::move(prefix)),
        system_policy_(AllPolicies().front().name),
        out_(out) {}

  void CheckAll() {
    for (double load : settings_.loads)
      CheckLoad(load);
    CheckOutage();
    CheckOverload();
  }

 private:
  const RunResult& Cell(const std::string& policy,
                        double load,
                        const std::string& scenario) const {
    return result_.cells.at({workload_, policy, load, scenario});
  }

  void AddBound(const std::string& name,
                double load,
                double value,
                double limit,
                bool at_least = false) {
    out_->push_back(
        {.name = prefix_ + workload_ + "." + LoadText(load) + "." + name,
         .value = value,
         .limit = limit,
         .at_least = at_least});
  }

  // Adds a bound on value / reference. The limit is `goal` at the goal load if
  // `goal` is not zero, else kMaxRegressionRatio.
  void AddRatio(const std::string& name,
                double load,
                double value,
                double reference,
                double goal = 0) {
    bool has_goal = goal > 0 && load == kGoalLoad;
    AddBound(name, load, Ratio(value, reference),
             has_goal ? goal : kMaxRegressionRatio);
  }

  void CheckLoad(double load) {
    bool casca = workload_ == "casca";
    const RunResult& system = Cell(system_policy_, load, "normal");
    const RunResult& reference = Cell(
        ReferencePolicy(result_, workload_, load, "normal"), load, "normal");
    auto quantile_ratio = [&](const std::string& name,
                              std::vector<double> RunResult::*samples,
                              double quantile, double goal) {
      AddRatio(name, load, Quantile(system.*samples, quantile),
               Quantile(reference.*samples, quantile), goal);
    };
    quantile_ratio("program_p50", &RunResult::program_latency, 0.5, 0);
    quantile_ratio("program_p95", &RunResult::program_latency, 0.95, 0);
    quantile_ratio("program_p99", &RunResult::program_latency, 0.99,
                   casca ? 0.6 : 0);
    quantile_ratio("short_wait_p95", &RunResult::short_wait, 0.95, 0);
    quantile_ratio("short_wait_p99", &RunResult::short_wait, 0.99,
                   casca ? 0 : 0.25);
    CheckSlowed(load, casca ? 0.5 : 0);

    double goodput =
        Ratio(Share(system.peak_finished, system.peak_arrived),
              Share(reference.peak_finished, reference.peak_arrived));
    bool goodput_goal = !casca && load == kGoalLoad;
    AddBound("peak_goodput", load, goodput,
             goodput_goal ? 1.2 : 1 / kMaxRegressionRatio, true);
    AddBound("peak_goodput_high", load,
             Ratio(Share(system.peak_finished_by_priority[0],
                         system.peak_arrived_by_priority[0]),
                   Share(reference.peak_finished_by_priority[0],
                         reference.peak_arrived_by_priority[0])),
             1 / kMaxRegressionRatio, true);
    CheckCache(load, system, reference);
    AddBound("hedged_work", load, Ratio(system.hedged_work, system.work), 0.05);
  }

  void CheckSlowed(double load, double goal) {
    const RunResult& system = Cell(system_policy_, load, "slowed");
    const RunResult& reference = Cell(
        ReferencePolicy(result_, workload_, load, "slowed"), load, "slowed");
    AddRatio("slowed_program_p99", load, Quantile(system.program_latency, 0.99),
             Quantile(reference.program_latency, 0.99), goal);
  }

  void CheckCache(double load,
                  const RunResult& system,
                  const RunResult& reference) {
    // Two definitions of wasted prefill: recomputed prompt tokens that another
    // server had cached at that time, and all recomputed prompt tokens.
    const RunResult& least_connections =
        Cell("least_connections+fifo", load, "normal");
    const RunResult& cache_affinity =
        Cell("cache_affinity+fifo", load, "normal");
    auto add_waste_bounds = [&](const std::string& name,
                                double RunResult::*tokens) {
      auto share = [&](const RunResult& result) {
        return Ratio(result.*tokens, result.prefill);
      };
      if (load == kGoalLoad) {
        AddBound(name + "_vs_least_connections", load,
                 Ratio(share(system), share(least_connections)), 0.5);
        AddBound(name + "_vs_cache_affinity", load,
                 Ratio(share(system), share(cache_affinity)), 1.1);
      }
      AddBound(name, load, Ratio(share(system), share(reference)),
               kMaxRegressionRatio);
    };
    add_waste_bounds("wasted_prefill", &RunResult::recomputed_cached_elsewhere);
    add_waste_bounds("recomputed_prefill", &RunResult::recomputed);
    AddBound("ended_kv", load, system.ended_kv_max, 0);
  }

  void CheckOutage() {
    const RunResult& system = Cell(system_policy_, kOutageLoad, "outage");
    const RunResult& normal = Cell(system_policy_, kOutageLoad, "no_outage");
    auto end =
        static_cast<std::size_t>(std::chrono::duration_cast<base::seconds>(
                                     kOutageStart + kOutageDuration)
                                     .count());
    auto sum = [](const std::vector<double>& series, std::size_t from,
                  std::size_t to) {
      double total = 0;
      for (std::size_t i = from; i < std::min(to, series.size()); ++i)
        total += series[i];
      return total;
    };
    std::size_t from = end + kRetryStormSeconds;
    std::size_t to = from + kRecoveryWindowSeconds;
    double finished = sum(normal.finished_per_second, from, to);
    AddBound("outage_retries", kOutageLoad,
             Ratio(sum(system.retries_per_second, from, to), finished),
             kMaxRetryShare);
    AddBound("outage_goodput", kOutageLoad,
             Ratio(sum(system.finished_per_second, from, to), finished), 0.95,
             true);
  }

  void CheckOverload() {
    double peak = 0;
    for (double load : settings_.loads)
      peak = std::max(peak, Cell(system_policy_, load, "normal").throughput);
    AddBound(
        "overload_goodput", kOverloadLoad,
        Ratio(Cell(system_policy_, kOverloadLoad, "overload").throughput, peak),
        0.9, true);
  }

  const ExperimentSettings& settings_;
  const ExperimentResult& result_;
  std::string workload_;
  std::string prefix_;
  std::string system_policy_;
  std::vector<Bound>* out_;
};

}  // namespace

std::string ReferencePolicy(const ExperimentResult& result,
                            const std::string& workload,
                            double load,
                            const std::string& scenario) {
  std::vector<Policy> policies = AllPolicies();
  std::string best_policy;
  // Overloaded baselines have the same p99, the penalty for unfinished
  // programs; they differ only in the lower quantiles or in the finished share.
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  std::array<double, 4> lowest = {kInfinite, kInfinite, kInfinite, kInfinite};
  for (std::size_t p = 1; p < policies.size(); ++p) {
    const RunResult& cell =
        result.cells.at({workload, policies[p].name, load, scenario});
    std::array<double, 4> latency = {Quantile(cell.program_latency, 0.99),
                                     Quantile(cell.program_latency, 0.95),
                                     Quantile(cell.program_latency, 0.5),
                                     -Share(cell.finished, cell.arrived)};
    if (latency < lowest) {
      best_policy = policies[p].name;
      lowest = latency;
    }
  }
  return best_policy;
}

std::vector<Bound> CheckBounds(const ExperimentSettings& settings,
                               const ExperimentResult& result,
                               const std::string& prefix) {
  std::vector<Bound> bounds;
  for (const WorkloadSettings& workload : settings.workloads) {
    WorkloadBounds(settings, result, workload.name, prefix, &bounds).CheckAll();
  }
  return bounds;
}

std::set<std::string> ReadKnownFailures(const std::string& path) {
  std::set<std::string> names;
  std::ifstream file(path);
  const std::string key = "test: ";
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key, 0) != 0)
      continue;
    std::size_t end = line.find_first_of(" ,;", key.size());
    names.insert(line.substr(key.size(), end - key.size()));
  }
  return names;
}

}  // namespace vanillalever::bench
