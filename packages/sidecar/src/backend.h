#ifndef VANILLALEVER_SIDECAR_SRC_BACKEND_H_
#define VANILLALEVER_SIDECAR_SRC_BACKEND_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/http/client.h"
#include "vanillalever/protocol/messages.h"

namespace vanillalever::sidecar {

// Outcome of a request to the backend server.
struct BackendResult {
  // Set when the backend server gave no usable answer.
  std::optional<base::ErrorInfo> error;
  std::string body;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t cached_tokens = 0;
  // The connection ended before the answer did; the server may have crashed.
  bool connection_lost = false;
};

// Order to drop a program's cache.
struct CacheRelease {
  std::string cache_key;
  std::uint32_t shard = 0;
  // Highest fencing token known for the shard.
  std::uint64_t fence = 0;
};

// How to talk to one kind of backend server. Thread-safe; callbacks run on I/O
// threads.
class Backend {
 public:
  using TokenCallback = std::function<void(std::string text)>;
  using DoneCallback = std::function<void(BackendResult result)>;

  virtual ~Backend() = default;

  // Runs a request once. `on_token` may be null.
  virtual std::shared_ptr<http::ClientCall> Run(
      const protocol::ExecuteRequest& request,
      base::Duration timeout,
      TokenCallback on_token,
      DoneCallback on_done) = 0;

  // Tells the server to drop cache; `on_done` learns whether it confirmed.
  virtual void Release(const CacheRelease& release,
                       std::function<void(bool confirmed)> on_done) = 0;

  // Asks whether the server accepts connections.
  virtual void Probe(std::function<void(bool reachable)> on_done) = 0;
};

// Client for an engine (chat completions) or a plain service.
std::unique_ptr<Backend> MakeEngineBackend(http::Client& client,
                                           std::string address);
std::unique_ptr<Backend> MakeServiceBackend(http::Client& client,
                                            std::string address);

// Error of a request whose backend server answered with an HTTP status other
// than 2xx. A 4xx answer shows that the request was judged; after a 5xx nobody
// knows whether it ran.
base::ErrorInfo StatusError(int status,
                            const std::string& body,
                            const std::string& address);

// Whether the connection ended after the request was sent and before its answer
// was complete.
bool IsConnectionLost(const base::ErrorInfo& error);

// Checks reachability by a request for the server's load.
void ProbeServer(http::Client& client,
                 const std::string& address,
                 std::function<void(bool reachable)> on_done);

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_BACKEND_H_
