#ifndef VANILLALEVER_FAKES_FAKE_SERVER_H_
#define VANILLALEVER_FAKES_FAKE_SERVER_H_

#include <utility>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http_exchange.h"

namespace vanillalever::fakes {

// HTTP/1.1 server for test doubles with one blocking thread per connection, so
// that a handler may sleep, hang or drop its connection.
class FakeServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  // Listens on 127.0.0.1; port 0 lets the kernel choose. JSON exceptions of the
  // handler become status 400.
  explicit FakeServer(Handler handler, std::uint16_t port = 0);
  // Closes all connections and waits until their handlers have returned.
  ~FakeServer();

  // "127.0.0.1:<port>".
  std::string address() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptConnections();
  void ServeConnection(Socket& socket);
  // Reads and handles one request; returns whether to keep the connection open.
  bool ServeRequest(Socket& socket);

  Handler handler_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::condition_variable connection_ended_;
  // Open connections.
  std::set<Socket*> sockets_;
  std::thread accept_thread_;
};

// Blocks SIGTERM and SIGINT in all threads, so that only RunFake receives them.
// Must be called before any thread is started.
void BlockStopSignals();

// Prints "listening <host>:<port>" and serves until SIGTERM or SIGINT.
int RunFake(FakeServer::Handler handler, std::uint16_t port);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_SERVER_H_
