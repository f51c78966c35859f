#ifndef VANILLALEVER_SIDECAR_SIDECAR_SETTINGS_H_
#define VANILLALEVER_SIDECAR_SIDECAR_SETTINGS_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/config/pool.h"

namespace vanillalever::sidecar {

// Settings of a sidecar process.
struct SidecarSettings {
  // IP address of both listeners.
  std::string host = "127.0.0.1";
  // Port of the protocol between processes; 0 lets the kernel choose.
  std::uint16_t rpc_port = 0;
  // Port of health checks and metrics; 0 lets the kernel choose.
  std::uint16_t http_port = 0;
  // Key that peers must prove knowledge of.
  std::string shared_key;
  // "ip:port" of the backend server.
  std::string server_address;
  // Service name of the backend server, as in the platform's instance list.
  std::string service;
  config::PoolKind kind = config::PoolKind::kEngine;
  std::string data_centre;
  // Interval of checks for expired calls and due releases, and of rate samples.
  base::Duration tick_interval = base::milliseconds(50);
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SIDECAR_SETTINGS_H_
