#ifndef VANILLALEVER_FORWARDING_SERVER_POOL_H_
#define VANILLALEVER_FORWARDING_SERVER_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "vanillalever/forwarding/server_connection.h"

namespace vanillalever::forwarding {

// Settings of ServerPool.
struct PoolSettings {
  // Time for a connection to be established. Servers answer within a few ms,
  // or not at all when they are dark.
  base::milliseconds connect_timeout{400};
  // Longest time that a connection is kept idle where the server states none.
  base::milliseconds idle_limit{4000};
  // Part of the server's idle timeout after which a kept connection is not
  // used for requests that must not run twice: the server may be closing it.
  double safe_idle_share = 0.5;
  // As above where the server states no timeout.
  base::milliseconds safe_idle_limit{700};
};

// Idle connections to backend servers, by server identity. Not thread-safe.
class ServerPool {
 public:
  explicit ServerPool(PoolSettings settings = {});

  // An idle connection to the server, or null. `certain`: the request must not
  // run twice.
  std::shared_ptr<ServerConnection> Take(const std::string& server_id,
                                         bool certain,
                                         base::TimePoint now);
  // Keeps the connection if it can be used again, else closes it.
  void Give(std::shared_ptr<ServerConnection> connection);
  // Closes all idle connections to the server.
  void Drop(const std::string& server_id);
  // Closes connections that have been idle too long.
  void Sweep(base::TimePoint now);

  const PoolSettings& settings() const { return settings_; }

 private:
  base::Duration IdleLimit(const ServerConnection& connection) const;

  PoolSettings settings_;
  std::map<std::string, std::vector<std::shared_ptr<ServerConnection>>> idle_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_POOL_H_
