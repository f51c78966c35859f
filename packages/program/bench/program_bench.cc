// Run time and memory of the owner's state of programs. The counters report
// bytes per program and encoded bytes per turn.

#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "vanillalever/program/program_codec.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::program {
namespace {

constexpr base::TimePoint kNow{std::chrono::hours(1)};
// Number of turns that each program runs in BM_Programs.
constexpr std::uint32_t kTurns = 4;
// About 250 tokens.
constexpr std::size_t kAnswerBytes = 1000;
constexpr std::int64_t kBudget = 1'000'000'000'000;

double AllocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

CreateRequest MakeRequest(std::int64_t number) {
  CreateRequest request;
  request.organisation = "casca-digital";
  request.program_class = "quality-review";
  request.key = "ticket-" + std::to_string(number);
  request.budget = kBudget;
  request.incarnation = "0123456789abcdef0123456789abcdef";
  return request;
}

// Admits and completes one turn, whose reservation the allowance covers.
void RunTurn(Program& program) {
  static const LoopGuard guard(LoopLimits{});
  std::uint32_t turn = program.last_turn() + 1;
  CallRequest call{turn,           "0123456789abcdef0123456789abcdef",
                   "agent-models", "chat",
                   true,           4000};
  program.Admit(call, guard, kNow);
  AttemptKey key = program.StartAttempt(
      turn, {"10.20.30.40:7000", "fedcba9876543210fedcba9876543210", 12,
             "00112233445566778899aabbccddeeff", true});
  program.MarkDispatched(key);
  program.Accept(key, {TurnOutcome::kDone, std::string(kAnswerBytes, 'x'), "",
                       900, 250, 1150});
}

std::vector<std::unique_ptr<ProgramShard>> MakeShards() {
  std::vector<std::unique_ptr<ProgramShard>> shards;
  shards.reserve(kShardCount);
  for (std::uint32_t n = 0; n < kShardCount; ++n) {
    shards.push_back(std::make_unique<ProgramShard>(ShardCondition{n, 1}, 1,
                                                    ProgramShardSettings{}));
  }
  return shards;
}

// Commits all changes without a table; returns the size of the rows.
std::size_t CommitAll(ProgramShard& shard) {
  std::size_t bytes = 0;
  while (shard.changed() > 0) {
    RecordBatch batch({}, "0123456789abcdef0123456789abcdef");
    shard.Collect(batch, kNow);
    bytes += batch.bytes();
    shard.CommitApplied(batch, 1);
  }
  return bytes;
}

// Creates N programs in kShardCount shards and commits them, then runs and
// commits kTurns turns of each.
void BM_Programs(benchmark::State& state) {
  std::int64_t count = state.range(0);
  double fresh_bytes = 0;
  double used_bytes = 0;
  for (auto unused : state) {
    state.PauseTiming();
    malloc_trim(0);
    double before = AllocatedBytes();
    auto shards = MakeShards();
    state.ResumeTiming();
    std::vector<ProgramId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (std::int64_t n = 0; n < count; ++n) {
      CreateRequest request = MakeRequest(n);
      ProgramId id = ProgramShard::IdFor(request);
      ids.push_back(shards[id.shard()]->Create(request, kNow).id);
    }
    for (auto& shard : shards)
      CommitAll(*shard);
    state.PauseTiming();
    fresh_bytes = AllocatedBytes() - before;
    state.ResumeTiming();
    for (std::uint32_t turn = 0; turn < kTurns; ++turn) {
      for (const ProgramId& id : ids)
        shards[id.shard()]->With(id, RunTurn);
      for (auto& shard : shards)
        CommitAll(*shard);
    }
    state.PauseTiming();
    used_bytes = AllocatedBytes() - before;
    shards.clear();
    state.ResumeTiming();
  }
  auto programs = static_cast<double>(count);
  state.counters["fresh_bytes_per_program"] = fresh_bytes / programs;
  state.counters["used_bytes_per_program"] = used_bytes / programs;
  state.SetItemsProcessed(state.iterations() * count * kTurns);
}
BENCHMARK(BM_Programs)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

// One turn from admission to answer and its commit, without encoding rows.
void BM_TurnAdmitComplete(benchmark::State& state) {
  CreateRequest request = MakeRequest(1);
  Program program(
      {ProgramShard::IdFor(request), request.incarnation, request.organisation,
       request.program_class, ProgramId(), request.key, kBudget},
      kNow, 4000);
  program.BeginCommit(kNow);
  program.CommitApplied(1);
  for (auto unused : state) {
    RunTurn(program);
    benchmark::DoNotOptimize(program.BeginCommit(kNow));
    program.CommitApplied(1);
    program.TrimHistory(2);
  }
}
BENCHMARK(BM_TurnAdmitComplete);

// Collects and applies one group commit of N programs with one turn each.
void BM_GroupCommit(benchmark::State& state) {
  std::int64_t count = state.range(0);
  ProgramShard shard({0, 1}, 1, {});
  std::vector<ProgramId> ids;
  for (std::int64_t n = 0; static_cast<std::int64_t>(ids.size()) < count; ++n) {
    CreateRequest request = MakeRequest(n);
    if (ProgramShard::IdFor(request).shard() == 0)
      ids.push_back(shard.Create(request, kNow).id);
  }
  CommitAll(shard);
  std::size_t bytes = 0;
  for (auto unused : state) {
    state.PauseTiming();
    for (const ProgramId& id : ids)
      shard.With(id, RunTurn);
    state.ResumeTiming();
    bytes = CommitAll(shard);
  }
  state.SetItemsProcessed(state.iterations() * count);
  // Head row, turn row, keys of the conditions and a share of the shard row's
  // key.
  state.counters["encoded_bytes_per_turn"] =
      static_cast<double>(bytes) / static_cast<double>(count);
}
BENCHMARK(BM_GroupCommit)->Arg(1)->Arg(16)->Arg(128);

// Rebuilds a program from its head row and its last turn's row.
void BM_Recover(benchmark::State& state) {
  CreateRequest request = MakeRequest(1);
  Program program(
      {ProgramShard::IdFor(request), request.incarnation, request.organisation,
       request.program_class, ProgramId(), request.key, kBudget},
      kNow, 4000);
  program.BeginCommit(kNow);
  program.CommitApplied(1);
  RunTurn(program);
  ProgramChange change = ProgramCodec::EncodeChange(program.BeginCommit(kNow));
  std::vector<StoredRow> rows;
  for (const RowWrite& write : change.writes)
    rows.push_back({write.key, *write.value, 1});
  for (auto unused : state)
    benchmark::DoNotOptimize(ProgramCodec::Recover(rows, kNow));
  state.counters["head_row_bytes"] = static_cast<double>(rows[0].value.size());
  state.counters["turn_row_bytes"] = static_cast<double>(rows[1].value.size());
}
BENCHMARK(BM_Recover);

}  // namespace
}  // namespace vanillalever::program
