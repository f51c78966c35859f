#include "connection_pool.h"

#include <boost/asio/buffer.hpp>

namespace vanillalever::http {
namespace {

// A readable idle connection is closed, or carries bytes nobody asked for.
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

std::unique_ptr<Stream> ConnectionPool::Take(const std::string& address) {
  std::lock_guard lock(mutex_);
  auto& streams = idle_[address];
  while (!streams.empty()) {
    auto stream = std::move(streams.back());
    streams.pop_back();
    if (IsReusable(*stream))
      return stream;
  }
  return nullptr;
}

void ConnectionPool::Give(const std::string& address,
                          std::unique_ptr<Stream> stream) {
  std::lock_guard lock(mutex_);
  auto& streams = idle_[address];
  if (streams.size() < max_idle_)
    streams.push_back(std::move(stream));
}

}  // namespace vanillalever::http
