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

namespace vanillalever::http {

using Stream = boost::beast::tcp_stream;

// Idle client connections by address; the most recently used one is reused
// first. Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t max_idle_per_address)
      : max_idle_per_address_(max_idle_per_address) {}

  // Returns an idle connection that the server is not known to have closed, or
  // null.
  std::unique_ptr<Stream> Acquire(const std::string& address);
  // Keeps the connection for reuse, or closes it if the pool is full.
  void Release(const std::string& address, std::unique_ptr<Stream> stream);

 private:
  std::size_t max_idle_per_address_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> idle_connections_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_CONNECTION_POOL_H_
