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
#include "vanillalever/organisation/key_directory.h"
#include "vanillalever/organisation/organisation.h"

namespace vanillalever::forwarding {

// Whether a request may be repeated. A stream that cannot be resumed counts as
// non-idempotent.
enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

inline constexpr base::NameTable<RequestKind, 3> kRequestKindNames({
    "idempotent",
    "non_idempotent",
    "streaming",
});

// Weighted target of a route.
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
  // Maximum time until the end of the response.
  base::milliseconds timeout{0};
  // Latency objective of the response.
  base::milliseconds goal{0};
  // Zero is the highest priority.
  int priority = 0;
  std::vector<RouteTarget> targets;
  // Maximum number of servers that may run one attempt of a caller.
  int max_attempts = 1;
  // Prefer the server that handled the same object or prompt recently.
  bool sticky = false;
  // A stream may be resumed at another server after its last delivered event.
  bool resumable = false;
  // A request carries only the new input of a turn and names the turn that it
  // continues; the gateway keeps the turns.
  bool stateful = false;
  // Requests need no key of an organisation.
  bool anonymous = false;
  // How long turns, and the budgets of ended programs, must be kept.
  base::seconds retention{60};
};

// Model engine behind a service.
struct EngineProfile {
  // Concurrent requests per server.
  int slots = 1;
  // Capacity of one server's KV cache, in tokens.
  std::int64_t kv_capacity = 0;
  // Tokens per stream event.
  std::int64_t event_tokens = 1;
};

// Group of interchangeable backend servers.
struct Service {
  std::string name;
  // Maximum number of connections that one server accepts in total.
  int max_connections = 64;
  // Set for services that generate tokens.
  std::optional<EngineProfile> engine;
};

// Size limits and timeouts of callers' requests.
struct IngressLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  base::milliseconds header_timeout{3000};
  base::milliseconds idle_timeout{15000};
};

// One version of the operator's routing configuration.
struct RouteConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  // Whether requests need the key of an organisation, except on anonymous
  // routes.
  bool requires_keys = false;
  // Organisations whose callers identify themselves by keys.
  std::vector<organisation::Organisation> organisations;
  // The keys of `organisations`.
  organisation::KeyDirectory keys;
  IngressLimits limits;

  // Route of the host with the longest prefix of `path`; null if none matches.
  // The port in `host` is ignored.
  const Route* Match(std::string_view host, std::string_view path) const;

  // Chooses a target of `route` by weight. A key maps to the same service while
  // the weights stay the same.
  const std::string& ChooseService(const Route& route,
                                   std::string_view key) const;

  // The organisation that holds the caller's key; null if none does.
  const organisation::Organisation* OrganisationOf(
      const organisation::Credential& credential) const;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_ROUTE_CONFIG_H_
