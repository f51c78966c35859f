#ifndef VANILLALEVER_HTTP_SRC_CONNECTION_POOL_H_
#define VANILLALEVER_HTTP_SRC_CONNECTION_POOL_H_

#include <utility>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

#include "vanillalever/base/clock.h"

namespace vanillalever::http {

using Stream = boost::beast::tcp_stream;

// Client connection. Without a stream, none.
struct Connection {
  std::unique_ptr<Stream> stream;
  base::TimePoint opened_at{};
};

// Idle client connections by address, and what the calls to one address know of
// each other. The most recently used connection is reused first. Thread-safe.
class ConnectionPool {
 public:
  // Connections older than `max_age` are closed instead of being reused.
  ConnectionPool(std::size_t max_idle_per_address, base::Duration max_age)
      : max_idle_per_address_(max_idle_per_address), max_age_(max_age) {}

  // Returns an idle connection that the server is not known to have closed, or
  // none.
  Connection Acquire(const std::string& address, base::TimePoint now);
  // Keeps the connection for reuse, or closes it if it is too old or the pool
  // is full.
  void Release(const std::string& address,
               Connection connection,
               base::TimePoint now);
  // Closes all idle connections to the address: another one has gone silent.
  // Returns their number.
  std::size_t Drop(const std::string& address);

  // A part of a large response of the server arrived. `slow`: it has been
  // arriving for a time that other calls notice.
  void OnLargeResponse(const std::string& address,
                       bool slow,
                       base::TimePoint now);
  // When that was last, of the server or of any; the beginning of time if it
  // never was.
  base::TimePoint last_slow_response(const std::string& address);
  base::TimePoint last_slow_response();
  base::TimePoint last_large_response();

 private:
  bool IsTooOld(const Connection& connection, base::TimePoint now) const {
    return now - connection.opened_at >= max_age_;
  }

  std::size_t max_idle_per_address_;
  base::Duration max_age_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Connection>> idle_connections_;
  std::map<std::string, base::TimePoint> slow_responses_;
  base::TimePoint last_slow_response_{};
  base::TimePoint last_large_response_{};
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_CONNECTION_POOL_H_
