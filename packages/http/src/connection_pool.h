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

// Idle client connections by address, newest first. Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t max_idle_per_address)
      : max_idle_(max_idle_per_address) {}

  // An idle connection that the server has not closed as far as is known, or
  // null.
  std::unique_ptr<Stream> Take(const std::string& address);
  void Give(const std::string& address, std::unique_ptr<Stream> stream);

 private:
  std::size_t max_idle_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> idle_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_CONNECTION_POOL_H_
