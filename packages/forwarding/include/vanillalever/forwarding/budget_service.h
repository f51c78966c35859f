#ifndef VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
#define VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/budget_book.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Answer to a turn that asks for tokens.
enum class BudgetAnswer {
  kGranted,      // call End() when the turn is over
  kSpent,        // the budget does not hold the turn
  kUnavailable,  // the store cannot be asked now
};

inline constexpr base::NameTable<BudgetAnswer, 3> kBudgetAnswerNames({
    "granted",
    "spent",
    "unavailable",
});

// Makes the reservations of BudgetBook durable in the shared table, one write
// per program at a time. Event loop's thread only.
class BudgetService {
 public:
  using Callback = std::function<void(BudgetAnswer)>;

  BudgetService(boost::asio::io_context& context,
                SharedTable& table,
                std::uint64_t seed,
                BudgetSettings settings = {});

  // Asks for a turn of at most `most` tokens. The callback may run inside the
  // call.
  void Begin(const std::string& program,
             std::int64_t budget,
             std::int64_t most,
             Callback callback);
  void End(const std::string& program, std::int64_t most, std::int64_t used);

  // Forgets programs that have been idle for `retention` and deletes the rows
  // that this process wrote.
  void Sweep(base::Duration retention);

  std::size_t programs() const { return book_.size(); }

 private:
  struct Waiter {
    std::int64_t budget = 0;
    std::int64_t most = 0;
    Callback callback;
  };
  struct Pending {
    std::deque<Waiter> waiters;
    // Failed calls in a row.
    int failures = 0;
  };

  void Reserve(const std::string& program);
  void OnWritten(const std::string& program,
                 const BudgetReservation& reservation,
                 const std::string& writer,
                 const WriteResult& result);
  void ReadBack(const std::string& program,
                const BudgetReservation& reservation,
                const std::string& writer);
  // Takes over the row. Returns whether `writer`'s reservation wrote it.
  bool TakeRow(const std::string& program,
               const TableRow& row,
               const std::string& writer);
  // Answers the waiters that the book can answer now, and writes the next
  // reservation for the others.
  void Continue(const std::string& program);
  void OnFailure(const std::string& program, std::string_view step);

  boost::asio::io_context& context_;
  SharedTable& table_;
  BudgetBook book_;
  base::Random random_;
  // Programs with a reservation under way.
  std::map<std::string, Pending> pending_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
