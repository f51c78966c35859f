#include "report.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iomanip>
#include <numeric>
#include <string_view>

#include "policy.h"

namespace vanillalever::bench {
namespace {

struct Column {
  std::string_view name;
  double (*value)(const RunResult&);
  // Whether WriteSvg draws a chart of the measure.
  bool chart = false;
};

double Share(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double Count(std::uint64_t value) {
  return static_cast<double>(value);
}

constexpr std::array kColumns = {
    Column{"program_p50_s",
           [](const RunResult& r) { return Quantile(r.program_latency, 0.5); }},
    Column{
        "program_p95_s",
        [](const RunResult& r) { return Quantile(r.program_latency, 0.95); }},
    Column{"program_p99_s",
           [](const RunResult& r) { return Quantile(r.program_latency, 0.99); },
           true},
    Column{"path_ratio_p50",
           [](const RunResult& r) { return Quantile(r.path_ratio, 0.5); }},
    Column{"path_ratio_p95",
           [](const RunResult& r) { return Quantile(r.path_ratio, 0.95); }},
    Column{"path_ratio_p99",
           [](const RunResult& r) { return Quantile(r.path_ratio, 0.99); },
           true},
    Column{"short_wait_p95_s",
           [](const RunResult& r) { return Quantile(r.short_wait, 0.95); }},
    Column{"short_wait_p99_s",
           [](const RunResult& r) { return Quantile(r.short_wait, 0.99); },
           true},
    Column{"finished_share",
           [](const RunResult& r) {
             return Share(Count(r.finished), Count(r.arrived));
           }},
    Column{"peak_finished_share",
           [](const RunResult& r) {
             return Share(Count(r.peak_finished), Count(r.peak_arrived));
           },
           true},
    Column{"peak_refusals_high",
           [](const RunResult& r) { return Count(r.peak_refusals[0]); }},
    Column{"peak_refusals_normal",
           [](const RunResult& r) { return Count(r.peak_refusals[1]); }},
    Column{"peak_refusals_low",
           [](const RunResult& r) { return Count(r.peak_refusals[2]); }},
    Column{"wasted_prefill_share",
           [](const RunResult& r) {
             return Share(r.recomputed_cached_elsewhere, r.prefill);
           },
           true},
    Column{"recomputed_prefill_share",
           [](const RunResult& r) { return Share(r.recomputed, r.prefill); },
           true},
    Column{"ended_kv_mean_tokens",
           [](const RunResult& r) { return r.ended_kv_mean; }},
    Column{"ended_kv_max_tokens",
           [](const RunResult& r) { return r.ended_kv_max; }},
    Column{"hedged_work_share",
           [](const RunResult& r) { return Share(r.hedged_work, r.work); }},
    Column{"utilisation", [](const RunResult& r) { return r.utilisation; }},
    Column{"throughput_per_s", [](const RunResult& r) { return r.throughput; },
           true},
    Column{"retries",
           [](const RunResult& r) {
             return std::accumulate(r.retries_per_second.begin(),
                                    r.retries_per_second.end(), 0.0);
           }},
    Column{"programs", [](const RunResult& r) { return Count(r.arrived); }},
};

// Dimensions of a chart in pixels.
constexpr int kChartWidth = 640;
constexpr int kChartHeight = 360;
constexpr int kChartMargin = 60;
constexpr int kLegendWidth = 170;

constexpr std::array<std::string_view, 5> kColours = {
    "#c0392b", "#7f8c8d", "#2980b9", "#27ae60", "#8e44ad"};

void WriteChart(const ExperimentSettings& settings,
                const ExperimentResult& result,
                const std::string& workload,
                const Column& column,
                std::ostream& out) {
  std::vector<Policy> policies = AllPolicies();
  double max_value = 0;
  for (const Policy& policy : policies) {
    for (double load : settings.loads) {
      max_value =
          std::max(max_value, column.value(result.cells.at(
                                  {workload, policy.name, load, "normal"})));
    }
  }
  max_value = max_value > 0 ? max_value * 1.05 : 1;
  double min_load = settings.loads.front();
  double load_range = std::max(0.01, settings.loads.back() - min_load);
  auto x = [&](double load) {
    return kChartMargin + (load - min_load) / load_range *
                              (kChartWidth - 2 * kChartMargin - kLegendWidth);
  };
  auto y = [&](double value) {
    return kChartHeight - kChartMargin -
           value / max_value * (kChartHeight - 2 * kChartMargin);
  };
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kChartWidth
      << "\" height=\"" << kChartHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << kChartMargin << "\" y=\"30\" font-size=\"14\">"
      << workload << ": " << column.name << " over load</text>\n";
  for (int tick = 0; tick <= 4; ++tick) {
    double value = max_value * tick / 4;
    out << "<line x1=\"" << kChartMargin << "\" x2=\""
        << x(settings.loads.back()) << "\" y1=\"" << y(value) << "\" y2=\""
        << y(value) << "\" stroke=\"#dddddd\"/><text x=\"8\" y=\""
        << y(value) + 4 << "\">" << std::setprecision(3) << value
        << "</text>\n";
  }
  for (double load : settings.loads) {
    out << "<text x=\"" << x(load) - 10 << "\" y=\""
        << kChartHeight - kChartMargin + 20 << "\">" << load << "</text>\n";
  }
  for (std::size_t p = 0; p < policies.size(); ++p) {
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << kColours[p]
        << "\" points=\"";
    for (double load : settings.loads) {
      out << x(load) << ","
          << y(column.value(
                 result.cells.at({workload, policies[p].name, load, "normal"})))
          << " ";
    }
    out << "\"/><text x=\"" << kChartWidth - kLegendWidth - 20 << "\" y=\""
        << kChartMargin + 20 * p << "\" fill=\"" << kColours[p] << "\">"
        << policies[p].name << "</text>\n";
  }
  out << "</svg>\n";
}

}  // namespace

void PrintTable(const ExperimentSettings& settings,
                const ExperimentResult& result,
                std::ostream& out) {
  for (const WorkloadSettings& workload : settings.workloads) {
    out << "capacity " << workload.name << " " << workload.capacity
        << " programs/s\n";
  }
  out << std::left << std::setw(7) << "load" << std::setw(10) << "scenario"
      << std::setw(24) << "policy"
      << "p50 p95 p99 | path p99 | short p95 p99 | finished peak | wasted "
         "recomputed | hedged | util | refused\n";
  for (const WorkloadSettings& workload : settings.workloads) {
    for (const auto& [key, cell] : result.cells) {
      if (key.workload != workload.name)
        continue;
      out << std::left << std::setw(6) << key.workload << " " << std::setw(5)
          << key.load << std::setw(10) << key.scenario << std::setw(24)
          << key.policy << std::setprecision(3)
          << Quantile(cell.program_latency, 0.5) << " "
          << Quantile(cell.program_latency, 0.95) << " "
          << Quantile(cell.program_latency, 0.99) << " | "
          << Quantile(cell.path_ratio, 0.99) << " | "
          << Quantile(cell.short_wait, 0.95) << " "
          << Quantile(cell.short_wait, 0.99) << " | "
          << Share(Count(cell.finished), Count(cell.arrived)) << " "
          << Share(Count(cell.peak_finished), Count(cell.peak_arrived)) << " | "
          << Share(cell.recomputed_cached_elsewhere, cell.prefill) << " "
          << Share(cell.recomputed, cell.prefill) << " | "
          << Share(cell.hedged_work, cell.work) << " | " << cell.utilisation
          << " | " << cell.refusals[0] << "/" << cell.refusals[1] << "/"
          << cell.refusals[2] << "\n";
    }
  }
}

void WriteCsv(const ExperimentSettings& /*settings*/,
              const ExperimentResult& result,
              const std::string& folder) {
  std::ofstream file(folder + "/measures.csv");
  file << "workload,scenario,load,policy";
  for (const Column& column : kColumns)
    file << "," << column.name;
  file << "\n";
  for (const auto& [key, cell] : result.cells) {
    file << key.workload << "," << key.scenario << "," << key.load << ","
         << key.policy;
    for (const Column& column : kColumns)
      file << "," << column.value(cell);
    file << "\n";
  }
}

void WriteBoundsCsv(const std::vector<Bound>& bounds,
                    const std::string& folder) {
  std::ofstream file(folder + "/bounds.csv");
  file << "bound,value,comparison,limit,passed\n";
  for (const Bound& bound : bounds) {
    file << bound.name << "," << bound.value << ","
         << (bound.at_least ? ">=" : "<=") << "," << bound.limit << ","
         << (bound.passed() ? 1 : 0) << "\n";
  }
}

void WriteSvg(const ExperimentSettings& settings,
              const ExperimentResult& result,
              const std::string& folder) {
  for (const WorkloadSettings& workload : settings.workloads) {
    for (const Column& column : kColumns) {
      if (!column.chart)
        continue;
      std::ofstream file(folder + "/" + workload.name + "_" +
                         std::string(column.name) + ".svg");
      WriteChart(settings, result, workload.name, column, file);
    }
  }
}

}  // namespace vanillalever::bench
