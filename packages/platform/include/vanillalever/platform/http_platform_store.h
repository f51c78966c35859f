#ifndef VANILLALEVER_PLATFORM_HTTP_PLATFORM_STORE_H_
#define VANILLALEVER_PLATFORM_HTTP_PLATFORM_STORE_H_

#include <utility>

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/http/blocking_client.h"
#include "vanillalever/platform/platform_store.h"

namespace vanillalever::platform {

// Settings of HttpPlatformStore.
struct HttpPlatformSettings {
  // "ip:port" of the platform's endpoints, which all serve the same data. At
  // least one is required.
  std::vector<std::string> addresses;
  // Timeout of a call including all its attempts.
  base::Duration call_timeout = base::seconds(3);
  // Timeout for establishing a connection.
  base::Duration connect_timeout = base::milliseconds(500);
  // Maximum number of idle connections kept per address.
  std::size_t max_idle_per_address = 16;
};

// PlatformStore that uses the platform's HTTP interface. Reads and object
// writes use keep-alive connections and are attempted at each address in turn,
// starting with the one that last responded. A commit uses a new connection and
// is attempted at the next address only if it did not run; ReliableCommit
// decides whether to send it again.
class HttpPlatformStore final : public PlatformStore {
 public:
  explicit HttpPlatformStore(HttpPlatformSettings settings);

  std::optional<Row> Read(const std::string& key) override;
  std::vector<Row> Scan(const std::string& prefix) override;
  CommitResult Commit(const Transaction& transaction) override;
  void PutObject(const std::string& name, const std::string& data) override;
  std::optional<std::string> FetchObject(const std::string& name) override;
  void DeleteObject(const std::string& name) override;
  std::vector<InstanceRecord> Instances() override;

 private:
  // Whether a call may be repeated, and what its failure means.
  enum class CallKind {
    kRead,         // repeatable; a failure means not_run
    kObjectWrite,  // repeatable; a failure after sending means unknown
    kCommit,       // not repeated here; a failure after sending means unknown
  };

  // Response, and the address of the endpoint that sent it.
  struct Response {
    std::string address;
    int status = 0;
    std::string body;
  };

  // Sends the request to one endpoint after another until one responds with a
  // status below 500 other than 429.
  Response Send(http::ClientRequest request, CallKind kind);
  Response Get(std::string target);

  const HttpPlatformSettings settings_;
  http::BlockingClient client_;
  // Index of the address to use first.
  std::atomic<std::size_t> preferred_ = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_HTTP_PLATFORM_STORE_H_
