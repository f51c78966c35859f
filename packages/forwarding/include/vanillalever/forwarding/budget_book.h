#ifndef VANILLALEVER_FORWARDING_BUDGET_BOOK_H_
#define VANILLALEVER_FORWARDING_BUDGET_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Settings of BudgetBook.
struct BudgetSettings {
  // Turns that one reservation covers while the budget is far from spent.
  std::int64_t turns_ahead = 3;
  // Largest part of what is left of the budget that one reservation beyond the
  // present turn takes: what a killed entry had reserved counts as spent.
  std::int64_t ahead_divisor = 4;
};

// Row of the shared table that records a program's reservations.
struct BudgetRow {
  // Tokens reserved by all entries since the program began.
  std::int64_t reserved = 0;
  // Version of the row; zero if it does not exist.
  std::uint64_t version = 0;
  // Identity of the reservation that wrote the row.
  std::string writer;
};

// A reservation to be written: the row must still have `expected`'s version.
struct BudgetReservation {
  std::uint64_t expected_version = 0;
  // New value of the row.
  std::int64_t reserved = 0;
  // Part of it that this reservation adds.
  std::int64_t amount = 0;
};

// How a turn may go on.
enum class BudgetVerdict {
  kGranted,  // covered by what this entry has reserved
  kReserve,  // needs a reservation
  kSpent,    // the budget does not hold the turn
};

// Token budgets of programs, as far as this entry serves them. Tokens are
// handed to callers only inside reservations that are durable in the shared
// table; what an entry had reserved when it died counts as spent. Decides only,
// does no I/O. Not thread-safe.
class BudgetBook {
 public:
  explicit BudgetBook(BudgetSettings settings = {});

  // May a turn that generates at most `most` tokens begin? On kGranted the
  // tokens are taken until End().
  BudgetVerdict Begin(const std::string& program,
                      std::int64_t budget,
                      std::int64_t most,
                      base::TimePoint now);
  // A granted turn ended after `used` of its `most` tokens.
  void End(const std::string& program, std::int64_t most, std::int64_t used);

  // The reservation that a turn of `most` tokens needs; nothing if the budget
  // does not hold it, judged by the last known row.
  std::optional<BudgetReservation> NextReservation(const std::string& program,
                                                   std::int64_t most) const;
  // The reservation is durable as `version`.
  void Reserved(const std::string& program,
                const BudgetReservation& reservation,
                std::uint64_t version);
  // The row as read from the store.
  void Observe(const std::string& program, const BudgetRow& row);

  // Programs without a turn in progress since `before`, which are forgotten.
  std::vector<std::string> Forget(base::TimePoint before);
  std::size_t size() const { return programs_.size(); }

 private:
  struct Program {
    std::int64_t budget = 0;
    // Reserved by this entry and not handed out.
    std::int64_t available = 0;
    BudgetRow row;
    int open_turns = 0;
    base::TimePoint used{};
  };

  BudgetSettings settings_;
  std::map<std::string, Program> programs_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_BOOK_H_
