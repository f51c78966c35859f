#ifndef VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
#define VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/budget_book.h"
#include "vanillalever/forwarding/budget_peers.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Answer to a turn that asks for tokens.
enum class BudgetAnswer {
  kGranted,      // call End() when the turn is over
  kSpent,        // the budget does not hold the turn
  kUnavailable,  // neither the store nor another entry can grant it now
};

inline constexpr base::NameTable<BudgetAnswer, 3> kBudgetAnswerNames({
    "granted",
    "spent",
    "unavailable",
});

// Makes the reservations of BudgetBook durable in the shared table, one write
// per program at a time. When the store does not answer in time, one entry per
// program, the same for all, advances tokens. Event loop's thread only.
class BudgetService final : public BudgetHandler {
 public:
  using Callback = std::function<void(BudgetAnswer)>;

  BudgetService(boost::asio::io_context& context,
                SharedTable& table,
                BudgetPeers& peers,
                std::uint64_t seed,
                BudgetSettings settings = {});

  // Asks for a turn of at most `most` tokens. The callback may run inside the
  // call.
  void Begin(const std::string& program,
             std::int64_t budget,
             std::int64_t most,
             Callback callback);
  void End(const std::string& program, std::int64_t most, std::int64_t used);

  void OnAsk(const BudgetAsk& ask,
             std::function<void(const BudgetGive&)> reply) override;
  void OnGive(const BudgetGive& give) override;
  void OnCallIn(const BudgetCallIn& call,
                std::function<void(const BudgetGive&)> reply) override;

  // Processes that may have advanced tokens have ended without making them
  // durable: for `duration` what could have been advanced counts as spent.
  void OnProvisionalGrantsLost(base::Duration duration);
  // The process stops: gives back what its programs do not use.
  void OnStopping() { book_.SetStopping(); }
  // Whether the store was slow or away when last asked.
  bool store_suspect() const;

  // Makes advances durable when the store answers again, and gives back what
  // is not used. Call it often.
  void CommitAndRelease();
  // Forgets programs that have been idle for `retention` and deletes their rows
  // unless another entry has written them since.
  void Sweep(base::Duration retention);

  std::size_t programs() const { return book_.size(); }

 private:
  struct Waiter {
    std::int64_t budget = 0;
    std::int64_t most = 0;
    Callback callback;
    // Waits for another entry, which must not be asked again: this entry
    // advances the tokens itself.
    bool for_peer = false;
    // Advanced by another entry and not durable, as far as known.
    std::int64_t advanced = 0;
  };
  struct Pending {
    std::deque<Waiter> waiters;
    // A call to the store is under way.
    bool storing = false;
    // Identity of the latest ask to another entry; zero if none is open.
    std::uint64_t ask = 0;
    // Failed ways in a row.
    int failures = 0;
    // Counts the uses of the timer.
    std::uint64_t timer = 0;
  };

  // Latest call for a program's unused tokens.
  struct CallIn {
    std::uint64_t id = 0;
    base::TimePoint started{};
    // Entries that have answered: a repeated datagram must not count twice.
    std::set<std::uint64_t> givers;
    std::int64_t brought = 0;
  };

  // Calls for the unused tokens of other entries, and goes on with the waiters
  // when they have had time to answer. Returns false if there is no hope.
  bool StartCallIn(const std::string& program);
  // Another entry has handed over what it did not use.
  void OnCalledIn(CallIn& call, const BudgetGive& give);
  // Advances by other entries that were not durable when last heard of.
  std::int64_t AdvancedElsewhere(const std::string& program) const;
  void Enqueue(const std::string& program, Waiter waiter);
  // Takes the next way to tokens for the waiters.
  void Obtain(const std::string& program);
  void Reserve(const std::string& program, const BudgetReservation& next);
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
  // Tokens from this or another entry instead of the store.
  void Borrow(const std::string& program);
  // Answers the waiters that the book can answer now, and goes on for the
  // others.
  void Continue(const std::string& program);
  // Answers them without obtaining more. Returns whether none is left.
  bool AnswerWaiters(const std::string& program);
  void OnStoreFailure(const std::string& program,
                      std::string_view step,
                      const std::string& reason);
  void FailWaiters(const std::string& program, std::string_view reason);
  void After(const std::string& program,
             base::Duration delay,
             std::function<void()> action);
  void NoteStoreCall(base::TimePoint started, bool done);

  boost::asio::io_context& context_;
  SharedTable& table_;
  BudgetPeers& peers_;
  BudgetBook book_;
  base::Random random_;
  std::uint64_t next_ask_;
  // Programs with waiters or with a call under way.
  std::map<std::string, Pending> pending_;
  std::map<std::string, CallIn> call_ins_;
  // Until then the store is taken to be away or slow.
  base::TimePoint suspect_until_{};
  base::TimePoint advances_lost_until_{};
  // Advances by others that were not durable when last heard of, by program.
  std::map<std::string, std::int64_t> advanced_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
