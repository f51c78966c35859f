#ifndef VANILLALEVER_EXECUTION_CACHE_LEASES_H_
#define VANILLALEVER_EXECUTION_CACHE_LEASES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::execution {

struct CacheLeaseSettings {
  // Time for which cache is held after the last call of its program ended.
  // Longer than most pauses in which a program runs a tool between two calls.
  base::Duration lease = base::seconds(120);
  // Time between two release commands to the backend until it confirms.
  base::Duration retry_interval = base::seconds(1);
};

// Program that cache is held for. The incarnation distinguishes the program
// from a later one of the same name, so that a delayed release does not affect
// the later one.
struct CacheHolder {
  std::string program;
  std::string incarnation;

  bool operator==(const CacheHolder&) const = default;
  bool operator<(const CacheHolder& other) const {
    return std::tie(program, incarnation) <
           std::tie(other.program, other.incarnation);
  }
};

// Command to the backend to free a holder's cache.
struct ReleaseCommand {
  CacheHolder holder;
  // Distinguishes the command from those issued before a later call of the same
  // holder.
  std::uint64_t generation = 0;
};

// Outcome of an explicit release request.
enum class ReleaseOutcome {
  kReleasing,  // commands are sent until confirmed: see TakeDueReleases()
  kDeferred,   // a call of the program is running; released when it ends
};

// Leases on the cache that the backend holds for programs. Each holder is
// removed only after the backend has confirmed its release. Not thread-safe.
class CacheLeases {
 public:
  explicit CacheLeases(CacheLeaseSettings settings);

  // A call of the program starts on the backend. The lease cannot expire until
  // End().
  void Begin(const CacheHolder& holder, base::TimePoint now);

  // The call ended with `tokens` tokens in the cache; renews the lease.
  void End(const CacheHolder& holder,
           std::uint64_t tokens,
           base::TimePoint now);

  // Releases the cache on request. An unknown holder is accepted too, because
  // an earlier run of the sidecar may have filled the cache.
  ReleaseOutcome Release(const CacheHolder& holder, base::TimePoint now);

  // Returns the release commands to send to the backend now: of holders whose
  // release was requested or whose lease has expired, not yet confirmed. Each
  // is due again after the retry interval.
  std::vector<ReleaseCommand> TakeDueReleases(base::TimePoint now);

  // The backend confirmed a release command. Ignored if a call of the same
  // holder has started since the command was issued.
  void Confirm(const ReleaseCommand& command);

  // Whether no cache is held for the holder and no release is pending.
  bool released(const CacheHolder& holder) const {
    return leases_.find(holder) == leases_.end();
  }

  // Tokens held for the holder; nullopt if it is unknown or being released.
  std::optional<std::uint64_t> tokens(const CacheHolder& holder) const;

  // Holders whose cache is not being released, in order.
  std::vector<CacheHolder> held() const;

  // All holders, including those being released.
  std::size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    std::uint32_t running_calls = 0;
    std::uint64_t tokens = 0;
    // Increased by every call.
    std::uint64_t generation = 0;
    base::TimePoint expires_at;
    // The release was requested or the lease has expired.
    bool releasing = false;
    base::TimePoint next_command_at;
  };

  CacheLeaseSettings settings_;
  // Generation of the last call of any holder.
  std::uint64_t generation_ = 0;
  std::map<CacheHolder, Lease> leases_;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_CACHE_LEASES_H_
