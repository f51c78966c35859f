#ifndef VANILLALEVER_CONFIG_ADMIN_STATUS_H_
#define VANILLALEVER_CONFIG_ADMIN_STATUS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillalever::config {

// State of one entry as reported by itself or by another entry.
struct EntryStatus {
  std::string incarnation;
  std::string address;
  std::string data_centre;
  // Number of program shards owned by the entry.
  std::int64_t shards = 0;
  // Number of programs in progress in these shards.
  std::int64_t programs = 0;
  std::int64_t config_version = 0;
  bool leaving = false;

  bool operator==(const EntryStatus&) const = default;
};

// State of one backend server, from its sidecar's latest report.
struct ServerStatus {
  std::string pool;
  std::string address;
  std::string data_centre;
  // Incarnation of the sidecar.
  std::string incarnation;
  // "live" or "leaving".
  std::string state;
  std::int64_t config_version = 0;
  // Expected tokens of the running and queued calls.
  std::int64_t backlog_tokens = 0;
  // Number of calls that run.
  std::int64_t running = 0;
  // Number of calls that wait.
  std::int64_t queued = 0;
  // Ratio of the usual service rate to the current one; 1 is normal.
  double slowness = 1;
  // Time since the report arrived.
  std::chrono::milliseconds report_age{0};

  bool operator==(const ServerStatus&) const = default;
};

// Response to a status request.
struct AdminStatus {
  std::vector<EntryStatus> entries;
  std::vector<ServerStatus> servers;
  // Configuration version of the responding entry.
  std::int64_t version = 0;

  bool operator==(const AdminStatus&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_ADMIN_STATUS_H_
