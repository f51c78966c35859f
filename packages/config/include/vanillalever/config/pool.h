#ifndef VANILLALEVER_CONFIG_POOL_H_
#define VANILLALEVER_CONFIG_POOL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/name_table.h"

namespace vanillalever::config {

// Type of a pool's backend servers.
enum class PoolKind {
  kEngine,   // model engines
  kService,  // plain services
};

inline constexpr base::NameTable<PoolKind, 2> kPoolKindNames({
    "engine",
    "service",
});

// Operation that calls may name.
struct Operation {
  std::string name;
  // Whether a call may run more than once; other calls run at most once.
  bool repeatable = false;
  // Cost of one call in tokens; for engines, in addition to the tokens of the
  // prompt and the output.
  std::int64_t cost_tokens = 0;
  // Maximum duration of one call; zero selects the default of the program
  // class.
  std::chrono::milliseconds deadline{0};

  bool operator==(const Operation&) const = default;
};

// Backend server that is listed by address.
struct PoolServer {
  // "host:port" of the backend server's sidecar.
  std::string address;
  // Data centre of the pool's place in which the server runs.
  std::string data_centre;

  bool operator==(const PoolServer&) const = default;
};

// Interchangeable backend servers.
struct Pool {
  std::string name;
  // Name of the place in which its servers run.
  std::string place;
  PoolKind kind = PoolKind::kEngine;
  // Servers listed by address; empty if `service` is set.
  std::vector<PoolServer> servers;
  // Service name in the platform's instance list; empty if `servers` is set.
  std::string service;
  // Number of servers the operators expect in the instance list; zero if not
  // stated. Status output compares it with the live servers.
  std::int64_t expected_servers = 0;
  std::vector<Operation> operations;
  // Whether the backend servers reject commands with a stale fencing token.
  bool checks_fencing = false;
  // Whether the backend servers authenticate the sender of commands.
  bool checks_sender = false;
  // Whether calls can reach the backend servers without their sidecar. The
  // servers of such a pool must check fencing tokens and senders themselves.
  bool reachable_without_sidecar = false;
  // Model that the engines serve; empty for services.
  std::string model;
  // Maximum number of tokens that one call may generate; zero for services.
  std::int64_t max_tokens_per_call = 0;

  // Operation of the given name; nullptr if it is not declared.
  const Operation* operation(std::string_view operation_name) const;

  bool operator==(const Pool&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_POOL_H_
