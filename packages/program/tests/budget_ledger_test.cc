#include "vanillalever/program/budget_ledger.h"

#include <vector>

#include <catch2/catch.hpp>

#include "program_fixture.h"
#include "vanillalever/base/random.h"

namespace vanillalever::program {
namespace {

// Guards against a call that is admitted although its worst case does not fit.
TEST_CASE(
    "a reservation above the available amount is refused and not applied") {
  BudgetLedger ledger(100);
  ledger.Reserve(60);
  CHECK_THROWS_AS(ledger.Reserve(41), base::Error);
  CHECK_THROWS_AS(ledger.AllocateShare(41), base::Error);
  CHECK(ledger.available() == 40);
  ledger.Settle(60, 10);
  CHECK(ledger.spent() == 10);
  CHECK(ledger.available() == 90);
}

// Guards against spending above the limit when an engine exceeds max_tokens.
TEST_CASE("a cost above the limit is clamped and counted") {
  BudgetLedger ledger(100);
  ledger.Reserve(50);
  ledger.Settle(50, 130);
  CHECK(ledger.spent() == 100);
  CHECK(ledger.overrun() == 30);
  CHECK(ledger.available() == 0);
}

// Guards against a dispatch whose cost is not counted after a crash: a commit
// in progress may or may not take effect.
TEST_CASE("dispatches must be covered with and without a pending commit") {
  BudgetLedger ledger(1000);
  ledger.Reserve(100);
  CHECK_FALSE(ledger.covered());
  BudgetSnapshot snapshot = ledger.BeginCommit(100);
  CHECK(snapshot == BudgetSnapshot{1000, 0, 200, 0});
  CHECK_FALSE(ledger.covered());
  ledger.CommitApplied();
  CHECK(ledger.covered());
  CHECK(ledger.covers(100));
  CHECK_FALSE(ledger.covers(101));
  // A commit in progress that lowers the ceiling already counts.
  ledger.Settle(100, 10);
  ledger.BeginCommit(20);
  CHECK(ledger.covers(20));
  CHECK_FALSE(ledger.covers(21));
  ledger.CommitRejected();
  CHECK(ledger.covers(190));
}

// Guards against tokens spent under the allowance that are not counted after a
// crash.
TEST_CASE("recovery counts the allowance as spent, but not an open intent") {
  BudgetLedger ledger = BudgetLedger::Recover({1000, 50, 300, 200}, 100);
  CHECK(ledger.spent() == 250);
  CHECK(ledger.reserved() == 100);
  CHECK(ledger.available() == 450);
  CHECK(ledger.covered());
  CHECK_FALSE(ledger.covers(1));
  ledger.Release(100);
  CHECK(ledger.covers(100));
  // A planned hand-over must not cost programs their allowance.
  BudgetLedger handed_over = BudgetLedger::Recover({1000, 50, 300, 200}, 100,
                                                   OwnershipEnd::kHandedOver);
  CHECK(handed_over.spent() == 50);
  CHECK(handed_over.reserved() == 100);
  CHECK(handed_over.available() == 650);
  CHECK(handed_over.covers(200));
  CHECK_FALSE(handed_over.covers(201));
  CHECK_THROWS_AS(BudgetLedger::Recover({100, 50, 51, 0}, 0), base::Error);
  CHECK_THROWS_AS(BudgetLedger::Recover({100, 0, 50, 0}, 51), base::Error);
  CHECK_THROWS_AS(BudgetLedger::Recover({100, -1, 0, 0}, 0), base::Error);
  CHECK_THROWS_AS(
      BudgetLedger::Recover({INT64_MAX, INT64_MAX, INT64_MAX, 1}, 0),
      base::Error);
}

// Reference model of a ledger.
struct Model {
  std::int64_t spent = 0;
  std::vector<std::int64_t> reservations;
  std::vector<std::int64_t> shares;

  std::int64_t used() const {
    std::int64_t sum = spent;
    for (std::int64_t amount : reservations)
      sum += amount;
    for (std::int64_t amount : shares)
      sum += amount;
    return sum;
  }
};

std::int64_t TakeRandom(std::vector<std::int64_t>& amounts,
                        base::Random& random) {
  std::size_t index = random.Below(amounts.size());
  std::int64_t amount = amounts[index];
  amounts.erase(amounts.begin() + static_cast<std::ptrdiff_t>(index));
  return amount;
}

void RunRandomOperation(BudgetLedger& ledger,
                        Model& model,
                        base::Random& random) {
  auto amount = static_cast<std::int64_t>(random.Below(300));
  bool fits = model.used() + amount <= ledger.limit();
  switch (random.Below(6)) {
    case 0:
      CHECK(fits == (CodeOf([&] { ledger.Reserve(amount); }) == "no error"));
      if (fits)
        model.reservations.push_back(amount);
      break;
    case 1:
    case 2:
      if (!model.reservations.empty()) {
        std::int64_t reserved = TakeRandom(model.reservations, random);
        bool known = random.Below(2) == 0;
        std::int64_t actual = known ? std::min(reserved, amount) : reserved;
        known ? ledger.Settle(reserved, actual) : ledger.ChargeInFull(reserved);
        model.spent += actual;
      }
      break;
    case 3:
      if (!model.reservations.empty())
        ledger.Release(TakeRandom(model.reservations, random));
      break;
    case 4:
      if (fits) {
        ledger.AllocateShare(amount);
        model.shares.push_back(amount);
      }
      break;
    default:
      if (!model.shares.empty()) {
        std::int64_t share = TakeRandom(model.shares, random);
        std::int64_t cost = std::min(share, amount);
        ledger.ReturnShare(share, cost);
        model.spent += cost;
      }
  }
}

// Guards against amounts that differ from the sum of the operations, and
// against a stored row that holds more than the limit.
TEST_CASE("random operations agree with a simple model") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    BudgetLedger ledger(1000);
    Model model;
    // spent + held of the row that the last applied commit wrote.
    std::int64_t stored = 0;
    for (int step = 0; step < 200; ++step) {
      RunRandomOperation(ledger, model, random);
      REQUIRE(ledger.spent() == model.spent);
      REQUIRE(ledger.available() == ledger.limit() - model.used());
      REQUIRE(ledger.available() >= 0);
      for (std::int64_t next : {0, 100}) {
        bool stored_covers =
            ledger.spent() + ledger.reserved() + next <= stored;
        REQUIRE(ledger.covers(next) == stored_covers);
      }
      if (random.Below(4) == 0) {
        auto allowance = static_cast<std::int64_t>(random.Below(400));
        BudgetSnapshot snapshot = ledger.BeginCommit(allowance);
        REQUIRE(snapshot.spent + snapshot.held + snapshot.shared <=
                snapshot.limit);
        REQUIRE(snapshot.spent + snapshot.held >=
                ledger.spent() + ledger.reserved());
        if (random.Below(2) == 0) {
          ledger.CommitApplied();
          stored = snapshot.spent + snapshot.held;
        } else {
          ledger.CommitRejected();
        }
      }
    }
  }
}

}  // namespace
}  // namespace vanillalever::program
