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

// Leases on cache that the backend server holds for programs, and the release
// commands that end them. Keeps the highest fencing token of each shard and
// rejects older release commands. Thread-safe.
class CacheReleaser {
 public:
  using Responder = protocol::Responder<std::optional<base::ErrorInfo>>;

  CacheReleaser(Backend& backend, base::CounterRegistry& counters);

  // A message carried this fencing token.
  void NoteFence(std::uint32_t shard, std::uint64_t fence);

  // A call of the holder starts and ends; see execution::CacheLeases.
  void Begin(const execution::CacheHolder& holder, base::TimePoint now);
  void End(const execution::CacheHolder& holder,
           std::uint64_t tokens,
           base::TimePoint now);

  // Answers when the backend server has confirmed, or why it has not.
  void Release(const protocol::ReleaseRequest& request, Responder responder);

  // Sends release commands that are due.
  void Tick(base::TimePoint now);

 private:
  void Send(const std::vector<execution::ReleaseCommand>& commands);
  void OnAnswered(const execution::ReleaseCommand& command, bool confirmed);

  Backend& backend_;
  base::Counter& releases_;
  std::mutex mutex_;
  execution::CacheLeases leases_;
  membership::FenceTable fences_;
  // Owners that wait for a release, by holder.
  std::map<execution::CacheHolder, std::vector<Responder>> waiters_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_CACHE_RELEASER_H_
