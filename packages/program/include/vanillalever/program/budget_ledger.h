#ifndef VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_
#define VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_

#include <cstdint>
#include <optional>

namespace vanillalever::program {

// How the former owner of a program ended its ownership.
enum class OwnershipEnd {
  kCrashed,     // calls may have been dispatched since its last commit
  kHandedOver,  // everything was settled and committed before
};

// Durable form of a ledger, as stored in the program's head row. All amounts
// are in tokens.
struct BudgetSnapshot {
  // Most that the program and its children may spend.
  std::int64_t limit = 0;
  // Settled cost, including the cost of children that have ended.
  std::int64_t spent = 0;
  // Reserved for open attempts plus the allowance for the next call.
  std::int64_t held = 0;
  // Shares of children that have not ended.
  std::int64_t shared = 0;

  bool operator==(const BudgetSnapshot&) const = default;
};

// Budget of one program, in tokens. At all times spent + reserved + shared is
// at most the limit, and no amount is negative.
//
// The ledger also knows what the stored head row promises. The row's
// spent + held is the durable ceiling; recovery counts the whole of it as
// spent. Work may therefore be dispatched without a commit while
// spent + reserved stays at or below the ceiling.
class BudgetLedger {
 public:
  // Ledger of a new program; nothing is durable yet.
  explicit BudgetLedger(std::int64_t limit);

  // Ledger recovered from a row. `open_intents` is the part of `held` that
  // belongs to intents which are still to be settled. After a crash the rest of
  // `held` counts as spent; after a hand-over nothing was dispatched under it,
  // and it is available again. Throws base::Error if the amounts contradict one
  // another.
  static BudgetLedger Recover(const BudgetSnapshot& image,
                              std::int64_t open_intents,
                              OwnershipEnd former = OwnershipEnd::kCrashed);

  std::int64_t limit() const { return limit_; }
  std::int64_t spent() const { return spent_; }
  std::int64_t reserved() const { return reserved_; }
  std::int64_t shared() const { return shared_; }
  // What a new reservation or share may take.
  std::int64_t available() const {
    return limit_ - spent_ - reserved_ - shared_;
  }
  // Settled cost above the reservation that the limit could not cover.
  std::int64_t overrun() const { return overrun_; }

  // Reserves the worst-case cost of an attempt; throws base::Error
  // (kBudgetExhausted at kReserve) when it does not fit.
  void Reserve(std::int64_t worst_case);
  // Replaces a reservation by the actual cost. A cost above the reservation
  // takes what is available; the rest is counted as overrun.
  void Settle(std::int64_t reservation, std::int64_t actual);
  // The outcome is unknown: the whole reservation counts as spent.
  void ChargeInFull(std::int64_t reservation);
  // The attempt did not run: the reservation becomes available again.
  void Release(std::int64_t reservation);

  // Allocates a child's budget; throws base::Error (kBudgetExhausted at
  // kReserve) when it does not fit.
  void AllocateShare(std::int64_t share);
  // The child has ended: its cost counts as spent, the rest becomes available.
  void ReturnShare(std::int64_t share, std::int64_t child_spent);

  // Whether everything spent and reserved is covered by the durable ceiling
  // under either result of a commit in progress.
  bool covered() const;
  // Whether a further reservation would be covered.
  bool covers(std::int64_t worst_case) const;

  // Image for the next commit with up to `allowance` set aside for the next
  // call, bounded by what is available.
  BudgetSnapshot BeginCommit(std::int64_t allowance);
  // The commit took effect.
  void CommitApplied();
  // The commit did not take effect.
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
  // spent + held of the stored row; zero before the first commit.
  std::int64_t durable_ceiling_ = 0;
  // spent + held of a commit in progress.
  std::optional<std::int64_t> pending_ceiling_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_BUDGET_LEDGER_H_
