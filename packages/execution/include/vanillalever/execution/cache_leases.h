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
  // How long held cache outlives the last call of its program. Longer than
  // most tool pauses.
  base::Duration lease = base::seconds(120);
  // Time between two release commands to the backend while it has not
  // confirmed.
  base::Duration retry_interval = base::seconds(1);
};

// Whose cache it is. The incarnation tells a program from a successor of the
// same name, so a late release cannot concern the successor.
struct CacheHolder {
  std::string program;
  std::string incarnation;

  bool operator==(const CacheHolder&) const = default;
  bool operator<(const CacheHolder& other) const {
    return std::tie(program, incarnation) <
           std::tie(other.program, other.incarnation);
  }
};

// A release command to the backend.
struct ReleaseCommand {
  CacheHolder holder;
  // Tells the command from those due before a later call of the same holder.
  std::uint64_t generation = 0;
};

// Outcome of a release on order.
enum class ReleaseOutcome {
  kReleasing,  // the backend is told until it confirms: see TakeDueReleases()
  kDeferred,   // a call of the program is running: released when it ends
};

// Cache that the backend holds for programs, as leases. Every holder ends with
// a release that the backend confirms. Not thread-safe.
class CacheLeases {
 public:
  explicit CacheLeases(CacheLeaseSettings settings);

  // A call of the program starts on the backend. Its cache cannot lapse until
  // End().
  void Begin(const CacheHolder& holder, base::TimePoint now);

  // The call ended and left `tokens` tokens in the cache; renews the lease.
  void End(const CacheHolder& holder,
           std::uint64_t tokens,
           base::TimePoint now);

  // Release on order. Also accepted for an unknown holder: a former run of the
  // sidecar may have filled the cache.
  ReleaseOutcome Release(const CacheHolder& holder, base::TimePoint now);

  // Release commands to send to the backend now: ordered or lapsed, and not
  // confirmed. Each is due again after the retry interval.
  std::vector<ReleaseCommand> TakeDueReleases(base::TimePoint now);

  // The backend confirmed a release command. Ignored when a call of the same
  // holder has started since the command was due.
  void Confirm(const ReleaseCommand& command);

  // Whether nothing is held for the holder and no release is outstanding.
  bool released(const CacheHolder& holder) const {
    return leases_.find(holder) == leases_.end();
  }

  // Tokens held for the holder; nothing when it is unknown or being released.
  std::optional<std::uint64_t> tokens(const CacheHolder& holder) const;

  // Holders that are neither released nor being released, in order.
  std::vector<CacheHolder> held() const;

  // All holders, including those being released.
  std::size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    // Calls that are running.
    std::uint32_t uses = 0;
    std::uint64_t tokens = 0;
    // Raised by every call.
    std::uint64_t generation = 0;
    base::TimePoint end;
    // Whether the release was ordered or the lease has lapsed.
    bool releasing = false;
    // When the next release command is due.
    base::TimePoint next_command;
  };

  CacheLeaseSettings settings_;
  // Generation of the latest call of any holder.
  std::uint64_t generation_ = 0;
  std::map<CacheHolder, Lease> leases_;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_CACHE_LEASES_H_
