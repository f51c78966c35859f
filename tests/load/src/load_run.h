#ifndef VANILLALEVER_LOAD_LOAD_RUN_H_
#define VANILLALEVER_LOAD_LOAD_RUN_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "entry_client.h"
#include "ledger_check.h"
#include "program_plan.h"
#include "program_runner.h"

namespace vanillalever::load {

// Size and arrivals of one run.
struct LoadSettings {
  Workload workload = Workload::kCasca;
  // Number of programs, without sub-agents.
  int programs = 100;
  // Mean arrivals per second (Poisson process); zero starts all programs at
  // once.
  double rate = 10;
  // Time after which no further program is started.
  base::Duration duration = base::seconds(60);
  // Maximum number of concurrent programs; further arrivals are delayed.
  std::size_t max_active = 400;
  // Seed of programs and arrivals.
  std::uint64_t seed = 1;
  // Prefix of the program keys; must differ between runs on the same platform.
  std::string key_prefix = "load";
};

// Result of one run.
struct LoadResult {
  std::vector<ProgramRecord> programs;
  // Programs whose start was delayed by max_active. If not zero, the load was
  // not fully open-loop.
  int delayed_arrivals = 0;
};

// Starts programs at the arrival rate, each in its own thread.
class LoadRun {
 public:
  LoadRun(EntryClient& client,
          const LoadSettings& settings,
          const RunnerSettings& runner)
      : client_(client), settings_(settings), runner_(runner) {}

  // Blocks until all started programs have ended.
  LoadResult Run();

 private:
  // Waits while max_active programs are running, then starts the program.
  void StartProgram(PlannedProgram plan, std::uint64_t seed);

  EntryClient& client_;
  const LoadSettings settings_;
  const RunnerSettings runner_;
  std::mutex mutex_;
  std::condition_variable program_ended_;
  std::size_t active_ = 0;
  LoadResult result_;
};

// Ledgers of the test doubles that could be reached.
struct FetchedLedgers {
  Ledgers ledgers;
  // Addresses of test doubles whose ledger could not be read.
  std::vector<std::string> unavailable_services;
  std::vector<std::string> unavailable_engines;
};

// Fetches the ledgers of the test doubles at these addresses.
FetchedLedgers FetchLedgers(const std::vector<std::string>& services,
                            const std::vector<std::string>& engines);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_LOAD_RUN_H_
