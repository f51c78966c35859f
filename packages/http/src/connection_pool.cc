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

std::unique_ptr<Stream> ConnectionPool::Acquire(const std::string& address) {
  std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[address];
  while (!connections.empty()) {
    auto stream = std::move(connections.back());
    connections.pop_back();
    if (IsReusable(*stream))
      return stream;
  }
  return nullptr;
}

void ConnectionPool::Release(const std::string& address,
                             std::unique_ptr<Stream> stream) {
  std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[address];
  if (connections.size() < max_idle_per_address_)
    connections.push_back(std::move(stream));
}

}  // namespace vanillalever::http
