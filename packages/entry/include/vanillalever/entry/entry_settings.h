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
  // Ports for callers, operators and the internal RPC protocol; 0 selects an
  // ephemeral port.
  std::uint16_t http_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t rpc_port = 0;
  // Secret key for the mutual authentication of entries and sidecars.
  std::string shared_key;
  // Bearer token for the operators' API.
  std::string admin_token;
  std::string data_centre;
  // "ip:port" of the platform store's endpoints.
  std::vector<std::string> platform;
  // Maximum size of a caller's request body.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  // Maximum number of bytes that callers' connections may hold together: bodies
  // that are being read, and unread responses.
  std::size_t max_held_bytes = std::size_t{64} << 20;
  membership::LeaseSettings lease;
  // Interval between reads of the configuration's head row.
  base::Duration config_poll_interval = base::seconds(2);
  // Interval between load report requests to each sidecar.
  base::Duration report_interval = base::seconds(1);
  // Maximum number of sidecars per pool that this entry uses.
  std::size_t subset_size = 24;
  // Delay before a group commit in which further records join the batch.
  base::Duration group_commit_window = base::milliseconds(2);
  // Maximum number of programs with uncommitted changes. At the limit, new
  // turns are refused as not run, which bounds memory use during a platform
  // outage.
  std::size_t max_uncommitted_programs = 4096;
  // Time after a call's deadline during which an unknown outcome is still
  // queried from the sidecar.
  base::Duration settle_timeout = base::seconds(30);
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_ENTRY_SETTINGS_H_
