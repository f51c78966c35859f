#ifndef VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_
#define VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/membership/lease_observer.h"

namespace vanillalever::membership {

// Number of a shard, 0 to shard count - 1.
using ShardId = std::uint32_t;

// Monotonically increasing token of a shard's ownership; zero for none yet.
using FencingToken = std::uint64_t;

// Row `shard/<n>` of the platform's table.
struct ShardRow {
  ShardId shard = 0;
  // Incarnation of the owner; empty when nobody owns the shard.
  std::string owner;
  // The owner's address for forwarded requests, "ip:port".
  std::string address;
  FencingToken fence = 0;
  // Version of the row in the platform's table; zero when it does not exist.
  std::uint64_t version = 0;
  // Whether the former owner wrote this row as a hand-over, with everything
  // settled and committed.
  bool handed_over = false;
};

// A shard that this entry should take over by a conditional write.
struct ShardTakeover {
  // The row as known; the write is conditional on its version, and sets the
  // fencing token to `row.fence + 1`.
  ShardRow row;
  // Whether the previous owner's lease row must be fenced before the write.
  bool fence_owner_first = false;
};

// A shard that this entry should hand over by a conditional write.
struct ShardHandover {
  ShardRow row;
  // The new owner; an empty incarnation when no other entry is live.
  EntryRow new_owner;
};

// What an entry should do next. Both lists are in order of the shard.
struct ShardPlan {
  std::vector<ShardTakeover> takeovers;
  std::vector<ShardHandover> handovers;
};

// Who owns which shard, as last read, and who should. Not thread-safe.
class ShardMap {
 public:
  // Largest number of shards that Plan() names in one list, so that a plan
  // fits into one transaction.
  static constexpr std::size_t kMaxPlannedShards = 64;

  explicit ShardMap(std::uint32_t shard_count);

  std::uint32_t shard_count() const {
    return static_cast<std::uint32_t>(rows_.size());
  }

  // Keeps `row` unless an equal or later version is known. Returns whether it
  // was kept.
  bool Update(const ShardRow& row);

  const ShardRow& row(ShardId shard) const { return rows_.at(shard); }

  // Shards whose row names the incarnation.
  std::vector<ShardId> owned(const std::string& incarnation) const;

  // What entry `self` should do, so that all active entries hold an equal
  // share (to within one shard) with the fewest moves. Every entry that has
  // read the same rows computes the same distribution, so two of them seldom
  // try to take the same shard. To be called only while the own lease is held.
  // An entry that is leaving (`self.state`) hands over everything.
  ShardPlan Plan(const EntryRow& self, const LeaseObserver& leases) const;

 private:
  std::vector<std::string> Distribute(
      const std::map<std::string, EntryRow>& active) const;

  // Indexed by shard.
  std::vector<ShardRow> rows_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_
