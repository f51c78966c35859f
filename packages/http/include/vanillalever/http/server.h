#ifndef VANILLALEVER_HTTP_SERVER_H_
#define VANILLALEVER_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/http/io_threads.h"
#include "vanillalever/http/router.h"
#include "vanillalever/memory/account_settings.h"

namespace vanillalever::http {

struct ServerSettings {
  // Address to listen on; with port 0, the kernel chooses a port.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  // Maximum size of a request body; a larger one is rejected with 413.
  std::size_t max_body_bytes = 4 << 20;
  // Maximum size of the request line and headers; larger ones are rejected with
  // 431.
  std::uint32_t max_header_bytes = 16 << 10;
  // Limit from the first byte of a request until it is complete.
  base::Duration request_timeout = base::seconds(10);
  // Limit for waiting for the next request on a connection.
  base::Duration idle_timeout = base::seconds(60);
  // Limit for one write of response data, not for the whole response.
  base::Duration write_timeout = base::seconds(30);
  // Maximum amount of unsent data of a streamed response; the connection of a
  // slower reader is closed.
  std::size_t max_unsent_bytes = 4 << 20;
  // Maximum number of open connections; further ones are refused with 503.
  std::size_t max_connections = 8192;
  // Limits of what all connections hold together.
  memory::AccountSettings memory;
};

class ServerState;

// HTTP/1.1 server with keep-alive. Each connection has its own strand; handlers
// run on the IoThreads.
class Server {
 public:
  // Binds and listens. Throws base::Error (unavailable at connect) if the
  // address cannot be bound. `router` must outlive the server.
  Server(IoThreads& threads, ServerSettings settings, const Router& router);
  ~Server();

  // Bound address as "host:port".
  std::string address() const;
  std::uint16_t port() const;

  // Stops accepting connections. Each open connection, including those that the
  // kernel has accepted, is closed after its next response, which says so, or
  // when it has received no request for one second.
  void StopAccepting();

  // Waits until no request is in flight, for at most `timeout`. After
  // StopAccepting(), also waits until the connections are closed. Returns false
  // if a request is still in flight.
  bool WaitUntilIdle(base::Duration timeout);

  // Answers each request in flight with `error`, and each later one with the
  // same error as not run. What the handlers answer afterwards is ignored.
  void AbortRequests(const base::ErrorInfo& error);

  // Number of requests whose response is not complete.
  std::size_t requests_in_flight() const;

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SERVER_H_
