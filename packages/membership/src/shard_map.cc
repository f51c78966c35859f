#include "vanillalever/membership/shard_map.h"

#include <algorithm>
#include <utility>

namespace vanillalever::membership {

namespace {

// Number of shards that each active entry should own. The remainder of the
// division goes to the entries that own the most, which minimises moves.
std::map<std::string, std::size_t> Quotas(
    const std::map<std::string, std::size_t>& owned,
    std::size_t shard_count) {
  std::vector<std::pair<std::string, std::size_t>> by_owned_count(owned.begin(),
                                                                  owned.end());
  std::stable_sort(
      by_owned_count.begin(), by_owned_count.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
  std::map<std::string, std::size_t> quotas;
  std::size_t remainder = shard_count % by_owned_count.size();
  for (std::size_t i = 0; i < by_owned_count.size(); ++i) {
    quotas[by_owned_count[i].first] =
        shard_count / by_owned_count.size() + (i < remainder ? 1 : 0);
  }
  return quotas;
}

}  // namespace

ShardMap::ShardMap(std::uint32_t shard_count) : rows_(shard_count) {
  for (ShardId shard = 0; shard < shard_count; ++shard)
    rows_[shard].shard = shard;
}

bool ShardMap::Update(const ShardRow& row) {
  ShardRow& known = rows_.at(row.shard);
  if (row.version <= known.version)
    return false;
  known = row;
  return true;
}

std::vector<ShardId> ShardMap::owned(const std::string& incarnation) const {
  std::vector<ShardId> shards;
  for (const ShardRow& row : rows_) {
    if (row.owner == incarnation)
      shards.push_back(row.shard);
  }
  return shards;
}

ShardPlan ShardMap::Plan(const EntryRow& self,
                         const LeaseObserver& leases) const {
  ShardPlan plan;
  if (!leases.ready())
    return plan;
  std::map<std::string, EntryRow> active;
  for (EntryRow& row : leases.active())
    active.emplace(row.incarnation, std::move(row));
  // `self` is more recent than the row of this entry in the last read.
  active.erase(self.incarnation);
  if (self.state == EntryState::kActive)
    active.emplace(self.incarnation, self);
  std::vector<std::string> target_owners = AssignShards(active);
  for (const ShardRow& row : rows_) {
    const std::string& target_owner = target_owners[row.shard];
    if (row.owner == self.incarnation) {
      if (target_owner != self.incarnation &&
          plan.handovers.size() < kMaxPlannedShards) {
        plan.handovers.push_back(
            {row, target_owner.empty() ? EntryRow() : active.at(target_owner)});
      }
      continue;
    }
    if (target_owner != self.incarnation ||
        plan.takeovers.size() >= kMaxPlannedShards)
      continue;
    if (row.owner.empty()) {
      plan.takeovers.push_back({row, false});
      continue;
    }
    LeaseStatus status = leases.status(row.owner);
    if (status != LeaseStatus::kLive)
      plan.takeovers.push_back({row, status != LeaseStatus::kFenced});
  }
  return plan;
}

std::vector<std::string> ShardMap::AssignShards(
    const std::map<std::string, EntryRow>& active) const {
  std::vector<std::string> target_owners(rows_.size());
  if (active.empty())
    return target_owners;
  std::map<std::string, std::size_t> owned_counts;
  for (const auto& [incarnation, row] : active)
    owned_counts[incarnation] = 0;
  for (const ShardRow& row : rows_) {
    if (auto it = owned_counts.find(row.owner); it != owned_counts.end())
      ++it->second;
  }
  std::map<std::string, std::size_t> remaining_quotas =
      Quotas(owned_counts, rows_.size());
  for (const ShardRow& row : rows_) {
    auto it = remaining_quotas.find(row.owner);
    if (it == remaining_quotas.end() || it->second == 0)
      continue;
    target_owners[row.shard] = row.owner;
    --it->second;
  }
  auto next = remaining_quotas.begin();
  for (std::string& owner : target_owners) {
    if (!owner.empty())
      continue;
    while (next->second == 0)
      ++next;
    owner = next->first;
    --next->second;
  }
  return target_owners;
}

}  // namespace vanillalever::membership
