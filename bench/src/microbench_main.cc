// Microbenchmarks of single scheduling decisions and of shared state under
// contention.
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <benchmark/benchmark.h>

#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/cache_index.h"
#include "vanillalever/scheduling/load_table.h"
#include "vanillalever/scheduling/request_queue.h"
#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {
namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

// Programs and servers in the contention benchmarks.
constexpr std::uint64_t kPrograms = 4096;
constexpr std::uint64_t kServers = 32;

void PickServer(benchmark::State& state) {
  auto kind = static_cast<PickerKind>(state.range(0));
  auto servers = static_cast<std::size_t>(state.range(1));
  auto picker = MakeServerPicker(kind);
  base::Random random(1);
  std::vector<Candidate> candidates(servers);
  for (std::size_t i = 0; i < servers; ++i) {
    candidates[i].server = static_cast<ServerIndex>(i);
    candidates[i].service_rate = 8000;
    candidates[i].backlog_tokens = static_cast<double>(random.Below(20000));
  }
  CallProfile call{.program = 7, .prompt_tokens = 4000, .output_tokens = 100};
  call.holders = {{.server = 3, .tokens = 3500}};
  for (auto _ : state)
    benchmark::DoNotOptimize(picker->Pick(candidates, call, random));
  state.SetLabel(std::string(kPickerKindNames.name(kind)));
}
BENCHMARK(PickServer)->ArgsProduct({{0, 1, 2, 3, 4}, {8, 32, 128}});

// One operation is one push and one pop at a constant queue length.
void QueueOperation(benchmark::State& state) {
  auto kind = static_cast<QueueKind>(state.range(0));
  auto queue = MakeRequestQueue(kind);
  base::Random random(1);
  std::uint64_t id = 0;
  auto push = [&] {
    queue->Push({.id = ++id,
                 .priority = static_cast<Priority>(random.Below(3)),
                 .expected_work = static_cast<double>(random.Below(20000)),
                 .enqueue_time = kStart + base::milliseconds(id),
                 .program_start = kStart,
                 .deadline = kStart + std::chrono::hours(1)});
  };
  for (std::int64_t i = 0; i < state.range(1); ++i)
    push();
  SlotState slots{.limit = 16, .running = 0, .running_long = 0};
  for (auto _ : state) {
    push();
    benchmark::DoNotOptimize(queue->Pop(kStart, slots));
  }
  state.SetLabel(std::string(kQueueKindNames.name(kind)));
}
BENCHMARK(QueueOperation)->ArgsProduct({{0, 1}, {100, 1000, 10000}});

// Each thread looks up a program's holders and records a result.
void CacheIndexContention(benchmark::State& state) {
  static std::unique_ptr<CacheIndex> index;
  if (state.thread_index() == 0) {
    index = std::make_unique<CacheIndex>();
    for (std::uint64_t p = 0; p < kPrograms; ++p) {
      index->OnDispatch(p, static_cast<ServerIndex>(p % kServers), kStart);
      index->OnResult(p, static_cast<ServerIndex>(p % kServers), 1000, kStart);
    }
  }
  base::Random random(static_cast<std::uint64_t>(state.thread_index()) + 1);
  for (auto _ : state) {
    ProgramKey program = random.Below(kPrograms);
    benchmark::DoNotOptimize(index->Holders(program, kStart));
    index->OnResult(program, static_cast<ServerIndex>(program % kServers), 1000,
                    kStart);
  }
}
BENCHMARK(CacheIndexContention)->ThreadRange(1, 8)->UseRealTime();

// Each thread records a send and its end at a random server.
void LoadTableContention(benchmark::State& state) {
  static std::unique_ptr<LoadTable> table;
  if (state.thread_index() == 0)
    table = std::make_unique<LoadTable>(kServers, kStart);
  base::Random random(static_cast<std::uint64_t>(state.thread_index()) + 1);
  base::TimePoint now = kStart;
  std::uint64_t count = 0;
  for (auto _ : state) {
    auto server = static_cast<ServerIndex>(random.Below(kServers));
    now += base::microseconds(10);
    table->OnSend(server, 100, now);
    table->OnEnd(server);
    // Periodic reports keep the list of recent sends short, as in production.
    if (++count % 64 == 0)
      table->OnReport(server, {.service_rate = 8000}, now);
  }
}
BENCHMARK(LoadTableContention)->ThreadRange(1, 8)->UseRealTime();

}  // namespace
}  // namespace vanillalever::scheduling

BENCHMARK_MAIN();
