#include <chrono>
#include <filesystem>

#include <catch2/catch.hpp>

#include "child_process.h"
#include "fake_engine.h"
#include "fake_entry.h"
#include "fake_server.h"
#include "fake_service.h"
#include "latency_table.h"
#include "load_run.h"

namespace vanillalever::load {
namespace {

fakes::EngineSettings FastEngine() {
  fakes::EngineSettings settings;
  settings.batch = {1e6, 1e5, 1e7, 64, 100000};
  return settings;
}

// An entry with the defect, and its engine and service.
struct System {
  explicit System(Defect defect)
      : entry(defect, engine_server.address(), service_server.address()) {}

  fakes::FakeEngine engine{FastEngine()};
  fakes::FakeServer engine_server{
      [this](fakes::HttpExchange& exchange) { engine.Handle(exchange); }};
  fakes::FakeService service{{}};
  fakes::FakeServer service_server{
      [this](fakes::HttpExchange& exchange) { service.Handle(exchange); }};
  FakeEntry entry;
  fakes::FakeServer entry_server{
      [this](fakes::HttpExchange& exchange) { entry.Handle(exchange); }};
};

// Runs `programs` programs of the workload against an entry with the defect.
LedgerCheckResult RunAgainst(Defect defect, Workload workload, int programs) {
  System system(defect);
  EntryClient client(
      {{system.entry_server.address()}, "token", base::seconds(10)});
  RunnerSettings runner;
  runner.pause_scale = 0.01;
  runner.initial_backoff = base::milliseconds(5);
  runner.retry_timeout = defect == Defect::kDenyExecution
                             ? base::milliseconds(20)
                             : base::seconds(10);
  LoadSettings load;
  load.workload = workload;
  load.programs = programs;
  load.rate = 0;
  load.max_active = 16;
  LoadResult result = LoadRun(client, load, runner).Run();
  auto fetched = FetchLedgers({system.service_server.address()},
                              {system.engine_server.address()});
  REQUIRE(fetched.unavailable_services.empty());
  REQUIRE_FALSE(fetched.ledgers.engines.empty());
  return CheckLedgers(result.programs, fetched.ledgers);
}

// Guards against false positives, with and without retried turns.
TEST_CASE("a correct entry passes the check") {
  Workload workload = GENERATE(Workload::kCasca, Workload::kTan);
  Defect defect = GENERATE(Defect::kNone, Defect::kDropResponse);
  LedgerCheckResult check = RunAgainst(defect, workload, 20);
  CHECK(check.programs >= 20);
  CHECK(check.finished == check.programs);
  CHECK(check.ok());
}

// Guards against a load tool that does not detect violated guarantees.
TEST_CASE("each defect of an entry is counted") {
  Workload workload = GENERATE(Workload::kCasca, Workload::kTan);
  CHECK(RunAgainst(Defect::kExecuteTwice, workload, 20).doubled > 0);
  CHECK(RunAgainst(Defect::kSkipExecution, workload, 20).lost > 0);
  CHECK(RunAgainst(Defect::kMixResponses, workload, 20).misordered > 0);
  CHECK(RunAgainst(Defect::kOmitTurn, workload, 20).lost >= 20);
  LedgerCheckResult denied = RunAgainst(Defect::kDenyExecution, workload, 20);
  CHECK(denied.false_not_run > 0);
  CHECK(denied.finished < denied.programs);
}

// Guards against changes of the last line or the exit code that scripts parse.
TEST_CASE("the executable prints the check result in its last line") {
  Defect defect = GENERATE(Defect::kNone, Defect::kExecuteTwice);
  System system(defect);
  std::filesystem::path tool =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() / "vl_load";
  fakes::ChildProcess process(
      tool, {"--entries=" + system.entry_server.address(),
             "--services=" + system.service_server.address(),
             "--engines=" + system.engine_server.address(), "--workload=tan",
             "--programs=20", "--rate=100", "--pause_scale=0.01"});
  std::string line = process.WaitForLine("load: programs=");
  CHECK(process.Wait() == (defect == Defect::kNone ? 0 : 1));
  CHECK(line.find(" misordered=0 doubled=") != std::string::npos);
  CHECK((line.find("doubled=0 lost=0") == std::string::npos) ==
        (defect == Defect::kExecuteTwice));
}

// Guards against order violations that are visible only in execution times.
TEST_CASE("turns that ran in the wrong order are counted") {
  ProgramRecord program;
  program.turns.resize(3);
  program.turns[0].ref = "p/1";
  program.turns[1].ref = "p/2";
  program.turns[1].model = true;
  program.turns[2].ref = "p/3";
  for (TurnRecord& turn : program.turns)
    turn.outcome = TurnOutcome::kDone;
  Ledgers ledgers{{{"p/1", 10}, {"p/3", 30}}, {{"p/2", 20}, {"p/2", 90}}};
  CHECK(CheckLedgers({program}, ledgers).ok());
  ledgers.services[1].at_us = 15;
  CHECK(CheckLedgers({program}, ledgers).misordered == 1);
}

// Guards against plans without sub-agents or non-repeatable calls.
TEST_CASE("sample programs have sub-agents and non-repeatable calls") {
  Workload workload = GENERATE(Workload::kCasca, Workload::kTan);
  base::Random random(1);
  std::size_t children = 0;
  std::size_t non_repeatable = 0;
  for (int i = 0; i < 100; ++i) {
    PlannedProgram program = DrawProgram(workload, std::to_string(i), random);
    children += program.children.size();
    for (const PlannedTurn& turn : program.turns)
      non_repeatable += turn.repeatable ? 0 : 1;
  }
  CHECK(children > 10);
  CHECK(non_repeatable > 10);
}

// Guards against quantiles that are off by one rank.
TEST_CASE("quantiles use the nearest rank") {
  std::vector<base::Duration> samples;
  for (int i = 100; i >= 1; --i)
    samples.emplace_back(base::milliseconds(i));
  CHECK(QuantileMs(samples, 0.5) == 50);
  CHECK(QuantileMs(samples, 0.99) == 99);
  CHECK(QuantileMs({}, 0.5) == 0);
}

}  // namespace
}  // namespace vanillalever::load
