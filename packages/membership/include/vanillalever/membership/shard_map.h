#ifndef VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_
#define VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/membership/lease_observer.h"

namespace vanillalever::membership {

// Index of a shard, less than the shard count.
using ShardId = std::uint32_t;

// Token that increases with each change of a shard's owner; zero before the
// first owner.
using FencingToken = std::uint64_t;

// Row `shard/<n>` in the platform's table.
struct ShardRow {
  ShardId shard = 0;
  // Incarnation of the owner; empty if the shard has no owner.
  std::string owner;
  // Address of the owner for forwarded requests, "ip:port".
  std::string address;
  FencingToken fence = 0;
  // Version of the row in the platform's table; zero if it does not exist.
  std::uint64_t version = 0;
  // Whether the previous owner wrote this row as a handover, after settling all
  // calls and committing all changes.
  bool handed_over = false;
};

// Takeover of a shard by this entry, to be done by a conditional write.
struct ShardTakeover {
  // The last known row. The write is conditional on its version and sets the
  // fencing token to `row.fence + 1`.
  ShardRow row;
  // Whether the previous owner's lease row must be fenced before the write.
  bool fence_owner_first = false;
};

// Handover of a shard by this entry, to be done by a conditional write.
struct ShardHandover {
  ShardRow row;
  // The incarnation is empty if no other entry is live.
  EntryRow new_owner;
};

// Next changes of ownership for one entry. Both lists are ordered by shard.
struct ShardPlan {
  std::vector<ShardTakeover> takeovers;
  std::vector<ShardHandover> handovers;
};

// Tracks the owners of all shards and plans changes that balance them. Not
// thread-safe.
class ShardMap {
 public:
  // Maximum number of shards in each list of a plan, so that a plan fits into
  // one transaction.
  static constexpr std::size_t kMaxPlannedShards = 64;

  explicit ShardMap(std::uint32_t shard_count);

  std::uint32_t shard_count() const {
    return static_cast<std::uint32_t>(rows_.size());
  }

  // Stores `row` unless the same or a later version is known. Returns whether
  // it was stored.
  bool Update(const ShardRow& row);

  const ShardRow& row(ShardId shard) const { return rows_.at(shard); }

  // Shards owned by the incarnation.
  std::vector<ShardId> owned(const std::string& incarnation) const;

  // Plans the changes by entry `self` that give all active entries an equal
  // share (to within one shard) with the fewest moves. Entries that have read
  // the same rows compute the same assignment, so they rarely compete for a
  // shard. Must be called only while the lease of `self` is held. An entry that
  // is leaving (`self.state`) hands over all its shards.
  ShardPlan Plan(const EntryRow& self, const LeaseObserver& leases) const;

 private:
  // Computes the target owner of each shard.
  std::vector<std::string> AssignShards(
      const std::map<std::string, EntryRow>& active) const;

  // Indexed by shard.
  std::vector<ShardRow> rows_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_SHARD_MAP_H_
