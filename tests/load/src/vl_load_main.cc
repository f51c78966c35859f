// Load generator: runs programs against entries as callers do and compares the
// reported outcomes with the ledgers of the test doubles. Exit code 1: a
// guarantee was violated or a program did not finish; 3: a service ledger could
// not be read.

#include <iostream>
#include <map>
#include <sstream>

#include <gflags/gflags.h>

#include "latency_table.h"
#include "load_run.h"
#include "vanillalever/base/settings.h"

DEFINE_string(entries, "", "Entries as ip:port, separated by commas.");
DEFINE_string(services,
              "",
              "Addresses of the fake services whose ledgers are checked.");
DEFINE_string(engines,
              "",
              "Addresses of the fake engines whose ledgers are checked.");
DEFINE_string(token, "", "Bearer token of the organisation.");
DEFINE_string(workload, "casca", "Sample programs: casca or tan.");
DEFINE_int32(programs, 100, "Number of programs, without sub-agents.");
DEFINE_double(rate, 10, "Mean arrivals per second; 0 starts all at once.");
DEFINE_double(duration_s, 60, "Time after which no program is started, in s.");
DEFINE_int32(max_active, 400, "Maximum number of concurrent programs.");
DEFINE_double(give_up_s, 30, "Time for which one request is retried, in s.");
DEFINE_double(request_timeout_s, 60, "Timeout of one request, in s.");
DEFINE_double(pause_scale, 1, "Factor on the tool pauses.");
DEFINE_bool(send_history, true, "Send the whole conversation in each call.");
DEFINE_string(key_prefix, "load", "Prefix of the program keys.");
DEFINE_uint64(seed, 1, "Seed of programs and arrivals.");

namespace vanillalever::load {
namespace {

constexpr int kExitCheckFailed = 1;
constexpr int kExitLedgerUnavailable = 3;

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
  // Without a ledger every service call would count as lost.
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
  runner.retry_timeout = Seconds(FLAGS_give_up_s);
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
  LedgerCheckResult check = CheckLedgers(result.programs, fetched.ledgers);
  std::cout << LatencyTable(result.programs);
  PrintErrors(result);
  for (const auto* missing :
       {&fetched.unavailable_services, &fetched.unavailable_engines}) {
    for (const std::string& address : *missing)
      std::cout << "no ledger from " << address << "\n";
  }
  std::cout << "unknown=" << check.unknown
            << " false_not_run=" << check.false_not_run << "\n"
            << "load: programs=" << check.programs
            << " finished=" << check.finished
            << " misordered=" << check.misordered
            << " doubled=" << check.doubled << " lost=" << check.lost
            << std::endl;
  if (!fetched.unavailable_services.empty())
    return kExitLedgerUnavailable;
  return check.ok() && check.finished == check.programs ? 0 : kExitCheckFailed;
}

}  // namespace
}  // namespace vanillalever::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (int code = vanillalever::load::CheckFlags(); code != 0)
    return code;
  return vanillalever::load::Report(vanillalever::load::RunLoad());
}
