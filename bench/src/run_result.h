#ifndef VANILLALEVER_BENCH_RUN_RESULT_H_
#define VANILLALEVER_BENCH_RUN_RESULT_H_

#include <array>
#include <cstdint>
#include <vector>

#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::bench {

// Measurements of one run over the programs that arrived after the warm-up.
// Merge pools the samples of several seeds.
struct RunResult {
  // Whole-program latency (seconds). A program that did not finish counts as
  // twice its deadline, so that dropping programs does not improve latency.
  std::vector<double> program_latency;
  // Latency of finished programs relative to their critical path.
  std::vector<double> path_ratio;
  // Wait of each call of short programs: time from issue to first token, less
  // the time to prefill its new prompt tokens on an idle server (seconds). The
  // wait of an aborted call ends when it is aborted.
  std::vector<double> short_wait;
  // Programs by outcome; a refusal is one rejected attempt to start.
  std::uint64_t arrived = 0;
  std::uint64_t finished = 0;
  std::uint64_t peak_arrived = 0;
  std::uint64_t peak_finished = 0;
  std::array<std::uint64_t, scheduling::kPriorityCount>
      peak_arrived_by_priority{};
  std::array<std::uint64_t, scheduling::kPriorityCount>
      peak_finished_by_priority{};
  std::array<std::uint64_t, scheduling::kPriorityCount> refusals{};
  std::array<std::uint64_t, scheduling::kPriorityCount> peak_refusals{};
  // Prompt tokens: all that were prefilled, those computed again, and those
  // computed again although another server had them cached at that time.
  double prefill = 0;
  double recomputed = 0;
  double recomputed_cached_elsewhere = 0;
  // Cached KV of programs that ended more than kMaxReleaseDelay ago: mean and
  // maximum of the samples (tokens in the whole pool).
  double ended_kv_mean = 0;
  double ended_kv_max = 0;
  // Work done by the engines, and work sent as hedges (work tokens).
  double work = 0;
  double hedged_work = 0;
  // Mean share of time with running calls per server, in the measured period.
  double utilisation = 0;
  // Programs finished per second of the measured period.
  double throughput = 0;
  // New prompt tokens and output of completed calls (work tokens per second),
  // without recomputed prompt tokens.
  double useful_work_rate = 0;
  // Programs finished and retries sent, by second of the run.
  std::vector<double> finished_per_second;
  std::vector<double> retries_per_second;
  // Number of pooled runs.
  int runs = 0;

  void Merge(const RunResult& other);
};

// Quantile (nearest rank) of unsorted samples; zero without samples.
double Quantile(std::vector<double> samples, double quantile);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_RUN_RESULT_H_
