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
  // Largest part of the budget that is advanced beyond one turn while the
  // store is away: advances are lost when all that know of them are killed
  // before its return.
  std::int64_t advance_divisor = 6;
  // What a program has not used for this long is given back while its budget
  // is nearly spent: its next turn may come through another entry.
  base::milliseconds return_after{500};
  // A process that stops gives back what programs have used within this time:
  // a program's turns are rarely further apart.
  base::seconds return_when_stopping{10};
  // The budget is nearly spent while less than this many turns are left.
  std::int64_t turns_when_short = 3;
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

// A reservation to be written: the row must still have `expected_version`.
struct BudgetReservation {
  std::uint64_t expected_version = 0;
  // New value of the row.
  std::int64_t reserved = 0;
  // Part of it that this entry may hand out once it is durable.
  std::int64_t amount = 0;
  // Part of it that was advanced before.
  std::int64_t settles = 0;
};

// How a turn may go on.
enum class BudgetVerdict {
  kGranted,  // covered by what this entry has reserved
  kReserve,  // needs a reservation or an advance
  kSpent,    // the budget does not hold the turn
};

// Token budgets of programs, as far as this entry serves them. Tokens are
// handed to callers inside reservations that are durable in the shared table;
// what an entry had reserved when it died counts as spent. While the store is
// away a small advance is given, which is made durable on its return. Decides
// only, does no I/O. Not thread-safe.
class BudgetBook {
 public:
  explicit BudgetBook(BudgetSettings settings = {});

  // Advances may have been lost with the processes that gave them: from now on
  // what could have been advanced counts as spent.
  void SetAdvancesLost(bool lost) { advances_lost_ = lost; }

  // The process stops: from now on whatever is not in use is given back.
  void SetStopping() { stopping_ = true; }

  // May a turn that generates at most `most` tokens begin? On kGranted the
  // tokens are taken until End().
  BudgetVerdict Begin(const std::string& program,
                      std::int64_t budget,
                      std::int64_t most,
                      base::TimePoint now);
  // A granted turn ended after `used` of its `most` tokens.
  void End(const std::string& program, std::int64_t most, std::int64_t used);

  // The reservation that a turn of `most` tokens needs, advances included;
  // nothing if the budget does not hold it, judged by the last known row.
  std::optional<BudgetReservation> NextReservation(const std::string& program,
                                                   std::int64_t most) const;
  // The reservation that makes advances durable; nothing if there are none.
  std::optional<BudgetReservation> Settlement(const std::string& program) const;
  // Takes out what the program has not used here and returns the reservation
  // that gives it back; nothing if it may keep it. Lost unless it is written.
  std::optional<BudgetReservation> TakeReturn(const std::string& program,
                                              base::TimePoint now);
  // The reservation is durable as `version`.
  void Reserved(const std::string& program,
                const BudgetReservation& reservation,
                std::uint64_t version);
  // The row as read from the store.
  void Observe(const std::string& program, const BudgetRow& row);

  // Advances what a turn of `most` tokens lacks, where another entry has
  // already advanced `advanced` tokens. Returns whether it may.
  bool Advance(const std::string& program,
               std::int64_t most,
               std::int64_t advanced);
  // Takes out all that is reserved here and not in use, for another entry.
  std::int64_t TakeUnused(const std::string& program);
  // Whether what is reserved here covers a turn of `most` tokens.
  bool Covers(const std::string& program, std::int64_t most) const;
  // Another entry has handed over `tokens` of its own.
  void Receive(const std::string& program, std::int64_t tokens);
  // Another entry knows that `reserved` tokens are reserved in all.
  void ObserveReserved(const std::string& program,
                       std::int64_t reserved,
                       base::TimePoint now);

  // Reserved tokens as last known, advances included; zero if unknown.
  std::int64_t reserved(const std::string& program) const;
  // Advanced by this entry and not durable.
  std::int64_t unsettled(const std::string& program) const;
  // Programs with advances that are not durable.
  std::vector<std::string> Unsettled() const;
  // Programs that have something to give back.
  std::vector<std::string> Returnable(base::TimePoint now) const;

  // Program that is no longer remembered, and its row as last seen.
  struct Forgotten {
    std::string program;
    std::uint64_t row_version = 0;
  };
  // Forgets programs without a turn in progress since `before`.
  std::vector<Forgotten> Forget(base::TimePoint before);
  std::size_t size() const { return programs_.size(); }

 private:
  struct Program {
    std::int64_t budget = 0;
    // Reserved by this entry and not handed out.
    std::int64_t available = 0;
    // Advanced and not yet durable.
    std::int64_t unsettled = 0;
    BudgetRow row;
    // Most tokens of the latest turn.
    std::int64_t most = 0;
    int open_turns = 0;
    base::TimePoint used{};

    std::int64_t left() const { return budget - row.reserved - unsettled; }
  };

  const Program& At(const std::string& program) const;
  bool MayReturn(const Program& entry, base::TimePoint now) const;

  BudgetSettings settings_;
  bool advances_lost_ = false;
  bool stopping_ = false;
  std::map<std::string, Program> programs_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_BOOK_H_
