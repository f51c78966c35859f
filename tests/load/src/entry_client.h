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

// How callers reach the system.
struct EntrySettings {
  // "ip:port" of the entries, at least one.
  std::vector<std::string> entries;
  // Bearer token of the organisation.
  std::string token;
  // Time for one request.
  base::Duration request_timeout = base::seconds(60);
};

// An entry's answer, or the error that it or the connection reported.
struct EntryAnswer {
  std::optional<base::ErrorInfo> error;
  nlohmann::json body;
  // Text of the `token` events; empty for a plain answer.
  std::string streamed;
};

// Caller API of the entries. Each request goes to the next entry of the list,
// as behind a load balancer. Thread-safe.
class EntryClient {
 public:
  explicit EntryClient(EntrySettings settings);

  EntryAnswer Get(const std::string& target);
  EntryAnswer Post(const std::string& target, const nlohmann::json& body);

  // Posts a call with `stream` set. `on_first_token` runs when the first token
  // arrives.
  EntryAnswer PostStreamed(const std::string& target,
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
