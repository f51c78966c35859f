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

// How long an exchange may go on beyond its timeout while its response arrives.
struct ResponsePatience {
  // Longest pause between two parts of the response.
  base::Duration stall{};
  // Limit for the whole exchange, which bounds responses that arrive byte by
  // byte.
  base::Duration total{};
  // Longest time beyond the timeout for which a call waits behind a slow
  // response of the same server. Its own response may be lost.
  base::Duration behind_slow{};
};

// Request to a server.
struct ClientRequest {
  // "ip:port".
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string content_type = "application/json";
  // Limit for the whole exchange, including connecting.
  base::Duration timeout = base::seconds(10);
  // Set for responses of which the size is not known: then `timeout` is the
  // limit until the response begins. A response that arrives slowly is not cut,
  // nor at once one that waits behind such a response of the same server.
  std::optional<ResponsePatience> patience;
  // Opens a new connection. Required for a non-idempotent request: a request
  // that is sent on a kept connection is sent again if that ends before a
  // response, and it is unknown whether the server read the first copy.
  bool new_connection = false;
};

// Outcome of a request: an error, or a status with headers and body.
struct ClientResult {
  // Has step connect and ran = not_run if no byte of the request was sent; step
  // run and ran = unknown if the connection failed or timed out after that.
  std::optional<base::ErrorInfo> error;
  // On an error: the server responded, with bytes that are no usable response.
  // So it was reachable.
  bool unusable_response = false;
  // The request was sent twice: the first connection, a kept one, ended before
  // a response. The server may have carried it out, or still do so, whatever it
  // says of the second copy.
  bool sent_twice = false;
  // On an error: the body of the response exceeds `max_body_bytes`.
  bool too_large = false;
  int status = 0;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  // Empty if the body was streamed to a DataCallback.
  std::string body;
};

// Receives the chunks of the body of a 2xx response.
using DataCallback = std::function<void(std::string_view data)>;
// Called exactly once.
using DoneCallback = std::function<void(ClientResult result)>;

// Handle of a request in flight.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Closes the connection; a request that is not complete ends with an error.
  virtual void Cancel() = 0;
};

struct ClientSettings {
  base::Duration connect_timeout = base::seconds(2);
  // Maximum number of idle connections kept per address.
  std::size_t max_idle_per_address = 16;
  // Age above which a connection is not used for another request.
  base::Duration max_connection_age = base::seconds(60);
  // Maximum size of a response body.
  std::size_t max_body_bytes = 64 << 20;
  // Maximum size of the bodies of all responses in progress together, streamed
  // ones included. The response that exceeds it fails.
  std::size_t max_total_bytes = 128 << 20;
};

class ConnectionPool;
class ResponseBudget;

// Asynchronous HTTP/1.1 client with keep-alive. A request that gets no response
// in time closes all idle connections to its server. Thread-safe. Callbacks run
// on the IoThreads; the callbacks of one request never run concurrently.
class Client {
 public:
  Client(IoThreads& threads, ClientSettings settings);
  ~Client();

  std::shared_ptr<ClientCall> Send(ClientRequest request,
                                   DoneCallback on_done,
                                   DataCallback on_data = nullptr);

  // When the last part of a large response arrived, and of one that was slow;
  // the beginning of time if there was none.
  base::TimePoint last_large_response() const;
  base::TimePoint last_slow_response() const;

 private:
  IoThreads& threads_;
  ClientSettings settings_;
  std::shared_ptr<ConnectionPool> pool_;
  std::shared_ptr<ResponseBudget> budget_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_CLIENT_H_
