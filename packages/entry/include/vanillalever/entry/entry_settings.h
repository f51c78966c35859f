#ifndef VANILLALEVER_ENTRY_ENTRY_SETTINGS_H_
#define VANILLALEVER_ENTRY_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/membership/lease_settings.h"

namespace vanillalever::entry {

// Settings of an entry process.
struct EntrySettings {
  // IP address of all listeners.
  std::string host = "127.0.0.1";
  // Ports for callers, operators and the inner protocol; 0 lets the kernel
  // choose.
  std::uint16_t http_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t rpc_port = 0;
  // Key that peers must prove to know.
  std::string shared_key;
  // Bearer token of operators.
  std::string admin_token;
  std::string data_centre;
  // "ip:port" of the platform's endpoints.
  std::vector<std::string> platform;
  // Largest request body of a caller, in bytes.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  membership::LeaseSettings lease;
  // Time between reads of the configuration's head row.
  base::Duration config_poll_interval = base::seconds(2);
  // Time between load reports of a sidecar.
  base::Duration report_interval = base::seconds(1);
  // Most sidecars of one pool that this entry exchanges reports with.
  std::size_t subset_size = 24;
  // Time that a commit waits for further records.
  base::Duration group_commit_window = base::milliseconds(2);
  // Programs with changes that are not durable; beyond it new turns are refused
  // as not run, so that a platform outage cannot fill the memory.
  std::size_t max_uncommitted_programs = 4096;
  // Time beyond a call's deadline in which an unsettled outcome is asked for.
  base::Duration settle_timeout = base::seconds(30);
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_ENTRY_SETTINGS_H_
