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

// Renews this entry's lease, observes the leases of other entries, and takes
// over and hands over shards. Step() runs on one thread; the accessors are
// thread-safe.
class MembershipService {
 public:
  // Called for each shard that this entry now owns, with the row that holds its
  // fencing token and row version.
  using TakenOverCallback =
      std::function<void(const membership::ShardRow& row)>;

  MembershipService(platform::PlatformStore& store,
                    ShardHost& shards,
                    const membership::LeaseSettings& settings,
                    base::CounterRegistry& counters);

  // Sets the address for other entries. Must be called before the first Step().
  void SetAddress(std::string address, std::string data_centre);
  void SetTakenOverCallback(TakenOverCallback callback);
  // Called with the new owner's address after shards were handed over to it.
  using HandedOverCallback =
      std::function<void(const std::string& address,
                         const std::vector<std::uint32_t>& shards)>;
  void SetHandedOverCallback(HandedOverCallback callback);

  // Makes the next Step() read the rows without waiting for the scan interval,
  // because another entry has handed over shards to this one.
  void RequestScan();

  // Renews the lease, reads the rows and executes the resulting shard plan.
  // Blocks.
  void Step();

  // Starts handing over all shards; does not block. has_left() becomes true
  // once this entry owns none. Step() must keep running until then.
  void BeginLeaving();
  bool has_left() const;

  // Whether this entry holds its lease and may act as an owner.
  bool lease_held() const;
  std::string incarnation() const;
  // Address of the entry that owned the shard at the last scan; empty if
  // unknown or if the owner is this entry.
  std::string OwnerAddress(std::uint32_t shard) const;
  // The active entries at the last scan, including this one.
  std::vector<membership::EntryRow> entries() const;

 private:
  void StartNewIncarnation();
  void Renew();
  void Scan();
  void DropUnownedShards();
  void LoadOwnedShards();
  void ExecuteShardPlan();
  void TakeOverShards(const std::vector<membership::ShardTakeover>& takes);
  bool FenceOwner(const std::string& incarnation);
  void HandOverShards(const std::vector<membership::ShardHandover>& hand_overs);
  bool WriteShard(const membership::ShardRow& before,
                  const membership::ShardRow& after);
  bool WriteEntryRow(membership::EntryState state);
  bool ResolveRenewalConflict(const std::string& incarnation);

  platform::PlatformStore& store_;
  ShardHost& shards_;
  const membership::LeaseSettings settings_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  base::Counter& taken_over_;
  base::Counter& handed_over_;
  base::Counter& lost_leases_;
  base::Counter& renewals_;
  TakenOverCallback on_taken_over_;
  HandedOverCallback on_handed_over_;

  mutable std::mutex mutex_;
  membership::LeaseTerm term_;
  membership::LeaseObserver observer_;
  membership::ShardMap shard_map_;
  membership::EntryRow self_row_;
  std::optional<base::TimePoint> last_scan_;
  bool created_ = false;
  bool leaving_ = false;
  bool has_left_ = false;
  // Transaction tokens of this entry's renewals whose result is unknown. Only
  // used by Step().
  std::set<std::string> undecided_renewal_tokens_;
  // Shards whose hand-over waits for calls in progress.
  std::set<std::uint32_t> frozen_shards_;
  // Fencing token with which each shard was last passed to the
  // TakenOverCallback.
  std::map<std::uint32_t, std::uint64_t> loaded_fences_;
  // As loaded_fences_, but kept for the whole incarnation, also after a failed
  // hand-over.
  std::map<std::uint32_t, std::uint64_t> served_fences_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_MEMBERSHIP_SERVICE_H_
