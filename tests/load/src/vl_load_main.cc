// Runs programs against entries as their callers do and compares what the
// callers were told with the ledgers of the test doubles. Exit code 1: a
// promise was broken or a program did not finish; 3: a service ledger could not
// be read.

#include <iostream>
#include <map>
#include <sstream>

#include <gflags/gflags.h>

#include "latency_table.h"
#include "load_run.h"
#include "vanillalever/base/settings.h"

DEFINE_string(entries, "", "Entries as ip:port, separated by commas.");
DEFINE_string(services, "", "Fake services whose ledgers are compared.");
DEFINE_string(engines, "", "Fake engines whose ledgers are compared.");
DEFINE_string(token, "", "Bearer token of the organisation.");
DEFINE_string(workload, "casca", "Sample programs: casca or tan.");
DEFINE_int32(programs, 100, "Number of programs, without sub-agents.");
DEFINE_double(rate, 10, "Mean arrivals per second; 0 starts all at once.");
DEFINE_double(duration_s, 60, "Time after which no program is started, in s.");
DEFINE_int32(max_active, 400, "Programs that run at the same time.");
DEFINE_double(give_up_s, 30, "Time to repeat one request, in s.");
DEFINE_double(request_timeout_s, 60, "Time for one request, in s.");
DEFINE_double(pause_scale, 1, "Factor of the tool pauses.");
DEFINE_bool(send_history, true, "Send the whole conversation in each call.");
DEFINE_string(key_prefix, "load", "Prefix of the program keys.");
DEFINE_uint64(seed, 1, "Seed of programs and arrivals.");

namespace vanillalever::load {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitNoLedger = 3;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

base::Duration Seconds(double value) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(value));
}

int CheckFlags() {
  base::SettingsCheck check;
  check.Add(base::ApplyEnvironment());
  check.Require(!FLAGS_entries.empty(), "entries", "must not be empty");
  // Without a ledger every call of a service would count as lost.
  check.Require(!FLAGS_services.empty(), "services", "must not be empty");
  check.Require(kWorkloadNames.value(FLAGS_workload).has_value(), "workload",
                "must be one of " + kWorkloadNames.joined());
  check.Require(FLAGS_programs > 0, "programs", "must be positive");
  check.Require(FLAGS_rate >= 0, "rate", "must not be negative");
  check.Require(FLAGS_max_active > 0, "max_active", "must be positive");
  return check.Report();
}

LoadResult RunLoad() {
  EntrySettings entries{Split(FLAGS_entries), FLAGS_token,
                        Seconds(FLAGS_request_timeout_s)};
  RunnerSettings runner;
  runner.give_up_after = Seconds(FLAGS_give_up_s);
  runner.pause_scale = FLAGS_pause_scale;
  runner.send_history = FLAGS_send_history;
  LoadSettings load;
  load.workload = *kWorkloadNames.value(FLAGS_workload);
  load.programs = FLAGS_programs;
  load.rate = FLAGS_rate;
  load.duration = Seconds(FLAGS_duration_s);
  load.max_active = static_cast<std::size_t>(FLAGS_max_active);
  load.seed = FLAGS_seed;
  load.key_prefix = FLAGS_key_prefix;
  EntryClient client(std::move(entries));
  return LoadRun(client, load, runner).Run();
}

void PrintErrors(const LoadResult& result) {
  std::map<std::string, int> codes;
  for (const ProgramRecord& program : result.programs) {
    if (!program.error_code.empty())
      ++codes[program.error_code];
  }
  for (const auto& [code, count] : codes)
    std::cout << "not finished: code=" << code << " programs=" << count << "\n";
  if (result.delayed_arrivals > 0)
    std::cout << "arrivals delayed by --max_active: " << result.delayed_arrivals
              << "\n";
}

int Report(const LoadResult& result) {
  FetchedLedgers fetched =
      FetchLedgers(Split(FLAGS_services), Split(FLAGS_engines));
  Verdict verdict = CheckLedgers(result.programs, fetched.ledgers);
  std::cout << LatencyTable(result.programs);
  PrintErrors(result);
  for (const auto* missing :
       {&fetched.missing_services, &fetched.missing_engines}) {
    for (const std::string& address : *missing)
      std::cout << "no ledger from " << address << "\n";
  }
  std::cout << "unknown=" << verdict.unknown
            << " false_not_run=" << verdict.false_not_run << "\n"
            << "load: programs=" << verdict.programs
            << " finished=" << verdict.finished
            << " misordered=" << verdict.misordered
            << " doubled=" << verdict.doubled << " lost=" << verdict.lost
            << std::endl;
  if (!fetched.missing_services.empty())
    return kExitNoLedger;
  return verdict.ok() && verdict.finished == verdict.programs ? 0 : kExitBroken;
}

}  // namespace
}  // namespace vanillalever::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (int code = vanillalever::load::CheckFlags(); code != 0)
    return code;
  return vanillalever::load::Report(vanillalever::load::RunLoad());
}
