#include "run_result.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::bench {
namespace {

void Append(std::vector<double>* to, const std::vector<double>& from) {
  to->insert(to->end(), from.begin(), from.end());
}

void AddUp(std::vector<double>* to, const std::vector<double>& from) {
  to->resize(std::max(to->size(), from.size()));
  for (std::size_t i = 0; i < from.size(); ++i)
    (*to)[i] += from[i];
}

}  // namespace

void RunResult::Merge(const RunResult& other) {
  Append(&program_latency, other.program_latency);
  Append(&path_ratio, other.path_ratio);
  Append(&short_wait, other.short_wait);
  arrived += other.arrived;
  finished += other.finished;
  peak_arrived += other.peak_arrived;
  peak_finished += other.peak_finished;
  for (std::size_t i = 0; i < scheduling::kPriorityCount; ++i) {
    peak_arrived_by[i] += other.peak_arrived_by[i];
    peak_finished_by[i] += other.peak_finished_by[i];
    refusals[i] += other.refusals[i];
    peak_refusals[i] += other.peak_refusals[i];
  }
  prefill += other.prefill;
  recomputed += other.recomputed;
  recomputed_held += other.recomputed_held;
  work += other.work;
  hedged_work += other.hedged_work;
  ended_kv_max = std::max(ended_kv_max, other.ended_kv_max);
  // Means over runs of equal length.
  double total = runs + other.runs;
  auto mean = [&](double* value, double added) {
    *value = (*value * runs + added * other.runs) / total;
  };
  mean(&ended_kv_mean, other.ended_kv_mean);
  mean(&utilisation, other.utilisation);
  mean(&throughput, other.throughput);
  mean(&useful_work_rate, other.useful_work_rate);
  AddUp(&finished_at, other.finished_at);
  AddUp(&retries_at, other.retries_at);
  runs += other.runs;
}

double Quantile(std::vector<double> samples, double quantile) {
  if (samples.empty())
    return 0;
  auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(samples.size())));
  rank = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  auto middle = samples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

}  // namespace vanillalever::bench
