#ifndef VANILLALEVER_FORWARDING_BACKEND_SERVER_H_
#define VANILLALEVER_FORWARDING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Whether a backend server takes new requests.
enum class ServerState { kReady, kDraining };

// One backend server as it registered itself.
struct BackendServer {
  // Identity of this start of the server.
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string data_centre;
  // Requests that it runs at the same time.
  int slots = 1;
  ServerState state = ServerState::kReady;
  // Start of the server (Unix milliseconds); a restart under the same identity
  // has another value. Zero if unknown.
  std::int64_t started_at_ms = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BACKEND_SERVER_H_
