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

// Settings of the HTTP adapter.
struct HttpPlatformSettings {
  // "ip:port" of the platform's endpoints, at least one; all serve the same
  // data.
  std::vector<std::string> addresses;
  // Time for one call with all its attempts.
  base::Duration call_timeout = base::seconds(3);
  // Time for one connection to be established.
  base::Duration connect_timeout = base::milliseconds(500);
  // Idle connections kept per address.
  std::size_t max_idle_per_address = 16;
};

// PlatformStore over the platform's HTTP interface. Reads and object writes use
// kept connections and are tried at each address in turn, starting with the
// last one that answered. A commit uses a new connection and moves on to the
// next address only if it was not sent: whether to send it again is for
// ReliableCommit to decide.
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
  // How a call may be repeated, and what its failure means.
  enum class Kind {
    kRead,         // repeatable; a failure means not_run
    kObjectWrite,  // repeatable; a failure means unknown once it was sent
    kCommit,       // not repeated here; unknown once it was sent
  };

  // Answer of an endpoint, and which one gave it.
  struct Answer {
    std::string address;
    int status = 0;
    std::string body;
  };

  // Sends the request until an endpoint answers it with a status below 500.
  Answer Send(http::ClientRequest request, Kind kind);
  Answer Get(std::string target);

  const HttpPlatformSettings settings_;
  http::BlockingClient client_;
  // Index of the address to try first.
  std::atomic<std::size_t> preferred_ = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_HTTP_PLATFORM_STORE_H_
