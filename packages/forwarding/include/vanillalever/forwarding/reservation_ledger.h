#ifndef VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_
#define VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Settings of ReservationLedger.
struct BudgetSettings {
  // Turns that one reservation covers while most of the budget is left.
  std::int64_t turns_per_reservation = 3;
  // A reservation takes at most 1/prereserve_divisor of the remaining budget
  // for later turns: what a killed gateway had reserved counts as spent.
  std::int64_t prereserve_divisor = 4;
  // While the store is unavailable, at most 1/provisional_divisor of the budget
  // is granted provisionally beyond one turn: such grants are lost if all
  // gateways that know of them are killed before the store is available again.
  std::int64_t provisional_divisor = 6;
  // Tokens that a program has not used for this long are released while its
  // budget is low: its next turn may arrive at another gateway.
  base::milliseconds release_after{500};
  // A stopping gateway releases the tokens of programs that were active within
  // this time: the turns of a program are rarely further apart.
  base::seconds release_window_when_stopping{10};
  // The budget is low while it covers fewer than this many turns.
  std::int64_t low_budget_turns = 3;
};

// Row of the shared table that records a program's reservations.
struct BudgetRow {
  // Tokens reserved by all gateways since the program began.
  std::int64_t reserved = 0;
  // Version of the row; zero if it does not exist.
  std::uint64_t version = 0;
  // Id of the reservation that wrote the row.
  std::string writer;
};

// A reservation to be written on condition that the row still has
// `expected_version`.
struct BudgetReservation {
  std::uint64_t expected_version = 0;
  // New total of the row.
  std::int64_t reserved = 0;
  // Part of the total that this gateway may grant once the row is durable.
  std::int64_t new_tokens = 0;
  // Part of the total that was granted provisionally before.
  std::int64_t committed = 0;
};

// Whether a turn may begin.
enum class BudgetVerdict {
  kGranted,           // covered by what this gateway has reserved
  kNeedsReservation,  // needs a reservation or a provisional grant
  kSpent,             // the remaining budget does not cover the turn
};

// Token reservations of the programs that this gateway serves. Tokens are
// granted from reservations that are durable in the shared table; what a
// gateway had reserved when it failed counts as spent. While the store is
// unavailable a small number of tokens is granted provisionally and committed
// when the store is available again. Does no I/O. Not thread-safe.
class ReservationLedger {
 public:
  explicit ReservationLedger(BudgetSettings settings = {});

  // Set while provisional grants may have been lost with the processes that
  // made them: the maximum that could have been granted counts as spent for
  // programs that begin a turn.
  void SetProvisionalGrantsLost(bool lost) { grants_lost_ = lost; }

  // The process stops: tokens that are not in use become releasable.
  void SetStopping() { stopping_ = true; }

  // Begins a turn that generates at most `max_tokens` tokens. On kGranted the
  // tokens are taken until End().
  BudgetVerdict Begin(const std::string& program,
                      std::int64_t budget,
                      std::int64_t max_tokens,
                      base::TimePoint now);
  // A granted turn ended after `used` of its `max_tokens` tokens.
  void End(const std::string& program,
           std::int64_t max_tokens,
           std::int64_t used);

  // The reservation that a turn of `max_tokens` needs, which also commits
  // provisional grants; nothing if the remaining budget of the last known row
  // does not cover it.
  std::optional<BudgetReservation> NextReservation(
      const std::string& program,
      std::int64_t max_tokens) const;
  // The reservation that commits provisional grants; nothing if there are none.
  std::optional<BudgetReservation> ProvisionalCommit(
      const std::string& program) const;
  // Takes the program's unused tokens and returns the reservation that releases
  // them; nothing if they are not releasable. The tokens are lost unless the
  // reservation is written.
  std::optional<BudgetReservation> TakeRelease(const std::string& program,
                                               base::TimePoint now);
  // The reservation is durable as `version`.
  void ConfirmReservation(const std::string& program,
                          const BudgetReservation& reservation,
                          std::uint64_t version);
  // Applies the row as read from the store.
  void UpdateRow(const std::string& program, const BudgetRow& row);

  // Grants provisionally what a turn of `max_tokens` lacks, where another
  // gateway has already granted `granted_elsewhere` tokens provisionally.
  // Returns false if the limit or the remaining budget forbids it.
  bool GrantProvisionally(const std::string& program,
                          std::int64_t max_tokens,
                          std::int64_t granted_elsewhere);
  // Part of a budget that any gateway may reserve while other gateways may hold
  // provisional grants; these come out of the rest.
  std::int64_t OrdinaryShare(std::int64_t budget) const {
    return budget - budget / settings_.provisional_divisor;
  }
  // Takes all tokens that are reserved here and not in use, for another
  // gateway.
  std::int64_t TakeUnused(const std::string& program);
  // Whether the tokens reserved here cover a turn of `max_tokens`.
  bool Covers(const std::string& program, std::int64_t max_tokens) const;
  // Another gateway has transferred `tokens` of its reservations.
  void AddTokens(const std::string& program, std::int64_t tokens);
  // Another gateway knows of a total of `reserved` tokens.
  void UpdateReserved(const std::string& program,
                      std::int64_t reserved,
                      base::TimePoint now);

  // Total tokens reserved as last known, provisional grants of this gateway
  // included; zero if unknown.
  std::int64_t reserved(const std::string& program) const;
  // Tokens granted provisionally by this gateway and not yet committed.
  std::int64_t uncommitted(const std::string& program) const;
  // Programs with provisional grants that are not yet committed.
  std::vector<std::string> UncommittedPrograms() const;
  // Programs with releasable tokens.
  std::vector<std::string> Releasable(base::TimePoint now) const;

  // A program removed from the ledger, and its row as last seen.
  struct RemovedProgram {
    std::string program;
    std::uint64_t row_version = 0;
  };
  // Removes programs without open turns and uncommitted tokens that were last
  // used before `before`.
  std::vector<RemovedProgram> RemoveIdle(base::TimePoint before);
  std::size_t size() const { return programs_.size(); }

 private:
  struct ProgramRecord {
    std::int64_t budget = 0;
    // Tokens reserved by this gateway and not granted to a turn.
    std::int64_t available = 0;
    // Tokens granted provisionally and not yet committed.
    std::int64_t uncommitted = 0;
    BudgetRow row;
    // Maximum tokens of the latest turn.
    std::int64_t max_tokens = 0;
    int open_turns = 0;
    base::TimePoint last_used{};

    std::int64_t remaining() const {
      return budget - row.reserved - uncommitted;
    }
  };

  // The program must be known.
  const ProgramRecord& Find(const std::string& program) const;
  bool CanRelease(const ProgramRecord& record, base::TimePoint now) const;

  BudgetSettings settings_;
  bool grants_lost_ = false;
  bool stopping_ = false;
  std::map<std::string, ProgramRecord> programs_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_
