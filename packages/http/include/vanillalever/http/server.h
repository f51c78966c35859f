#ifndef VANILLALEVER_HTTP_SERVER_H_
#define VANILLALEVER_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/http/io_threads.h"
#include "vanillalever/http/router.h"

namespace vanillalever::http {

// Limits of a server.
struct ServerSettings {
  // Address to listen on; port 0 lets the kernel choose.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  // Largest request body, in bytes; a larger one gets 413.
  std::size_t max_body_bytes = 4 << 20;
  // Largest request head, in bytes; a larger one gets 431.
  std::uint32_t max_header_bytes = 16 << 10;
  // Time for the head and body of a request to arrive once its first byte has.
  base::Duration request_timeout = base::seconds(10);
  // Time that a connection may wait for its next request.
  base::Duration idle_timeout = base::seconds(60);
  // Time for the peer to take a piece of the response.
  base::Duration write_timeout = base::seconds(30);
  // Largest amount of streamed data waiting for a slow reader, in bytes; its
  // connection is closed beyond that.
  std::size_t max_unsent_bytes = 4 << 20;
  // Most connections at a time; further ones are closed at once.
  std::size_t max_connections = 8192;
};

class ServerState;

// HTTP/1.1 server with keep-alive. Each connection has its own strand; handlers
// run on the context's threads.
class Server {
 public:
  // Binds and listens. Throws base::Error (unavailable at connect) when the
  // address cannot be bound. `router` must outlive the server.
  Server(IoThreads& threads, ServerSettings settings, const Router& router);
  ~Server();

  // Bound address as "host:port".
  std::string address() const;
  std::uint16_t port() const;

  // Stops accepting, closes idle connections, and closes each other connection
  // after its present response.
  void StopAccepting();

  // Waits until no request is in flight, at most `limit`. Returns whether none
  // is left.
  bool WaitUntilIdle(base::Duration limit);

  // Requests whose response is not complete.
  std::size_t requests_in_flight() const;

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SERVER_H_
