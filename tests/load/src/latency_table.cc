#include "latency_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <iomanip>
#include <map>
#include <sstream>

namespace vanillalever::load {
namespace {

struct ClassSamples {
  int programs = 0;
  int finished = 0;
  std::vector<base::Duration> program_latency;
  std::vector<base::Duration> first_token;

  void Add(const ProgramRecord& program) {
    ++programs;
    finished += program.finished ? 1 : 0;
    if (program.finished && !program.is_child)
      program_latency.push_back(program.elapsed);
    for (const TurnRecord& turn : program.turns) {
      if (turn.first_token > base::Duration::zero())
        first_token.push_back(turn.first_token);
    }
  }
};

void AppendRow(std::ostringstream& text,
               const std::string& name,
               const ClassSamples& samples) {
  constexpr int kNameWidth = 16;
  constexpr int kColumnWidth = 10;
  text << std::left << std::setw(kNameWidth) << name << std::right
       << std::setw(kColumnWidth) << samples.programs << std::setw(kColumnWidth)
       << samples.finished;
  for (const auto* durations :
       {&samples.program_latency, &samples.first_token}) {
    for (double quantile : {0.5, 0.95, 0.99})
      text << std::setw(kColumnWidth) << std::fixed << std::setprecision(1)
           << QuantileMs(*durations, quantile);
  }
  text << "\n";
}

}  // namespace

double QuantileMs(std::vector<base::Duration> samples, double quantile) {
  if (samples.empty())
    return 0;
  double rank = std::ceil(quantile * static_cast<double>(samples.size()));
  auto index = static_cast<std::ptrdiff_t>(std::max(1.0, rank)) - 1;
  std::nth_element(samples.begin(), samples.begin() + index, samples.end());
  return std::chrono::duration<double, std::milli>(
             samples[static_cast<std::size_t>(index)])
      .count();
}

std::string LatencyTable(const std::vector<ProgramRecord>& programs) {
  std::map<std::string, ClassSamples> classes;
  ClassSamples all;
  for (const ProgramRecord& program : programs) {
    classes[program.program_class].Add(program);
    all.Add(program);
  }
  std::ostringstream text;
  text << "class             programs  finished"
       << "  prog_p50  prog_p95  prog_p99 token_p50 token_p95 token_p99\n";
  for (const auto& [name, samples] : classes)
    AppendRow(text, name, samples);
  AppendRow(text, "all", all);
  return text.str();
}

}  // namespace vanillalever::load
