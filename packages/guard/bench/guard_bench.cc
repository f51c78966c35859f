// Measures the cost that the guard adds to each call: hashing the body and
// looking up the verdict.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "vanillalever/guard/fingerprint.h"
#include "vanillalever/guard/strike_table.h"

namespace vanillalever::guard {
namespace {

constexpr base::TimePoint kNow{std::chrono::hours(100)};

// Hashes a body of N bytes.
void BM_Fingerprint(benchmark::State& state) {
  std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto unused : state)
    benchmark::DoNotOptimize(RequestFingerprint("agent-models", "chat", body));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_Fingerprint)->Arg(1'000)->Arg(16'000)->Arg(1'000'000);

// Looks up a request without strikes in a table of N suspects.
void BM_Judge(benchmark::State& state) {
  StrikeTable table({});
  std::vector<std::string> running;
  for (std::int64_t n = 0; n < state.range(0); ++n)
    running.push_back(RequestFingerprint("models", "chat", std::to_string(n)));
  table.RecordCrash("sidecar", running, kNow);
  std::string other = RequestFingerprint("models", "chat", "other");
  for (auto unused : state)
    benchmark::DoNotOptimize(table.Evaluate(other, kNow));
}
BENCHMARK(BM_Judge)->Arg(0)->Arg(100)->Arg(10'000);

}  // namespace
}  // namespace vanillalever::guard
