#ifndef VANILLALEVER_HTTP_CLIENT_H_
#define VANILLALEVER_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/http/io_threads.h"

namespace vanillalever::http {

// Request to a server.
struct ClientRequest {
  // "ip:port".
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string content_type = "application/json";
  // Time for the whole exchange.
  base::Duration timeout = base::seconds(10);
  // Uses a new connection. Required for a request that must not be repeated: a
  // kept connection may have been closed by the server already, and then
  // nobody can tell whether the request was read.
  bool new_connection = false;
};

// Outcome of a request: an error, or a status with headers and body.
struct ClientResult {
  // Step connect and ran = not_run when no byte of the request was sent; step
  // run and ran = unknown when the connection failed later or time ran out.
  std::optional<base::ErrorInfo> error;
  int status = 0;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  // Empty when the body was streamed to a DataCallback.
  std::string body;
};

// Receives the body piece by piece, for a 2xx response.
using DataCallback = std::function<void(std::string_view data)>;
// Called exactly once.
using DoneCallback = std::function<void(ClientResult result)>;

// A request under way.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Closes the connection; the call ends with an error unless it has ended.
  virtual void Cancel() = 0;
};

// Settings of a client.
struct ClientSettings {
  base::Duration connect_timeout = base::seconds(2);
  // Idle connections kept per address.
  std::size_t max_idle_per_address = 16;
  // Largest response body, in bytes.
  std::size_t max_body_bytes = 64 << 20;
};

class ConnectionPool;

// Asynchronous HTTP/1.1 client with keep-alive. Thread-safe. Callbacks run on
// the context's threads, one at a time per request.
class Client {
 public:
  Client(IoThreads& threads, ClientSettings settings);
  ~Client();

  std::shared_ptr<ClientCall> Send(ClientRequest request,
                                   DoneCallback on_done,
                                   DataCallback on_data = nullptr);

 private:
  IoThreads& threads_;
  ClientSettings settings_;
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_CLIENT_H_
