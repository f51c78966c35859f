#ifndef VANILLALEVER_ENTRY_SRC_MEMBERSHIP_SERVICE_H_
#define VANILLALEVER_ENTRY_SRC_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shard_host.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/membership/lease_observer.h"
#include "vanillalever/membership/lease_term.h"
#include "vanillalever/membership/shard_map.h"
#include "vanillalever/platform/reliable_commit.h"

namespace vanillalever::entry {

// Keeps this entry's lease, watches the others', and takes and hands over
// shards. Step() runs on one thread; the accessors are thread-safe.
class MembershipService {
 public:
  // A shard row was taken with this fencing token and row version.
  using TakenCallback = std::function<void(const membership::ShardRow& row)>;

  MembershipService(platform::PlatformStore& store,
                    ShardHost& shards,
                    const membership::LeaseSettings& settings,
                    base::CounterRegistry& counters);

  // Address for other entries; to be set before the first Step().
  void SetAddress(std::string address, std::string data_centre);
  void SetTakenCallback(TakenCallback callback);
  // Called with the new owner's address after shards were handed over to it.
  using HandedOverCallback =
      std::function<void(const std::string& address,
                         const std::vector<std::uint32_t>& shards)>;
  void SetHandedOverCallback(HandedOverCallback callback);

  // Makes the next Step() read the rows at once: another entry has handed over
  // shards to this one.
  void ScanSoon();

  // Renews, reads the rows and acts on them. Blocks.
  void Step();

  // Hands all shards over and ends the lease; blocks until nothing is owned or
  // `limit` has passed. Step() must go on meanwhile.
  void BeginLeave();
  bool left() const;

  // Whether this entry may act as an owner.
  bool lease_held() const;
  std::string incarnation() const;
  // Address of the entry that owns the shard as last read; empty if unknown or
  // this entry itself.
  std::string OwnerAddress(std::uint32_t shard) const;
  // The active entries, this one included, as last read.
  std::vector<membership::EntryRow> entries() const;

 private:
  void StartIncarnation();
  void Renew();
  void Scan();
  void DropLostShards();
  void AdoptShards();
  void ActOnPlan();
  void TakeShards(const std::vector<membership::ShardTake>& takes);
  bool FenceOwner(const std::string& incarnation);
  void HandOver(const std::vector<membership::ShardHandOver>& moves);
  bool WriteShard(const membership::ShardRow& before,
                  const membership::ShardRow& after);
  bool WriteSelf(membership::EntryState state);
  bool AdoptOwnRow(const std::string& incarnation);

  platform::PlatformStore& store_;
  ShardHost& shards_;
  const membership::LeaseSettings settings_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  base::Counter& taken_;
  base::Counter& handed_over_;
  base::Counter& lost_;
  base::Counter& renewals_;
  TakenCallback on_taken_;
  HandedOverCallback on_handed_over_;

  mutable std::mutex mutex_;
  membership::LeaseTerm term_;
  membership::LeaseObserver observer_;
  membership::ShardMap map_;
  membership::EntryRow self_;
  std::optional<base::TimePoint> last_scan_;
  bool created_ = false;
  bool leaving_ = false;
  bool left_ = false;
  // Tokens of own renewals whose result is not known; used by Step() only.
  std::set<std::string> doubtful_tokens_;
  // Shards whose hand-over waits for calls under way.
  std::set<std::uint32_t> frozen_;
  // Fencing token under which each shard was passed to the TakenCallback.
  std::map<std::uint32_t, std::uint64_t> loaded_;
  // As loaded_, but never forgotten within an incarnation.
  std::map<std::uint32_t, std::uint64_t> first_loaded_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_MEMBERSHIP_SERVICE_H_
