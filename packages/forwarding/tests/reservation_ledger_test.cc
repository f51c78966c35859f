#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/reservation_ledger.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr const char* kProgram = "p";
constexpr RunId kRun = 1;
constexpr RunId kOther = 2;
constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

void WriteRow(const BudgetReservation& reservation, BudgetRow& row) {
  REQUIRE(reservation.expected_version == row.version);
  std::uint64_t version = row.version + 1;
  row = reservation.row;
  row.version = version;
}

// Begins a turn as a gateway does while the store responds at once. `row` is
// the store's row.
bool BeginWithReservation(ReservationLedger& ledger,
                          BudgetRow& row,
                          std::int64_t budget,
                          std::int64_t max_tokens,
                          base::TimePoint now = kStart,
                          const std::vector<RunId>& standby = {}) {
  for (;;) {
    switch (ledger.Begin(kProgram, budget, max_tokens, now)) {
      case BudgetVerdict::kGranted:
        return true;
      case BudgetVerdict::kSpent:
        return false;
      case BudgetVerdict::kNeedsReservation:
        break;
    }
    auto next = ledger.NextReservation(kProgram, max_tokens, standby);
    REQUIRE(next);
    if (next->expected_version == row.version)
      WriteRow(*next, row);
    ledger.ApplyRow(kProgram, row);
  }
}

TEST_CASE("turns covered by a reservation need no further one") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 1000, 50));
  CHECK(row.reserved == 150);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) ==
        BudgetVerdict::kNeedsReservation);
}

TEST_CASE("tokens that a turn did not use are granted to later turns") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  int turns = 0;
  while (turns < 100 && BeginWithReservation(ledger, row, 200, 100)) {
    ledger.End(kProgram, 100, 10);
    ++turns;
  }
  // The last turn begins while at least 100 tokens are left.
  CHECK(turns == 11);
  CHECK(row.reserved <= 200);
}

TEST_CASE("several gateways that are killed never grant more than the budget") {
  base::Random random(7);
  for (int round = 0; round < 200; ++round) {
    RunId next_run = 1;
    std::vector<ReservationLedger> gateways;
    while (gateways.size() < 4)
      gateways.emplace_back(next_run++);
    BudgetRow row;
    std::int64_t used = 0;
    std::int64_t budget = 100 + static_cast<std::int64_t>(random.Below(900));
    for (int step = 0; step < 60; ++step) {
      ReservationLedger& gateway = gateways[random.Below(gateways.size())];
      if (random.Below(10) == 0) {
        gateway = ReservationLedger(next_run++);
        continue;
      }
      std::int64_t max_tokens =
          20 + static_cast<std::int64_t>(random.Below(80));
      if (!BeginWithReservation(gateway, row, budget, max_tokens))
        continue;
      auto tokens = static_cast<std::int64_t>(
          random.Below(static_cast<std::uint64_t>(max_tokens) + 1));
      used += tokens;
      gateway.End(kProgram, max_tokens, tokens);
    }
    CHECK(used <= budget);
    CHECK(row.reserved <= budget);
  }
}

// Guards against claims without a limit, and against claims that are not in the
// row once the store is available again.
TEST_CASE(
    "a claim covers one turn and a sixth of the budget until it is written") {
  ReservationLedger ledger(kRun);
  CHECK(ledger.Begin(kProgram, 600, 50, kStart) ==
        BudgetVerdict::kNeedsReservation);
  REQUIRE(ledger.ClaimSize(kProgram) == 150);
  ledger.GrantClaim(kProgram, ledger.ClaimSize(kProgram));
  int turns = 0;
  while (ledger.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kGranted) {
    ledger.End(kProgram, 50, 50);
    ++turns;
  }
  CHECK(turns == 3);
  CHECK(ledger.UnwrittenClaims() == std::vector<std::string>{kProgram});
  auto write = ledger.ClaimWrite(kProgram);
  REQUIRE(write);
  CHECK(write->row.reserved == 150);
  BudgetRow row;
  WriteRow(*write, row);
  ledger.ApplyRow(kProgram, row);
  CHECK(ledger.UnwrittenClaims().empty());
  CHECK(ledger.reserved(kProgram) == 150);
  // The claim was granted when it was made.
  CHECK(ledger.available(kProgram) == 0);
}

// Guards against review/4: a budget that another gateway knows as spent, taken
// for unused.
TEST_CASE("a row of another gateway counts as soon as it is heard of") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  row.version = 3;
  row.Add(kOther, 600, false);
  ledger.Merge(kProgram, {row, {}}, kStart);
  CHECK(ledger.Knows(kProgram));
  CHECK(ledger.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kSpent);
}

// Guards against grants of a lost gateway that are granted again.
TEST_CASE("the claim of another run counts until the row includes it") {
  ReservationLedger ledger(kRun);
  ledger.AddClaim(kProgram, kOther, 150);
  CHECK(ledger.reserved(kProgram) == 150);
  CHECK(ledger.Begin(kProgram, 180, 50, kStart) == BudgetVerdict::kSpent);
  CHECK(ledger.Begin(kProgram, 180, 30, kStart) ==
        BudgetVerdict::kNeedsReservation);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 180, 30));
  CHECK(row.reserved == 180);
  const BudgetShare* share = row.Find(kOther);
  REQUIRE(share);
  CHECK(share->tokens == 150);
  CHECK(share->claimed);
  CHECK(ledger.Claimants(kProgram).empty());
  // The claimant sees its claim in the row and grants it once only.
  ReservationLedger claimant(kOther);
  claimant.Begin(kProgram, 180, 50, kStart);
  claimant.GrantClaim(kProgram, 150);
  claimant.ApplyRow(kProgram, row);
  CHECK(claimant.available(kProgram) == 150);
  CHECK(claimant.UnwrittenClaims().empty());
}

// Guards against a budget that others count as claimed by a run that was not
// granted its claim.
TEST_CASE("a void claim is taken back by its run's next row") {
  ReservationLedger claimant(kOther);
  claimant.Begin(kProgram, 600, 50, kStart);
  claimant.VoidClaim(kProgram);
  ReservationLedger ledger(kRun);
  ledger.AddClaim(kProgram, kOther, 150);
  claimant.Merge(kProgram, ledger.Knowledge(kProgram), kStart);
  CHECK(claimant.HasOwnClaim(kProgram));
  auto write = claimant.ClaimWrite(kProgram);
  REQUIRE(write);
  CHECK(write->row.reserved == 0);
  BudgetRow row;
  WriteRow(*write, row);
  ledger.ApplyRow(kProgram, row);
  CHECK(ledger.reserved(kProgram) == 0);

  // Written by another run after all, beyond the budget: only what the budget
  // still covers is granted.
  ReservationLedger late(kOther);
  late.Begin(kProgram, 600, 50, kStart);
  late.VoidClaim(kProgram);
  BudgetRow full;
  full.version = 9;
  full.Add(kRun, 540, false);
  full.Add(kOther, 150, true);
  late.ApplyRow(kProgram, full);
  CHECK(late.available(kProgram) == 60);
}

TEST_CASE("lost claims exceed the budget by at most one turn") {
  for (std::int64_t max_tokens : {20, 45, 100, 135}) {
    std::int64_t budget = 270;
    ReservationLedger before(kRun);
    std::int64_t used = 0;
    before.Begin(kProgram, budget, max_tokens, kStart);
    before.GrantClaim(kProgram, before.ClaimSize(kProgram));
    while (before.Begin(kProgram, budget, max_tokens, kStart) ==
           BudgetVerdict::kGranted) {
      before.End(kProgram, max_tokens, max_tokens);
      used += max_tokens;
    }
    ReservationLedger after(kOther);
    after.SetClaimsLost(true);
    BudgetRow row;
    while (BeginWithReservation(after, row, budget, max_tokens)) {
      after.End(kProgram, max_tokens, max_tokens);
      used += max_tokens;
    }
    CHECK(used <= budget + max_tokens);
    // The users' documentation states that programs use at most two thirds of
    // their budgets.
    CHECK(row.reserved >= budget * 2 / 3 - max_tokens);
  }
}

// Guards against tokens that count as spent for good because the store's
// response was lost.
TEST_CASE("a later row tells whether a write without a response was done") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 1000, 50));
  ledger.End(kProgram, 50, 50);
  REQUIRE(ledger.available(kProgram) == 100);
  while (ledger.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted)
    ledger.End(kProgram, 50, 50);
  // Done, but the response is lost; another run writes the row next.
  auto lost = ledger.NextReservation(kProgram, 50, {});
  REQUIRE(lost);
  WriteRow(*lost, row);
  ReservationLedger other(kOther);
  REQUIRE(BeginWithReservation(other, row, 1000, 50));
  ledger.ApplyRow(kProgram, row);
  CHECK(ledger.available(kProgram) == 150);
}

// Guards against tokens that are granted here after a delayed write returned
// them.
TEST_CASE(
    "released tokens are available again only when a row excludes the "
    "release") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  ledger.End(kProgram, 40, 10);
  auto later = kStart + seconds(1);
  std::int64_t unused = ledger.available(kProgram);
  auto release = ledger.TakeRelease(kProgram, later);
  REQUIRE(release);
  CHECK(ledger.available(kProgram) == 0);
  // The same row again proves nothing: the write may still be done.
  ledger.ApplyRow(kProgram, row);
  CHECK(ledger.available(kProgram) == 0);
  SECTION("written late") {
    WriteRow(*release, row);
    ledger.ApplyRow(kProgram, row);
    CHECK(ledger.available(kProgram) == 0);
    CHECK(ledger.reserved(kProgram) == 10);
  }
  SECTION("another write came first") {
    std::uint64_t version = row.version + 1;
    row.Add(kOther, 5, false);
    row.version = version;
    ledger.ApplyRow(kProgram, row);
    CHECK(ledger.available(kProgram) == unused);
  }
  SECTION("refused") {
    ledger.OnRefused(kProgram);
    CHECK(ledger.available(kProgram) == unused);
  }
}

// Guards against review/13: a release that was written without a response, and
// whose tokens are granted here as well because another copy of it was refused.
TEST_CASE("a release in doubt is settled by a later row alone") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  ledger.End(kProgram, 40, 10);
  auto now = kStart + seconds(1);
  std::int64_t unused = ledger.available(kProgram);
  CHECK_FALSE(ledger.RepeatRelease(kProgram));
  auto release = ledger.TakeRelease(kProgram, now);
  REQUIRE(release);
  CHECK_FALSE(ledger.ReleaseInDoubt(kProgram));
  ledger.OnUnknown(kProgram);
  CHECK(ledger.ReleaseInDoubt(kProgram));
  for (int i = 0; i < 3; ++i) {
    // Not with each tick: calls to the store are limited.
    CHECK_FALSE(ledger.TakeRelease(kProgram, now));
    now += seconds(1);
    auto again = ledger.TakeRelease(kProgram, now);
    REQUIRE(again);
    CHECK(again->expected_version == release->expected_version);
    CHECK(again->row.reserved == release->row.reserved);
    ledger.OnRefused(kProgram);
    CHECK(ledger.available(kProgram) == 0);
  }
  SECTION("the first copy was written") {
    WriteRow(*release, row);
    ledger.ApplyRow(kProgram, row);
    CHECK(ledger.available(kProgram) == 0);
    CHECK(ledger.reserved(kProgram) == 10);
  }
  SECTION("another write came first") {
    std::uint64_t version = row.version + 1;
    row.Add(kOther, 5, false);
    row.version = version;
    ledger.ApplyRow(kProgram, row);
    CHECK(ledger.available(kProgram) == unused);
  }
  SECTION("a reservation came first") {
    std::int64_t before = row.Find(kRun)->tokens;
    auto next = ledger.NextReservation(kProgram, 40, {});
    REQUIRE(next);
    WriteRow(*next, row);
    ledger.ApplyRow(kProgram, row);
    CHECK(ledger.available(kProgram) ==
          unused + row.Find(kRun)->tokens - before);
  }
  SECTION("the row was removed, perhaps after the release") {
    ledger.OnRowRemoved(kProgram);
    CHECK(ledger.available(kProgram) == 0);
  }
  CHECK_FALSE(ledger.ReleaseInDoubt(kProgram));
}

// Guards against programs that only the gateway of their first turn can serve
// in an outage.
TEST_CASE("the first reservation fills the shares of other gateways") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 480, 40, kStart, {kOther, 3}));
  ReservationLedger other(kOther);
  other.ApplyRow(kProgram, row);
  CHECK(other.available(kProgram) == 80);
  CHECK(row.reserved <= 480);
  // Filled once; again only with what was transferred from them.
  std::int64_t share = row.Find(kOther)->tokens;
  while (ledger.available(kProgram) >= 40)
    ledger.Begin(kProgram, 480, 40, kStart);
  ledger.AddTokens(kProgram, kOther, 30);
  ledger.TakeUnused(kProgram, 1000);
  REQUIRE(BeginWithReservation(ledger, row, 480, 40, kStart, {kOther, 3}));
  CHECK(row.Find(kOther)->tokens <= share + 30);
}

TEST_CASE(
    "a row keeps its shares in text, and rows of earlier releases are read") {
  BudgetRow row;
  row.Add(0xabc, 120, false);
  row.Add(kOther, -5, true);
  BudgetRow read = ParseBudgetRow(EncodeBudgetRow(row), 7);
  CHECK(read.version == 7);
  CHECK(read.reserved == 115);
  REQUIRE(read.shares.size() == 2);
  CHECK(read.Find(0xabc)->tokens == 120);
  CHECK(read.Find(kOther)->claimed);
  BudgetRow old = ParseBudgetRow("240 0123456789abcdef", 8);
  CHECK(old.reserved == 240);
  CHECK(old.shares.empty());
  for (RunId run = 100; run < 140; ++run)
    row.Add(run, 1, false);
  CHECK(row.shares.size() == BudgetRow::kMaxShares);
  CHECK(row.reserved == 155);
}

TEST_CASE("unused tokens are released only while the budget is low") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  ledger.End(kProgram, 40, 10);
  CHECK(ledger.Releasable(kStart).empty());
  auto later = kStart + seconds(1);
  REQUIRE(ledger.Releasable(later).size() == 1);
  auto release = ledger.TakeRelease(kProgram, later);
  REQUIRE(release);
  CHECK(release->row.reserved == 10);
  // Taken at once, so that no turn can use the tokens meanwhile.
  CHECK_FALSE(ledger.Covers(kProgram, 1));
  WriteRow(*release, row);
  ledger.ApplyRow(kProgram, row);
  CHECK(ledger.Releasable(later).empty());
  CHECK(ledger.reserved(kProgram) == 10);

  ReservationLedger rich(kRun);
  BudgetRow rich_row;
  REQUIRE(BeginWithReservation(rich, rich_row, 10000, 40));
  rich.End(kProgram, 40, 10);
  CHECK(rich.Releasable(later).empty());
}

TEST_CASE("a removed row does not restore the budget") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  std::int64_t reserved = ledger.reserved(kProgram);
  ledger.OnRowRemoved(kProgram);
  CHECK(ledger.reserved(kProgram) == reserved);
  auto next = ledger.NextReservation(kProgram, 60, {});
  REQUIRE(next);
  CHECK(next->expected_version == 0);
}

TEST_CASE("programs with open turns are not removed as idle") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  auto later = kStart + seconds(100);
  CHECK(ledger.RemoveIdle(later).empty());
  ledger.End(kProgram, 40, 40);
  CHECK(ledger.RemoveIdle(later).size() == 1);
  CHECK(ledger.size() == 0);
}

TEST_CASE("a stopping gateway releases unused tokens") {
  ReservationLedger ledger(kRun);
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 1000, 50));
  CHECK(ledger.Releasable(kStart).empty());
  ledger.SetStopping();
  // The turn in progress keeps its tokens.
  CHECK(ledger.Releasable(kStart).empty());
  ledger.End(kProgram, 50, 20);
  REQUIRE(ledger.Releasable(kStart).size() == 1);
  auto release = ledger.TakeRelease(kProgram, kStart);
  REQUIRE(release);
  CHECK(release->row.reserved == 20);
  CHECK_FALSE(ledger.Covers(kProgram, 1));
  // Programs that ended long ago cause no calls to the store.
  ReservationLedger old(kRun);
  BudgetRow old_row;
  REQUIRE(BeginWithReservation(old, old_row, 1000, 50));
  old.End(kProgram, 50, 20);
  old.SetStopping();
  CHECK(old.Releasable(kStart + seconds(30)).empty());
}

}  // namespace
}  // namespace vanillalever::forwarding
