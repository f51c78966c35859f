#include "connection_pool.h"

#include <boost/asio/buffer.hpp>

namespace vanillalever::http {
namespace {

// An idle connection that is readable was closed by the server or has received
// unexpected data.
bool IsReusable(Stream& stream) {
  boost::system::error_code error;
  auto& socket = stream.socket();
  socket.non_blocking(true, error);
  if (error)
    return false;
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace

Connection ConnectionPool::Acquire(const std::string& address,
                                   base::TimePoint now) {
  std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[address];
  while (!connections.empty()) {
    Connection connection = std::move(connections.back());
    connections.pop_back();
    if (!IsTooOld(connection, now) && IsReusable(*connection.stream))
      return connection;
  }
  return {};
}

void ConnectionPool::Release(const std::string& address,
                             Connection connection,
                             base::TimePoint now) {
  if (IsTooOld(connection, now))
    return;
  std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[address];
  if (connections.size() < max_idle_per_address_)
    connections.push_back(std::move(connection));
}

std::size_t ConnectionPool::Drop(const std::string& address) {
  std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[address];
  std::size_t count = connections.size();
  connections.clear();
  return count;
}

void ConnectionPool::OnLargeResponse(const std::string& address,
                                     bool slow,
                                     base::TimePoint now) {
  std::lock_guard lock(mutex_);
  last_large_response_ = now;
  if (slow)
    last_slow_response_ = slow_responses_[address] = now;
}

base::TimePoint ConnectionPool::last_slow_response(const std::string& address) {
  std::lock_guard lock(mutex_);
  auto found = slow_responses_.find(address);
  return found == slow_responses_.end() ? base::TimePoint{} : found->second;
}

base::TimePoint ConnectionPool::last_slow_response() {
  std::lock_guard lock(mutex_);
  return last_slow_response_;
}

base::TimePoint ConnectionPool::last_large_response() {
  std::lock_guard lock(mutex_);
  return last_large_response_;
}

}  // namespace vanillalever::http
