// Daemon that runs as an entry or as a sidecar, depending on --role.

#include <csignal>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "vanillalever/base/logging.h"
#include "vanillalever/base/settings.h"
#include "vanillalever/entry/entry.h"
#include "vanillalever/memory/process_memory.h"
#include "vanillalever/sidecar/sidecar.h"

DEFINE_string(role, "", "Role of this process: entry or sidecar.");
DEFINE_string(host, "127.0.0.1", "IP address of all listeners.");
DEFINE_int32(http_port,
             0,
             "Port for callers (entry) or for health and metrics (sidecar); 0 "
             "lets the kernel choose.");
DEFINE_int32(admin_port,
             0,
             "Entry: port for operators; 0 lets the kernel choose.");
DEFINE_int32(
    rpc_port,
    0,
    "Port of the protocol between processes; 0 lets the kernel choose.");
DEFINE_string(data_centre, "", "Data centre in which this process runs.");
DEFINE_string(shared_key, "", "Key shared by all processes of the system.");
DEFINE_string(shared_key_file, "", "File with the shared key.");
DEFINE_string(platform,
              "",
              "Entry: addresses ip:port of the platform, comma-separated.");
DEFINE_string(admin_token, "", "Entry: bearer token of operators.");
DEFINE_string(admin_token_file, "", "Entry: file with the operators' token.");
DEFINE_int32(max_body_bytes,
             4 << 20,
             "Entry: maximum size of a request body, in bytes.");
DEFINE_int32(max_held_mb,
             0,
             "Entry: maximum memory for unread bodies and responses of all "
             "callers, in MB; 0: an eighth of the machine's memory.");
DEFINE_int32(lease_term_ms, 15000, "Entry: duration of the lease, in ms.");
DEFINE_int32(lease_renew_ms, 5000, "Entry: interval of lease renewals, in ms.");
DEFINE_int32(config_poll_ms,
             2000,
             "Entry: interval of reads of the configuration, in ms.");
DEFINE_int32(report_interval_ms,
             1000,
             "Entry: interval of load reports of a sidecar, in ms.");
DEFINE_int32(
    group_window_ms,
    2,
    "Entry: time that a group commit waits for further records, in ms.");
DEFINE_int32(
    subset_size,
    24,
    "Entry: maximum number of sidecars per pool to request load reports from.");
DEFINE_string(kind,
              "engine",
              "Sidecar: kind of the backend server, engine or service.");
DEFINE_string(service,
              "",
              "Sidecar: service name of the backend server, as in the "
              "platform's instance list.");
DEFINE_string(server_address,
              "",
              "Sidecar: address ip:port of the backend server.");
DEFINE_int32(drain_limit_s,
             120,
             "Time limit of a graceful shutdown, in seconds.");

namespace {

using vanillalever::base::LogLevel;
using vanillalever::base::SettingsCheck;

std::string ReadSecret(const std::string& value,
                       const std::string& file,
                       const std::string& flag,
                       SettingsCheck& check) {
  if (file.empty())
    return value;
  check.Require(value.empty(), flag, "give either the value or a file");
  std::ifstream stream(file);
  std::string secret;
  std::getline(stream, secret);
  check.Require(!secret.empty(), flag + "_file",
                "'" + file + "' cannot be read or is empty");
  return secret;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::stringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty())
      items.push_back(item);
  }
  return items;
}

std::uint16_t CheckedPort(int value, const char* flag, SettingsCheck& check) {
  check.Require(value >= 0 && value <= 65535, flag, "must be 0 to 65535");
  return static_cast<std::uint16_t>(value);
}

void CheckCommonSettings(const std::string& shared_key, SettingsCheck& check) {
  check.Require(!shared_key.empty(), "shared_key",
                "is required (or --shared_key_file)");
  check.Require(!FLAGS_data_centre.empty(), "data_centre", "is required");
  check.Require(FLAGS_drain_limit_s > 0, "drain_limit_s", "must be positive");
}

vanillalever::entry::EntrySettings ReadEntrySettings(SettingsCheck& check) {
  using vanillalever::base::milliseconds;
  vanillalever::entry::EntrySettings settings;
  settings.host = FLAGS_host;
  settings.http_port = CheckedPort(FLAGS_http_port, "http_port", check);
  settings.admin_port = CheckedPort(FLAGS_admin_port, "admin_port", check);
  settings.rpc_port = CheckedPort(FLAGS_rpc_port, "rpc_port", check);
  settings.shared_key =
      ReadSecret(FLAGS_shared_key, FLAGS_shared_key_file, "shared_key", check);
  CheckCommonSettings(settings.shared_key, check);
  settings.admin_token = ReadSecret(FLAGS_admin_token, FLAGS_admin_token_file,
                                    "admin_token", check);
  check.Require(!settings.admin_token.empty(), "admin_token",
                "is required (or --admin_token_file)");
  settings.data_centre = FLAGS_data_centre;
  settings.platform = SplitList(FLAGS_platform);
  check.Require(!settings.platform.empty(), "platform", "is required");
  check.Require(FLAGS_max_body_bytes > 0, "max_body_bytes", "must be positive");
  settings.max_body_bytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  check.Require(FLAGS_max_held_mb >= 0, "max_held_mb", "must not be negative");
  constexpr std::size_t kHeldDivisor = 8;
  if (FLAGS_max_held_mb > 0)
    settings.max_held_bytes = static_cast<std::size_t>(FLAGS_max_held_mb) << 20;
  else if (std::size_t machine = vanillalever::memory::MachineBytes())
    settings.max_held_bytes = machine / kHeldDivisor;
  settings.lease.term = milliseconds(FLAGS_lease_term_ms);
  settings.lease.renew_interval = milliseconds(FLAGS_lease_renew_ms);
  // The clock drift over a term and the maximum gap between two reads both
  // scale with the term.
  settings.lease.clock_drift_margin = settings.lease.term / 8;
  settings.lease.max_read_gap = settings.lease.renew_interval;
  check.Require(FLAGS_lease_renew_ms > 0 &&
                    FLAGS_lease_term_ms >= 2 * FLAGS_lease_renew_ms,
                "lease_term_ms", "must be at least twice --lease_renew_ms");
  settings.config_poll_interval = milliseconds(FLAGS_config_poll_ms);
  check.Require(FLAGS_config_poll_ms > 0 && FLAGS_config_poll_ms <= 4000,
                "config_poll_ms",
                "must be 1 to 4000: changes are in force within 8 s");
  settings.report_interval = milliseconds(FLAGS_report_interval_ms);
  check.Require(
      FLAGS_report_interval_ms > 0 && FLAGS_report_interval_ms <= 1500,
      "report_interval_ms",
      "must be 1 to 1500: leaving servers get no work after 3 s");
  settings.subset_size = static_cast<std::size_t>(FLAGS_subset_size);
  check.Require(FLAGS_subset_size >= 1 && FLAGS_subset_size <= 256,
                "subset_size", "must be 1 to 256");
  settings.group_commit_window = milliseconds(FLAGS_group_window_ms);
  check.Require(FLAGS_group_window_ms >= 0, "group_window_ms",
                "must not be negative");
  return settings;
}

vanillalever::sidecar::SidecarSettings ReadSidecarSettings(
    SettingsCheck& check) {
  vanillalever::sidecar::SidecarSettings settings;
  settings.host = FLAGS_host;
  settings.http_port = CheckedPort(FLAGS_http_port, "http_port", check);
  settings.rpc_port = CheckedPort(FLAGS_rpc_port, "rpc_port", check);
  settings.shared_key =
      ReadSecret(FLAGS_shared_key, FLAGS_shared_key_file, "shared_key", check);
  CheckCommonSettings(settings.shared_key, check);
  settings.data_centre = FLAGS_data_centre;
  settings.service = FLAGS_service;
  check.Require(!settings.service.empty(), "service", "is required");
  settings.server_address = FLAGS_server_address;
  check.Require(!settings.server_address.empty(), "server_address",
                "is required");
  auto kind = vanillalever::config::kPoolKindNames.value(FLAGS_kind);
  check.Require(
      kind.has_value(), "kind",
      "must be one of " + vanillalever::config::kPoolKindNames.joined());
  settings.kind = kind.value_or(vanillalever::config::PoolKind::kEngine);
  return settings;
}

// Waits for SIGTERM or SIGINT; `signals` must be blocked in all threads. A
// SIGHUP, which by default ends a process, changes nothing.
void WaitForStopSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
  while (signal == SIGHUP) {
    vanillalever::base::LogEvent(
        LogLevel::kWarning, "reload_ignored",
        {{"reason", "the settings are read only at the start"}});
    sigwait(&signals, &signal);
  }
}

template <typename Process>
int Serve(Process& process, const sigset_t& signals) {
  WaitForStopSignal(signals);
  bool drained =
      process.Drain(vanillalever::base::seconds(FLAGS_drain_limit_s));
  vanillalever::base::LogEvent(drained ? LogLevel::kInfo : LogLevel::kWarning,
                               "stopped",
                               {{"drained", drained ? "true" : "false"}});
  return drained ? 0 : 1;
}

int RunEntry(const sigset_t& signals) {
  SettingsCheck check;
  auto settings = ReadEntrySettings(check);
  if (int code = check.Report(); code != 0)
    return code;
  vanillalever::entry::Entry entry(settings);
  std::cout << "listening http=" << entry.http_address()
            << " admin=" << entry.admin_address()
            << " rpc=" << entry.rpc_address() << std::endl;
  return Serve(entry, signals);
}

int RunSidecar(const sigset_t& signals) {
  SettingsCheck check;
  auto settings = ReadSidecarSettings(check);
  if (int code = check.Report(); code != 0)
    return code;
  vanillalever::sidecar::Sidecar sidecar(settings);
  std::cout << "listening rpc=" << sidecar.rpc_address()
            << " http=" << sidecar.http_address() << std::endl;
  return Serve(sidecar, signals);
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage(
      "vanillaleverd --role=entry|sidecar [flags]\n\nEvery flag can be set by "
      "the environment variable VANILLALEVER_<FLAG>; the command line takes "
      "precedence.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  SettingsCheck check;
  check.Add(vanillalever::base::ApplyEnvironment());
  check.Require(FLAGS_role == "entry" || FLAGS_role == "sidecar", "role",
                "must be entry or sidecar");
  if (int code = check.Report(); code != 0)
    return code;
  // Blocked before any thread is started, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  vanillalever::base::InitLogging(FLAGS_role);
  return FLAGS_role == "entry" ? RunEntry(signals) : RunSidecar(signals);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
