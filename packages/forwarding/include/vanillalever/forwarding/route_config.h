#ifndef VANILLALEVER_FORWARDING_ROUTE_CONFIG_H_
#define VANILLALEVER_FORWARDING_ROUTE_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::forwarding {

// What may be repeated. A stream that cannot be resumed counts as
// non-idempotent.
enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

inline constexpr base::NameTable<RequestKind, 3> kRequestKindNames({
    "idempotent",
    "non_idempotent",
    "streaming",
});

// Share of a route's requests that goes to one service.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

// Rule for the requests whose host matches and whose path begins with `prefix`.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // Longest time that the operator lets a caller wait for the end of an answer.
  base::milliseconds timeout{0};
  // Time within which an answer is worth its full value.
  base::milliseconds goal{0};
  // Rank of the route; zero is the most important.
  int priority = 0;
  std::vector<RouteTarget> targets;
  // Most servers that may run one attempt of a caller.
  int max_attempts = 1;
  // Servers that handled the same object or prompt recently are faster.
  bool sticky = false;
  // A stream may go on at another server after its last delivered event.
  bool resumable = false;
  // How long budgets of ended programs must be remembered.
  base::seconds retention{60};
};

// Model engine behind a service.
struct EngineProfile {
  // Requests that run at the same time on one server.
  int slots = 1;
  // Tokens that fit into one server's KV memory.
  std::int64_t kv_capacity = 0;
  // Tokens that one event of a stream stands for.
  std::int64_t event_tokens = 1;
};

// Backend servers of one kind.
struct Service {
  std::string name;
  // Most connections that one server accepts from all callers together.
  int max_connections = 64;
  // Set for services that generate tokens.
  std::optional<EngineProfile> engine;
};

// What a caller may send, and how long it may take.
struct IngressLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  base::milliseconds header_timeout{3000};
  base::milliseconds idle_timeout{15000};
};

// One whole version of the operator's routing configuration.
struct RouteConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  IngressLimits limits;

  // Route of the host with the longest prefix of `path`; null if none matches.
  // The port in `host` is ignored.
  const Route* Match(std::string_view host, std::string_view path) const;

  // Service of `route` for a request with this key: the same key gets the same
  // service while the weights stay the same.
  const std::string& ChooseService(const Route& route,
                                   std::string_view key) const;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_ROUTE_CONFIG_H_
