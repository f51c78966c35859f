#include "run_result.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::bench {
namespace {

void AppendSamples(std::vector<double>* to, const std::vector<double>& from) {
  to->insert(to->end(), from.begin(), from.end());
}

void AddElementwise(std::vector<double>* to, const std::vector<double>& from) {
  to->resize(std::max(to->size(), from.size()));
  for (std::size_t i = 0; i < from.size(); ++i)
    (*to)[i] += from[i];
}

}  // namespace

void RunResult::Merge(const RunResult& other) {
  AppendSamples(&program_latency, other.program_latency);
  AppendSamples(&path_ratio, other.path_ratio);
  AppendSamples(&short_wait, other.short_wait);
  arrived += other.arrived;
  finished += other.finished;
  peak_arrived += other.peak_arrived;
  peak_finished += other.peak_finished;
  for (std::size_t i = 0; i < scheduling::kPriorityCount; ++i) {
    peak_arrived_by_priority[i] += other.peak_arrived_by_priority[i];
    peak_finished_by_priority[i] += other.peak_finished_by_priority[i];
    refusals[i] += other.refusals[i];
    peak_refusals[i] += other.peak_refusals[i];
  }
  prefill += other.prefill;
  recomputed += other.recomputed;
  recomputed_cached_elsewhere += other.recomputed_cached_elsewhere;
  work += other.work;
  hedged_work += other.hedged_work;
  ended_kv_max = std::max(ended_kv_max, other.ended_kv_max);
  // All runs have the same duration, so runs are weighted equally.
  double total = runs + other.runs;
  auto mean = [&](double* value, double added) {
    *value = (*value * runs + added * other.runs) / total;
  };
  mean(&ended_kv_mean, other.ended_kv_mean);
  mean(&utilisation, other.utilisation);
  mean(&throughput, other.throughput);
  mean(&useful_work_rate, other.useful_work_rate);
  AddElementwise(&finished_per_second, other.finished_per_second);
  AddElementwise(&retries_per_second, other.retries_per_second);
  runs += other.runs;
}

double Quantile(std::vector<double> samples, double quantile) {
  if (samples.empty())
    return 0;
  auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(samples.size())));
  rank = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  auto position = samples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(samples.begin(), position, samples.end());
  return *position;
}

}  // namespace vanillalever::bench
