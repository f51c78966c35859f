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
constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

// Begins a turn as a gateway does while the store responds at once. `row` is
// the store's row.
bool BeginWithReservation(ReservationLedger& ledger,
                          BudgetRow& row,
                          std::int64_t budget,
                          std::int64_t max_tokens,
                          base::TimePoint now = kStart) {
  for (;;) {
    switch (ledger.Begin(kProgram, budget, max_tokens, now)) {
      case BudgetVerdict::kGranted:
        return true;
      case BudgetVerdict::kSpent:
        return false;
      case BudgetVerdict::kNeedsReservation:
        break;
    }
    auto next = ledger.NextReservation(kProgram, max_tokens);
    REQUIRE(next);
    if (next->expected_version != row.version) {
      ledger.UpdateRow(kProgram, row);
      continue;
    }
    row = {next->reserved, row.version + 1, "w"};
    ledger.ConfirmReservation(kProgram, *next, row.version);
  }
}

TEST_CASE("turns covered by a reservation need no further one") {
  ReservationLedger ledger;
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 1000, 50));
  CHECK(row.reserved == 150);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(ledger.Begin(kProgram, 1000, 50, kStart) ==
        BudgetVerdict::kNeedsReservation);
}

TEST_CASE("tokens that a turn did not use are granted to later turns") {
  ReservationLedger ledger;
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
    std::vector<ReservationLedger> gateways(4);
    BudgetRow row;
    std::int64_t used = 0;
    std::int64_t budget = 100 + static_cast<std::int64_t>(random.Below(900));
    for (int step = 0; step < 60; ++step) {
      ReservationLedger& gateway = gateways[random.Below(gateways.size())];
      if (random.Below(10) == 0) {
        gateway = ReservationLedger();
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

TEST_CASE("provisional grants are limited and committed by a reservation") {
  ReservationLedger ledger;
  CHECK(ledger.Begin(kProgram, 600, 50, kStart) ==
        BudgetVerdict::kNeedsReservation);
  int turns = 0;
  while (ledger.GrantProvisionally(kProgram, 50, 0)) {
    REQUIRE(ledger.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kGranted);
    ledger.End(kProgram, 50, 50);
    ++turns;
  }
  // One turn and a sixth of the budget.
  CHECK(turns == 3);
  CHECK(ledger.UncommittedPrograms() == std::vector<std::string>{kProgram});
  auto commit = ledger.ProvisionalCommit(kProgram);
  REQUIRE(commit);
  CHECK(commit->reserved == 150);
  ledger.ConfirmReservation(kProgram, *commit, 5);
  CHECK(ledger.UncommittedPrograms().empty());
  CHECK(ledger.reserved(kProgram) == 150);
}

TEST_CASE("no provisional grant if a peer reports the budget as spent") {
  ReservationLedger ledger;
  ledger.UpdateReserved(kProgram, 600, kStart);
  CHECK(ledger.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kSpent);
  CHECK_FALSE(ledger.GrantProvisionally(kProgram, 50, 0));
}

TEST_CASE(
    "provisional grants of an earlier coordinator count towards the limit") {
  ReservationLedger ledger;
  ledger.Begin(kProgram, 600, 50, kStart);
  CHECK_FALSE(ledger.GrantProvisionally(kProgram, 50, 150));
  CHECK(ledger.GrantProvisionally(kProgram, 50, 50));
}

TEST_CASE("lost provisional grants exceed the budget by at most one turn") {
  for (std::int64_t max_tokens : {20, 45, 100, 135}) {
    std::int64_t budget = 270;
    ReservationLedger before;
    std::int64_t used = 0;
    while (before.Begin(kProgram, budget, max_tokens, kStart) ==
           BudgetVerdict::kNeedsReservation) {
      if (!before.GrantProvisionally(kProgram, max_tokens, 0))
        break;
      REQUIRE(before.Begin(kProgram, budget, max_tokens, kStart) ==
              BudgetVerdict::kGranted);
      before.End(kProgram, max_tokens, max_tokens);
      used += max_tokens;
    }
    ReservationLedger after;
    after.SetProvisionalGrantsLost(true);
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

TEST_CASE("unused tokens are released only while the budget is low") {
  ReservationLedger ledger;
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  ledger.End(kProgram, 40, 10);
  CHECK(ledger.Releasable(kStart).empty());
  auto later = kStart + seconds(1);
  REQUIRE(ledger.Releasable(later).size() == 1);
  auto release = ledger.TakeRelease(kProgram, later);
  REQUIRE(release);
  CHECK(release->reserved == 10);
  // Taken at once, so that no turn can use the tokens meanwhile.
  CHECK(ledger.Releasable(later).empty());
  ledger.ConfirmReservation(kProgram, *release, row.version + 1);
  CHECK(ledger.reserved(kProgram) == 10);

  ReservationLedger rich;
  BudgetRow rich_row;
  REQUIRE(BeginWithReservation(rich, rich_row, 10000, 40));
  rich.End(kProgram, 40, 10);
  CHECK(rich.Releasable(later).empty());
}

TEST_CASE("a removed row does not restore the budget") {
  ReservationLedger ledger;
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  std::int64_t reserved = ledger.reserved(kProgram);
  ledger.UpdateRow(kProgram, BudgetRow{});
  CHECK(ledger.reserved(kProgram) == reserved);
  auto next = ledger.NextReservation(kProgram, 60);
  REQUIRE(next);
  CHECK(next->expected_version == 0);
}

TEST_CASE("programs with open turns are not removed as idle") {
  ReservationLedger ledger;
  BudgetRow row;
  REQUIRE(BeginWithReservation(ledger, row, 100, 40));
  auto later = kStart + seconds(100);
  CHECK(ledger.RemoveIdle(later).empty());
  ledger.End(kProgram, 40, 40);
  CHECK(ledger.RemoveIdle(later).size() == 1);
  CHECK(ledger.size() == 0);
}

TEST_CASE("a stopping gateway releases unused tokens") {
  ReservationLedger ledger;
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
  CHECK(release->reserved == 20);
  CHECK(ledger.Releasable(kStart).empty());
  // Programs that ended long ago cause no calls to the store.
  ReservationLedger old;
  BudgetRow old_row;
  REQUIRE(BeginWithReservation(old, old_row, 1000, 50));
  old.End(kProgram, 50, 20);
  old.SetStopping();
  CHECK(old.Releasable(kStart + seconds(30)).empty());
}

}  // namespace
}  // namespace vanillalever::forwarding
