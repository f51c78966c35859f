#ifndef VANILLALEVER_FORWARDING_BACKEND_SERVER_H_
#define VANILLALEVER_FORWARDING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Whether a backend server accepts new requests.
enum class ServerState { kReady, kDraining };

// Registration of one backend server.
struct BackendServer {
  // Identifies this run of the server.
  std::string id;
  std::string service;
  // Version of the server's software; empty if unknown.
  std::string software_version;
  // "ip:port".
  std::string address;
  std::string data_centre;
  // Maximum number of concurrent requests.
  int slots = 1;
  ServerState state = ServerState::kReady;
  // Start time (Unix milliseconds), which distinguishes a restart with the same
  // id. Zero if unknown.
  std::int64_t started_at_ms = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BACKEND_SERVER_H_
