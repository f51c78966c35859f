#ifndef VANILLALEVER_BENCH_RUN_RESULT_H_
#define VANILLALEVER_BENCH_RUN_RESULT_H_

#include <array>
#include <cstdint>
#include <vector>

#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::bench {

// What one run measured, over programs that arrived after the warm-up. The
// samples of several seeds are pooled by Merge.
struct RunResult {
  // Whole-program latency (seconds). A program that did not finish counts with
  // twice its deadline, so that dropping work never looks faster than doing it.
  std::vector<double> program_latency;
  // Latency of finished programs divided by their critical path.
  std::vector<double> path_ratio;
  // Wait of each call of short programs: issue to first token, less the time to
  // compute its own new prompt tokens on an idle server (seconds). The wait of
  // a call that was given up is counted up to that moment.
  std::vector<double> short_wait;
  // Programs by outcome; a refusal is one refused attempt to start.
  std::uint64_t arrived = 0;
  std::uint64_t finished = 0;
  std::uint64_t peak_arrived = 0;
  std::uint64_t peak_finished = 0;
  std::array<std::uint64_t, scheduling::kPriorityCount> peak_arrived_by{};
  std::array<std::uint64_t, scheduling::kPriorityCount> peak_finished_by{};
  std::array<std::uint64_t, scheduling::kPriorityCount> refusals{};
  std::array<std::uint64_t, scheduling::kPriorityCount> peak_refusals{};
  // Prompt tokens computed, those of them that had been computed before, and
  // those that another server held at that moment.
  double prefill = 0;
  double recomputed = 0;
  double recomputed_held = 0;
  // KV of programs that ended more than the release bound ago: mean over time
  // and highest sample (tokens in the whole pool).
  double ended_kv_mean = 0;
  double ended_kv_max = 0;
  // Work by the engines, and of hedges among it (work tokens).
  double work = 0;
  double hedged_work = 0;
  // Share of the servers' time with calls running while programs arrive.
  double utilisation = 0;
  // Programs finished per second over the measured time.
  double throughput = 0;
  // New prompt tokens and output of the calls that ended, per second (work
  // tokens). Recomputed prompts do not count.
  double useful_work_rate = 0;
  // Programs finished, and retries sent, in each second of the run.
  std::vector<double> finished_at;
  std::vector<double> retries_at;
  // Runs pooled in this result.
  int runs = 0;

  void Merge(const RunResult& other);
};

// Value at the quantile of unsorted samples; zero without samples.
double Quantile(std::vector<double> samples, double quantile);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_RUN_RESULT_H_
