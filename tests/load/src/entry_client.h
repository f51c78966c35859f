#ifndef VANILLALEVER_LOAD_ENTRY_CLIENT_H_
#define VANILLALEVER_LOAD_ENTRY_CLIENT_H_

#include <utility>

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::load {

// How callers connect to the entries.
struct EntrySettings {
  // "ip:port" of the entries, at least one.
  std::vector<std::string> entries;
  // Bearer token of the organisation.
  std::string token;
  // Timeout of one request.
  base::Duration request_timeout = base::seconds(60);
};

// Response of an entry, or the error reported by the entry or the connection.
struct EntryResponse {
  std::optional<base::ErrorInfo> error;
  nlohmann::json body;
  // Text of the `token` events; empty for a non-streamed response.
  std::string streamed;
};

// Client of the entries' caller API. Requests are distributed round-robin over
// the entries, as by a load balancer. Thread-safe.
class EntryClient {
 public:
  explicit EntryClient(EntrySettings settings);

  EntryResponse Get(const std::string& target);
  EntryResponse Post(const std::string& target, const nlohmann::json& body);

  // Posts a call with `stream` set. Calls `on_first_token` when the first token
  // arrives.
  EntryResponse PostStreamed(const std::string& target,
                             const nlohmann::json& body,
                             const std::function<void()>& on_first_token);

 private:
  http::ClientRequest MakeRequest(const std::string& method,
                                  const std::string& target);

  const EntrySettings settings_;
  http::BlockingClient client_;
  std::atomic<std::size_t> next_entry_ = 0;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_ENTRY_CLIENT_H_
