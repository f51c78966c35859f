#ifndef VANILLALEVER_FORWARDING_SERVER_CONNECTION_POOL_H_
#define VANILLALEVER_FORWARDING_SERVER_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "vanillalever/forwarding/server_connection.h"

namespace vanillalever::forwarding {

// Settings of ServerConnectionPool.
struct ConnectionPoolSettings {
  // Servers accept within a few ms, or never if they are unreachable.
  base::milliseconds connect_timeout{400};
  // Maximum idle time of a connection if the server announces no timeout.
  base::milliseconds idle_limit{4000};
  // Fraction of the idle limit after which a connection is not used for
  // requests that must not run twice, because the server may be closing it.
  double safe_idle_share = 0.5;
  // The same limit if the server announces no timeout.
  base::milliseconds safe_idle_limit{700};
};

// Idle connections to backend servers, by server id. Not thread-safe.
class ServerConnectionPool {
 public:
  explicit ServerConnectionPool(ConnectionPoolSettings settings = {});

  // Returns an idle connection to the server for the request, or null.
  // `non_repeatable`: the request must not run twice.
  std::shared_ptr<ServerConnection> Take(const std::string& server_id,
                                         const std::string& request_id,
                                         bool non_repeatable,
                                         base::TimePoint now);
  // Keeps the connection if it is reusable, else closes it.
  void Put(std::shared_ptr<ServerConnection> connection);
  // Closes all idle connections to the server.
  void CloseIdle(const std::string& server_id);
  // Closes connections that have exceeded their idle limit.
  void CloseExpired(base::TimePoint now);

  const ConnectionPoolSettings& settings() const { return settings_; }

 private:
  base::Duration IdleLimit(const ServerConnection& connection) const;

  ConnectionPoolSettings settings_;
  std::map<std::string, std::vector<std::shared_ptr<ServerConnection>>> idle_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_CONNECTION_POOL_H_
