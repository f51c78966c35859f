#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/budget_book.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr const char* kProgram = "p";
constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

// Begins a turn as an entry does while the store answers at once. `row` is the
// store's row.
bool BeginDurably(BudgetBook& book,
                  BudgetRow& row,
                  std::int64_t budget,
                  std::int64_t most,
                  base::TimePoint now = kStart) {
  for (;;) {
    switch (book.Begin(kProgram, budget, most, now)) {
      case BudgetVerdict::kGranted:
        return true;
      case BudgetVerdict::kSpent:
        return false;
      case BudgetVerdict::kReserve:
        break;
    }
    auto next = book.NextReservation(kProgram, most);
    REQUIRE(next);
    if (next->expected_version != row.version) {
      book.Observe(kProgram, row);
      continue;
    }
    row = {next->reserved, row.version + 1, "w"};
    book.Reserved(kProgram, *next, row.version);
  }
}

TEST_CASE("turns inside a reservation need no further one") {
  BudgetBook book;
  BudgetRow row;
  REQUIRE(BeginDurably(book, row, 1000, 50));
  CHECK(row.reserved == 150);
  CHECK(book.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(book.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kGranted);
  CHECK(book.Begin(kProgram, 1000, 50, kStart) == BudgetVerdict::kReserve);
}

TEST_CASE("what a turn did not use serves later turns") {
  BudgetBook book;
  BudgetRow row;
  int turns = 0;
  while (turns < 100 && BeginDurably(book, row, 200, 100)) {
    book.End(kProgram, 100, 10);
    ++turns;
  }
  // The last turn begins while at least 100 tokens are left.
  CHECK(turns == 11);
  CHECK(row.reserved <= 200);
}

TEST_CASE("several entries and kills never hand out more than the budget") {
  base::Random random(7);
  for (int round = 0; round < 200; ++round) {
    std::vector<BudgetBook> entries(4);
    BudgetRow row;
    std::int64_t used = 0;
    std::int64_t budget = 100 + static_cast<std::int64_t>(random.Below(900));
    for (int step = 0; step < 60; ++step) {
      BudgetBook& entry = entries[random.Below(entries.size())];
      if (random.Below(10) == 0) {
        entry = BudgetBook();
        continue;
      }
      std::int64_t most = 20 + static_cast<std::int64_t>(random.Below(80));
      if (!BeginDurably(entry, row, budget, most))
        continue;
      auto tokens = static_cast<std::int64_t>(
          random.Below(static_cast<std::uint64_t>(most) + 1));
      used += tokens;
      entry.End(kProgram, most, tokens);
    }
    CHECK(used <= budget);
    CHECK(row.reserved <= budget);
  }
}

TEST_CASE("advances are small and become durable with the next reservation") {
  BudgetBook book;
  CHECK(book.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kReserve);
  int turns = 0;
  while (book.Advance(kProgram, 50, 0)) {
    REQUIRE(book.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kGranted);
    book.End(kProgram, 50, 50);
    ++turns;
  }
  // One turn and a sixth of the budget.
  CHECK(turns == 3);
  CHECK(book.Unsettled() == std::vector<std::string>{kProgram});
  auto settlement = book.Settlement(kProgram);
  REQUIRE(settlement);
  CHECK(settlement->reserved == 150);
  book.Reserved(kProgram, *settlement, 5);
  CHECK(book.Unsettled().empty());
  CHECK(book.reserved(kProgram) == 150);
}

TEST_CASE("a program that another entry knows to be spent gets no advance") {
  BudgetBook book;
  book.ObserveReserved(kProgram, 600, kStart);
  CHECK(book.Begin(kProgram, 600, 50, kStart) == BudgetVerdict::kSpent);
  CHECK_FALSE(book.Advance(kProgram, 50, 0));
}

TEST_CASE("advances of an earlier home count towards the limit") {
  BudgetBook book;
  book.Begin(kProgram, 600, 50, kStart);
  CHECK_FALSE(book.Advance(kProgram, 50, 150));
  CHECK(book.Advance(kProgram, 50, 50));
}

TEST_CASE("lost advances and what follows stay within budget and one turn") {
  for (std::int64_t most : {20, 45, 100, 135}) {
    std::int64_t budget = 270;
    BudgetBook before;
    std::int64_t used = 0;
    while (before.Begin(kProgram, budget, most, kStart) ==
           BudgetVerdict::kReserve) {
      if (!before.Advance(kProgram, most, 0))
        break;
      REQUIRE(before.Begin(kProgram, budget, most, kStart) ==
              BudgetVerdict::kGranted);
      before.End(kProgram, most, most);
      used += most;
    }
    BudgetBook after;
    after.SetAdvancesLost(true);
    BudgetRow row;
    while (BeginDurably(after, row, budget, most)) {
      after.End(kProgram, most, most);
      used += most;
    }
    CHECK(used <= budget + most);
    // Programs use at most two thirds of their budgets by the users' pages.
    CHECK(row.reserved >= budget * 2 / 3 - most);
  }
}

TEST_CASE("unused tokens go back only while the budget is short") {
  BudgetBook book;
  BudgetRow row;
  REQUIRE(BeginDurably(book, row, 100, 40));
  book.End(kProgram, 40, 10);
  CHECK(book.Returnable(kStart).empty());
  auto later = kStart + seconds(1);
  REQUIRE(book.Returnable(later).size() == 1);
  auto give_back = book.TakeReturn(kProgram, later);
  REQUIRE(give_back);
  CHECK(give_back->reserved == 10);
  // Taken out at once, so that a turn cannot use it meanwhile.
  CHECK(book.Returnable(later).empty());
  book.Reserved(kProgram, *give_back, row.version + 1);
  CHECK(book.reserved(kProgram) == 10);

  BudgetBook rich;
  BudgetRow rich_row;
  REQUIRE(BeginDurably(rich, rich_row, 10000, 40));
  rich.End(kProgram, 40, 10);
  CHECK(rich.Returnable(later).empty());
}

TEST_CASE("a removed row does not bring the budget back") {
  BudgetBook book;
  BudgetRow row;
  REQUIRE(BeginDurably(book, row, 100, 40));
  std::int64_t reserved = book.reserved(kProgram);
  book.Observe(kProgram, BudgetRow{});
  CHECK(book.reserved(kProgram) == reserved);
  auto next = book.NextReservation(kProgram, 60);
  REQUIRE(next);
  CHECK(next->expected_version == 0);
}

TEST_CASE("programs are forgotten only when nothing of them is open") {
  BudgetBook book;
  BudgetRow row;
  REQUIRE(BeginDurably(book, row, 100, 40));
  auto later = kStart + seconds(100);
  CHECK(book.Forget(later).empty());
  book.End(kProgram, 40, 40);
  CHECK(book.Forget(later).size() == 1);
  CHECK(book.size() == 0);
}

TEST_CASE("a stopping entry gives back what its programs do not use") {
  BudgetBook book;
  BudgetRow row;
  REQUIRE(BeginDurably(book, row, 1000, 50));
  CHECK(book.Returnable(kStart).empty());
  book.SetStopping();
  // The turn in progress keeps its tokens.
  CHECK(book.Returnable(kStart).empty());
  book.End(kProgram, 50, 20);
  REQUIRE(book.Returnable(kStart).size() == 1);
  auto give_back = book.TakeReturn(kProgram, kStart);
  REQUIRE(give_back);
  CHECK(give_back->reserved == 20);
  CHECK(book.Returnable(kStart).empty());
  // Programs that ended long ago cost no call to the store.
  BudgetBook old;
  BudgetRow old_row;
  REQUIRE(BeginDurably(old, old_row, 1000, 50));
  old.End(kProgram, 50, 20);
  old.SetStopping();
  CHECK(old.Returnable(kStart + seconds(30)).empty());
}

}  // namespace
}  // namespace vanillalever::forwarding
