#ifndef VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_
#define VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_

#include <cstdint>
#include <optional>

namespace vanillalever::program {

// How the previous owner's ownership of a program ended.
enum class OwnershipEnd {
  kCrashed,     // attempts may have been dispatched since its last commit
  kHandedOver,  // everything was settled and committed first
};

// Ledger state as stored in the program's head row. All amounts are in tokens.
struct BudgetSnapshot {
  // Maximum that the program and its children may spend.
  std::int64_t limit = 0;
  // Settled cost, including the cost of children that have ended.
  std::int64_t spent = 0;
  // Reservations of open attempts plus the allowance for the next call.
  std::int64_t held = 0;
  // Shares of children that have not ended.
  std::int64_t shared = 0;

  bool operator==(const BudgetSnapshot&) const = default;
};

// Budget of one program, in tokens. At all times spent + reserved + shared is
// at most the limit, and no amount is negative.
//
// The ledger also tracks the durable ceiling, which is spent + held of the
// stored head row. Recovery after a crash counts all of it as spent, so work
// may be dispatched without a commit while spent + reserved does not exceed it.
class BudgetLedger {
 public:
  // Creates the ledger of a new program, of which nothing is durable yet.
  explicit BudgetLedger(std::int64_t limit);

  // Recovers a ledger from a row. `open_intents` is the part of `held` that
  // belongs to intents that are still to be settled. After a crash the rest of
  // `held` counts as spent; after a hand-over nothing was dispatched under it,
  // so it becomes available. Throws base::Error if the amounts are
  // inconsistent.
  static BudgetLedger Recover(
      const BudgetSnapshot& snapshot,
      std::int64_t open_intents,
      OwnershipEnd ownership_end = OwnershipEnd::kCrashed);

  std::int64_t limit() const { return limit_; }
  std::int64_t spent() const { return spent_; }
  std::int64_t reserved() const { return reserved_; }
  std::int64_t shared() const { return shared_; }
  // Amount that a new reservation or share may use.
  std::int64_t available() const {
    return limit_ - spent_ - reserved_ - shared_;
  }
  // Settled cost that exceeded the limit and is not included in spent().
  std::int64_t overrun() const { return overrun_; }

  // Reserves the worst-case cost of an attempt; throws base::Error
  // (kBudgetExhausted at kReserve) when it does not fit.
  void Reserve(std::int64_t worst_case);
  // Replaces a reservation by the actual cost. A cost above the reservation
  // uses what is available; the rest is counted as overrun.
  void Settle(std::int64_t reservation, std::int64_t actual);
  // Counts the whole reservation as spent, for an attempt of unknown outcome.
  void ChargeInFull(std::int64_t reservation);
  // Makes the reservation available again, for an attempt that did not run.
  void Release(std::int64_t reservation);

  // Allocates a child's budget; throws base::Error (kBudgetExhausted at
  // kReserve) when it does not fit.
  void AllocateShare(std::int64_t share);
  // Counts the cost of a child that has ended as spent and makes the rest of
  // its share available.
  void ReturnShare(std::int64_t share, std::int64_t child_spent);

  // Whether spent + reserved is within the durable ceiling, whether or not a
  // commit in progress takes effect.
  bool covered() const;
  // Whether a further reservation would be covered.
  bool covers(std::int64_t worst_case) const;

  // Returns the state to commit, with up to `allowance` held for the next call,
  // bounded by what is available.
  BudgetSnapshot BeginCommit(std::int64_t allowance);
  void CommitApplied();
  void CommitRejected();

 private:
  // Throws base::Error (kInternal) if an invariant is broken.
  void Check() const;

  // See the accessors.
  std::int64_t limit_ = 0;
  std::int64_t spent_ = 0;
  std::int64_t reserved_ = 0;
  std::int64_t shared_ = 0;
  std::int64_t overrun_ = 0;
  // spent + held of the stored head row; zero before the first commit.
  std::int64_t durable_ceiling_ = 0;
  // spent + held of a commit in progress.
  std::optional<std::int64_t> pending_ceiling_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_
