#ifndef VANILLALEVER_SIDECAR_SRC_CACHE_RELEASER_H_
#define VANILLALEVER_SIDECAR_SRC_CACHE_RELEASER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "backend.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/execution/cache_leases.h"
#include "vanillalever/membership/fence_table.h"
#include "vanillalever/protocol/node_handler.h"

namespace vanillalever::sidecar {

// Manages the leases on cache that the backend server holds for programs, and
// sends the release commands that end them. Rejects release commands whose
// fencing token is lower than the highest one seen for the shard. Thread-safe.
class CacheReleaser {
 public:
  using Responder = protocol::Responder<std::optional<base::ErrorInfo>>;

  CacheReleaser(Backend& backend, base::CounterRegistry& counters);

  // Records the fencing token of a received message.
  void RecordFence(std::uint32_t shard, std::uint64_t fence);

  // Record the start and end of a call of the holder; see
  // execution::CacheLeases.
  void Begin(const execution::CacheHolder& holder, base::TimePoint now);
  void End(const execution::CacheHolder& holder,
           std::uint64_t tokens,
           base::TimePoint now);

  // Responds once the backend server has confirmed the release, or with the
  // reason why it has not.
  void Release(const protocol::ReleaseRequest& request, Responder responder);

  // Sends due release commands.
  void Tick(base::TimePoint now);

 private:
  void Send(const std::vector<execution::ReleaseCommand>& commands);
  void OnReleaseDone(const execution::ReleaseCommand& command, bool confirmed);

  Backend& backend_;
  base::Counter& confirmed_releases_;
  std::mutex mutex_;
  execution::CacheLeases leases_;
  membership::FenceTable fences_;
  // Responders of owners that wait for a release, by holder.
  std::map<execution::CacheHolder, std::vector<Responder>> pending_responders_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_CACHE_RELEASER_H_
