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

// Load at which the improvement goals hold.
constexpr double kGoalLoad = 0.95;

// Limit for measures without an improvement goal.
constexpr double kNoWorse = 1.05;

// A storm has ended when retries are below this share of the calls' rate.
constexpr double kStormRetryShare = 0.01;
constexpr std::size_t kStormSeconds = 5;
constexpr std::size_t kRecoveryWindow = 30;

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

// Bounds of one workload.
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
        own_(AllPolicies().front().name),
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

  void Add(const std::string& name,
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

  // Adds a ratio bound: `goal` at the goal load where one is set (not zero).
  void AddRatio(const std::string& name,
                double load,
                double value,
                double reference,
                double goal = 0) {
    bool has_goal = goal > 0 && load == kGoalLoad;
    Add(name, load, Ratio(value, reference), has_goal ? goal : kNoWorse);
  }

  void CheckLoad(double load) {
    bool casca = workload_ == "casca";
    const RunResult& own = Cell(own_, load, "normal");
    const RunResult& reference = Cell(
        ReferencePolicy(result_, workload_, load, "normal"), load, "normal");
    auto quantile_ratio = [&](const std::string& name,
                              std::vector<double> RunResult::*samples,
                              double quantile, double goal) {
      AddRatio(name, load, Quantile(own.*samples, quantile),
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
        Ratio(Share(own.peak_finished, own.peak_arrived),
              Share(reference.peak_finished, reference.peak_arrived));
    bool goodput_goal = !casca && load == kGoalLoad;
    Add("peak_goodput", load, goodput, goodput_goal ? 1.2 : 1 / kNoWorse, true);
    Add("peak_goodput_high", load,
        Ratio(
            Share(own.peak_finished_by[0], own.peak_arrived_by[0]),
            Share(reference.peak_finished_by[0], reference.peak_arrived_by[0])),
        1 / kNoWorse, true);
    CheckCache(load, own, reference);
    Add("hedged_work", load, Ratio(own.hedged_work, own.work), 0.05);
  }

  void CheckSlowed(double load, double goal) {
    const RunResult& own = Cell(own_, load, "slowed");
    const RunResult& reference = Cell(
        ReferencePolicy(result_, workload_, load, "slowed"), load, "slowed");
    AddRatio("slowed_program_p99", load, Quantile(own.program_latency, 0.99),
             Quantile(reference.program_latency, 0.99), goal);
  }

  void CheckCache(double load,
                  const RunResult& own,
                  const RunResult& reference) {
    // Both readings of waste: prompt tokens computed again that another server
    // held at that moment, and all that had been computed before.
    const RunResult& connections =
        Cell("least_connections+fifo", load, "normal");
    const RunResult& affinity = Cell("cache_affinity+fifo", load, "normal");
    auto check = [&](const std::string& name, double RunResult::*tokens) {
      auto share = [&](const RunResult& result) {
        return Ratio(result.*tokens, result.prefill);
      };
      if (load == kGoalLoad) {
        Add(name + "_vs_least_connections", load,
            Ratio(share(own), share(connections)), 0.5);
        Add(name + "_vs_cache_affinity", load,
            Ratio(share(own), share(affinity)), 1.1);
      }
      Add(name, load, Ratio(share(own), share(reference)), kNoWorse);
    };
    check("wasted_prefill", &RunResult::recomputed_held);
    check("recomputed_prefill", &RunResult::recomputed);
    Add("ended_kv", load, own.ended_kv_max, 0);
  }

  void CheckOutage() {
    const RunResult& own = Cell(own_, kOutageLoad, "outage");
    const RunResult& normal = Cell(own_, kOutageLoad, "no_outage");
    auto end = static_cast<std::size_t>(
        std::chrono::duration_cast<base::seconds>(kOutageStart + kOutageLength)
            .count());
    auto sum = [](const std::vector<double>& series, std::size_t from,
                  std::size_t to) {
      double total = 0;
      for (std::size_t i = from; i < std::min(to, series.size()); ++i)
        total += series[i];
      return total;
    };
    std::size_t from = end + kStormSeconds;
    std::size_t to = from + kRecoveryWindow;
    double finished = sum(normal.finished_at, from, to);
    Add("outage_retries", kOutageLoad,
        Ratio(sum(own.retries_at, from, to), finished), kStormRetryShare);
    Add("outage_goodput", kOutageLoad,
        Ratio(sum(own.finished_at, from, to), finished), 0.95, true);
  }

  void CheckOverload() {
    double peak = 0;
    for (double load : settings_.loads)
      peak = std::max(peak, Cell(own_, load, "normal").throughput);
    Add("overload_goodput", kOverloadLoad,
        Ratio(Cell(own_, kOverloadLoad, "overload").throughput, peak), 0.9,
        true);
  }

  const ExperimentSettings& settings_;
  const ExperimentResult& result_;
  std::string workload_;
  std::string prefix_;
  std::string own_;
  std::vector<Bound>* out_;
};

}  // namespace

std::string ReferencePolicy(const ExperimentResult& result,
                            const std::string& workload,
                            double load,
                            const std::string& scenario) {
  std::vector<Policy> policies = AllPolicies();
  std::string best;
  // Overloaded baselines reach the same p99, the penalty for programs that do
  // not finish; the better one then shows in the lower quantiles or in the
  // finished share.
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
      best = policies[p].name;
      lowest = latency;
    }
  }
  return best;
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

std::set<std::string> ReadKnownRed(const std::string& path) {
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
