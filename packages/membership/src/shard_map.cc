#include "vanillalever/membership/shard_map.h"

#include <algorithm>
#include <utility>

namespace vanillalever::membership {

namespace {

// Shards per active entry: an equal share each; entries that own most get the
// shards left over, because that moves the fewest.
std::map<std::string, std::size_t> Quotas(
    const std::map<std::string, std::size_t>& owned,
    std::size_t shard_count) {
  std::vector<std::pair<std::string, std::size_t>> order(owned.begin(),
                                                         owned.end());
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
  std::map<std::string, std::size_t> quotas;
  std::size_t left_over = shard_count % order.size();
  for (std::size_t i = 0; i < order.size(); ++i) {
    quotas[order[i].first] =
        shard_count / order.size() + (i < left_over ? 1 : 0);
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
  // The entry knows its own state better than its last read does.
  active.erase(self.incarnation);
  if (self.state == EntryState::kActive)
    active.emplace(self.incarnation, self);
  std::vector<std::string> target = Distribute(active);
  for (const ShardRow& row : rows_) {
    const std::string& wanted = target[row.shard];
    if (row.owner == self.incarnation) {
      if (wanted != self.incarnation &&
          plan.handovers.size() < kMaxPlannedShards) {
        plan.handovers.push_back(
            {row, wanted.empty() ? EntryRow() : active.at(wanted)});
      }
      continue;
    }
    if (wanted != self.incarnation ||
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

std::vector<std::string> ShardMap::Distribute(
    const std::map<std::string, EntryRow>& active) const {
  std::vector<std::string> target(rows_.size());
  if (active.empty())
    return target;
  std::map<std::string, std::size_t> held;
  for (const auto& [incarnation, row] : active)
    held[incarnation] = 0;
  for (const ShardRow& row : rows_) {
    if (auto it = held.find(row.owner); it != held.end())
      ++it->second;
  }
  std::map<std::string, std::size_t> room = Quotas(held, rows_.size());
  for (const ShardRow& row : rows_) {
    auto it = room.find(row.owner);
    if (it == room.end() || it->second == 0)
      continue;
    target[row.shard] = row.owner;
    --it->second;
  }
  auto next = room.begin();
  for (std::string& owner : target) {
    if (!owner.empty())
      continue;
    while (next->second == 0)
      ++next;
    owner = next->first;
    --next->second;
  }
  return target;
}

}  // namespace vanillalever::membership
