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
  // Set if the backend server sent no usable response.
  std::optional<base::ErrorInfo> error;
  std::string body;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t cached_tokens = 0;
  // Whether the connection was lost before the response was complete, possibly
  // by a crash of the server.
  bool connection_lost = false;
};

// Command to release a program's cache.
struct CacheRelease {
  std::string cache_key;
  std::uint32_t shard = 0;
  // Highest known fencing token of the shard.
  std::uint64_t fence = 0;
};

// Interface to one kind of backend server. Thread-safe; callbacks run on I/O
// threads.
class Backend {
 public:
  using TokenCallback = std::function<void(std::string text)>;
  using DoneCallback = std::function<void(BackendResult result)>;

  virtual ~Backend() = default;

  // Executes a request once. `on_token` may be null.
  virtual std::shared_ptr<http::ClientCall> Run(
      const protocol::ExecuteRequest& request,
      base::Duration timeout,
      TokenCallback on_token,
      DoneCallback on_done) = 0;

  // Requests the release of cache. `on_done` receives whether the server
  // confirmed it.
  virtual void Release(const CacheRelease& release,
                       std::function<void(bool confirmed)> on_done) = 0;

  // Checks whether the server accepts connections.
  virtual void Probe(std::function<void(bool reachable)> on_done) = 0;
};

// Creates the client for a model engine (chat completions) or a service.
std::unique_ptr<Backend> MakeEngineBackend(http::Client& client,
                                           std::string address);
std::unique_ptr<Backend> MakeServiceBackend(http::Client& client,
                                            std::string address);

// Error of a request that the backend server answered with an HTTP status other
// than 2xx. A 4xx status means that the server evaluated the request; after any
// other status it is unknown whether the request ran.
base::ErrorInfo StatusError(int status,
                            const std::string& body,
                            const std::string& address);

// Whether the connection was lost after it was established and before the
// response was complete. A server that sends an unusable response has not
// crashed.
bool IsConnectionLost(const http::ClientResult& response);

// Checks whether the server is reachable by requesting its load.
void ProbeServer(http::Client& client,
                 const std::string& address,
                 std::function<void(bool reachable)> on_done);

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_BACKEND_H_
