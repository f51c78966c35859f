#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "vanillalever/membership/fence_table.h"
#include "vanillalever/membership/shard_map.h"

namespace vanillalever::membership {
namespace {

using base::seconds;

constexpr base::TimePoint kStart(std::chrono::hours(1));

EntryRow Entry(const std::string& incarnation,
               EntryState state = EntryState::kActive) {
  EntryRow row;
  row.incarnation = incarnation;
  row.state = state;
  row.version = 1;
  return row;
}

LeaseObserver Observe(const std::vector<EntryRow>& rows) {
  LeaseObserver observer{LeaseSettings()};
  observer.OnReadSucceeded(kStart, kStart, rows);
  return observer;
}

// Applies a plan as the conditional writes would. Returns the number of moves.
std::size_t Apply(ShardMap& map, const EntryRow& self, const ShardPlan& plan) {
  for (const ShardTakeover& take : plan.takeovers) {
    ShardRow row = take.row;
    row.owner = self.incarnation;
    ++row.fence;
    ++row.version;
    REQUIRE(map.Update(row));
  }
  for (const ShardHandover& hand_over : plan.handovers) {
    ShardRow row = hand_over.row;
    row.owner = hand_over.new_owner.incarnation;
    ++row.fence;
    ++row.version;
    REQUIRE(map.Update(row));
  }
  return plan.takeovers.size() + plan.handovers.size();
}

// Guards against shards without an owner, uneven shares and needless moves.
TEST_CASE("shards are balanced with the fewest moves") {
  ShardMap map(64);
  std::vector<EntryRow> entries{Entry("a"), Entry("b"), Entry("c")};
  auto round = [&] {
    std::size_t moves = 0;
    for (const EntryRow& self : entries)
      moves += Apply(map, self, map.Plan(self, Observe(entries)));
    return moves;
  };
  CHECK(round() == 64);
  CHECK(map.owned("a").size() == 22);
  CHECK(map.owned("c").size() == 21);
  CHECK(round() == 0);
  entries.push_back(Entry("d"));
  CHECK(round() == 16);  // only the share of the new entry moves
  CHECK(map.owned("d").size() == 16);
  CHECK(round() == 0);
  entries[0].state = EntryState::kLeaving;
  CHECK(round() == 16);
  CHECK(map.owned("a").empty());
  CHECK(round() == 0);
}

// Guards against two entries that try to take the same shard.
TEST_CASE("plans of different entries do not overlap") {
  ShardMap map(64);
  std::vector<EntryRow> entries{Entry("a"), Entry("b"), Entry("c")};
  std::set<ShardId> planned;
  for (const EntryRow& self : entries) {
    for (const ShardTakeover& take : map.Plan(self, Observe(entries)).takeovers)
      CHECK(planned.insert(take.row.shard).second);
  }
  CHECK(planned.size() == 64);
}

// Guards against taking a shard from a live owner, and from an expired owner
// whose row has not been fenced.
TEST_CASE("shards are taken only from owners whose lease has ended") {
  ShardMap map(4);
  std::string owners[] = {"live", "expired", "fenced", "absent"};
  for (ShardId shard = 0; shard < 4; ++shard)
    map.Update({shard, owners[shard], "", 1, 1});
  LeaseObserver leases{LeaseSettings()};
  EntryRow fenced = Entry("fenced", EntryState::kFenced);
  for (int i = 0; i <= 5; ++i) {
    EntryRow live = Entry("live", EntryState::kLeaving);
    live.version = 2 + static_cast<std::uint64_t>(i);
    auto now = kStart + seconds(4 * i);
    leases.OnReadSucceeded(now, now, {live, Entry("expired"), fenced});
  }
  ShardPlan plan = map.Plan(Entry("self"), leases);
  REQUIRE(plan.takeovers.size() == 3);
  CHECK(plan.takeovers[0].row.owner == "expired");
  CHECK(plan.takeovers[0].fence_owner_first);
  CHECK_FALSE(plan.takeovers[1].fence_owner_first);
  CHECK(plan.takeovers[2].fence_owner_first);
}

// Guards against a plan before the first read, and against the last entry
// keeping its shards when it stops.
TEST_CASE("plans need a read, and the last entry releases its shards") {
  ShardMap map(2);
  CHECK(map.Plan(Entry("a"), LeaseObserver{LeaseSettings()}).takeovers.empty());
  map.Update({0, "a", "", 1, 1});
  EntryRow self = Entry("a", EntryState::kLeaving);
  ShardPlan plan = map.Plan(self, Observe({self}));
  REQUIRE(plan.handovers.size() == 1);
  CHECK(plan.handovers[0].new_owner.incarnation.empty());
  CHECK_FALSE(map.Update({0, "late", "", 1, 1}));
}

// Guards against commands of a stale owner that reach an engine without its own
// check of fencing tokens.
TEST_CASE("older fencing tokens are rejected") {
  FenceTable table;
  CHECK(table.CheckAndUpdate(1, 5) == FenceCheck::kRaised);
  CHECK(table.CheckAndUpdate(1, 4) == FenceCheck::kStale);
  CHECK(table.CheckAndUpdate(1, 5) == FenceCheck::kCurrent);
  CHECK(table.CheckAndUpdate(2, 1) == FenceCheck::kRaised);
  CHECK(table.highest(1) == 5);
}

}  // namespace
}  // namespace vanillalever::membership
