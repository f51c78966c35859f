#ifndef VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_
#define VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/budget_peers.h"
#include "vanillalever/forwarding/budget_row.h"

namespace vanillalever::forwarding {

// Settings of ReservationLedger.
struct BudgetSettings {
  // Turns that one reservation covers while most of the budget is left.
  std::int64_t turns_per_reservation = 3;
  // A reservation takes at most 1/prereserve_divisor of the remaining budget
  // for later turns: what a killed gateway had reserved counts as spent.
  std::int64_t prereserve_divisor = 4;
  // Other gateways whose shares are filled when the program begins, so that it
  // is served while the store is unavailable.
  std::size_t standby_runs = 2;
  // Most turns that such a share covers.
  std::int64_t standby_turns = 2;
  // Such a share takes at most 1/standby_divisor of what is left.
  std::int64_t standby_divisor = 4;
  // Without the store a gateway may claim one turn and 1/claim_divisor of the
  // budget of a program that no gateway knows.
  std::int64_t claim_divisor = 6;
  // Tokens that a program has not used for this long are returned while its
  // budget is low: its next turn may arrive at another gateway.
  base::milliseconds release_after{500};
  // A stopping gateway returns the tokens of programs that were active within
  // this time: the turns of a program are rarely further apart.
  base::seconds release_window_when_stopping{10};
  // The budget is low while it covers fewer than this many turns.
  std::int64_t low_budget_turns = 3;
};

// A row to be written on condition that it still has `expected_version`.
struct BudgetReservation {
  std::uint64_t expected_version = 0;
  BudgetRow row;
  // Other runs whose shares it changes.
  std::vector<RunId> changed;
};

// Whether a turn may begin.
enum class BudgetVerdict {
  kGranted,           // covered by this gateway's share
  kNeedsReservation,  // needs tokens from the store or another gateway
  kSpent,             // the remaining budget does not cover the turn
};

// Shares of the budgets of programs, as docs/PLATFORM.md sets out under "Who
// may grant tokens": a run grants tokens out of its share only, and a share
// comes from the row in the store, from another gateway that gives up the same
// tokens, or from a claim that all gateways have accepted. The share of a run
// that has ended counts as spent. Answers turns at any gateway in outages of
// the store and losses of gateways. Does no I/O. Not thread-safe.
class ReservationLedger {
 public:
  explicit ReservationLedger(RunId run, BudgetSettings settings = {});

  // Set while all runs that knew of a claim may have ended: a new row counts
  // the largest claim as spent.
  void SetClaimsLost(bool lost) { claims_lost_ = lost; }

  // The program has a row.
  void AddKnown(const std::string& program);
  void ForgetKnown() { known_.clear(); }

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

  // The row that a turn of `max_tokens` needs, with the claims that are not yet
  // in it and shares for `standby`; nothing if the remaining budget of the last
  // known row does not cover the turn.
  std::optional<BudgetReservation> NextReservation(
      const std::string& program,
      std::int64_t max_tokens,
      const std::vector<RunId>& standby) const;
  // The row with the claims that are not yet in it.
  std::optional<BudgetReservation> ClaimWrite(const std::string& program) const;
  // Takes the program's unused tokens and makes the row that returns them;
  // nothing if they are not releasable. They are available again once it is
  // certain that it was not written and will not be.
  std::optional<BudgetReservation> TakeRelease(const std::string& program,
                                               base::TimePoint now);
  // The same row again, while it is not known whether it was written: the
  // condition of both lets only one of them be. Nothing otherwise.
  std::optional<BudgetReservation> RepeatRelease(
      const std::string& program) const;
  // The outcome of the last write is not known. From now on only a later row
  // tells whether a release was written: also once the row has been read
  // without it, or another copy was refused.
  void OnUnknown(const std::string& program);
  // The last write was refused and will never be done. An earlier one whose
  // outcome is unknown may be.
  void OnRefused(const std::string& program);
  // Applies a row of the store. Older rows than the known one are ignored.
  void ApplyRow(const std::string& program, const BudgetRow& row);
  // The row does not exist any more; the known reservations remain.
  void OnRowRemoved(const std::string& program);

  // What to tell other gateways of the program.
  BudgetKnowledge Knowledge(const std::string& program) const;
  bool Knows(const std::string& program) const;
  // Applies what another gateway knows.
  void Merge(const std::string& program,
             const BudgetKnowledge& knowledge,
             base::TimePoint now);

  // Tokens to claim for a turn of `max_tokens`.
  std::int64_t ClaimSize(const std::string& program) const;
  // Another run claims tokens of the program.
  void AddClaim(const std::string& program, RunId run, std::int64_t tokens);
  // All gateways have accepted this run's claim.
  void GrantClaim(const std::string& program, std::int64_t tokens);
  // This run's claim was not accepted by all: no token of it was granted, but
  // those that accepted it count it.
  void VoidClaim(const std::string& program);
  // Programs with claims that are not yet in their rows.
  std::vector<std::string> UnwrittenClaims() const;
  // Whether this run is to write its own claim, or that it is void.
  bool HasOwnClaim(const std::string& program) const;
  // Other runs with unwritten claims.
  std::vector<RunId> Claimants(const std::string& program) const;

  // Takes up to `most` tokens of this run's share that are not in use, for
  // another gateway.
  std::int64_t TakeUnused(const std::string& program, std::int64_t most);
  // Whether this run's share covers a turn of `max_tokens`.
  bool Covers(const std::string& program, std::int64_t max_tokens) const;
  // Run `from` has transferred tokens of its share.
  void AddTokens(const std::string& program, RunId from, std::int64_t tokens);

  // Total tokens reserved as last known, unwritten claims included; zero if
  // unknown.
  std::int64_t reserved(const std::string& program) const;
  // Whether tokens are in a release whose outcome is not known.
  bool ReleaseInDoubt(const std::string& program) const;
  // Tokens of this run's share that are not granted.
  std::int64_t available(const std::string& program) const;
  // Programs with releasable tokens.
  std::vector<std::string> Releasable(base::TimePoint now) const;
  // Programs with tokens here of which no turn arrived here.
  std::vector<std::string> UnusedStandby() const;

  // A program removed from the ledger.
  struct RemovedProgram {
    std::string program;
    // Version of its row if this run wrote it last; otherwise zero.
    std::uint64_t row_version = 0;
  };
  // Removes programs without open turns and unwritten claims that were last
  // used before `before`.
  std::vector<RemovedProgram> RemoveIdle(base::TimePoint before);
  std::size_t size() const { return programs_.size(); }

 private:
  struct ProgramRecord {
    std::int64_t budget = 0;
    // Tokens of this run's share that are not granted to a turn.
    std::int64_t available = 0;
    // Tokens of the release in progress.
    std::int64_t releasing = 0;
    // It may have been written, or may still be.
    bool release_in_doubt = false;
    // When it was last written.
    base::TimePoint release_written{};
    BudgetRow row;
    // Claims that are not known to be in the row; this run's among them.
    std::map<RunId, std::int64_t> claims;
    // This run made a claim that is void.
    bool claim_void = false;
    // Another gateway counts the void claim until a row tells otherwise.
    bool claim_counted = false;
    // Tokens that other runs transferred since their shares were last filled.
    std::map<RunId, std::int64_t> borrowed;
    // Maximum tokens of the latest turn here; zero if there was none.
    std::int64_t max_tokens = 0;
    int open_turns = 0;
    base::TimePoint last_used{};

    std::int64_t unwritten() const;
  };

  const ProgramRecord* Find(const std::string& program) const;
  std::int64_t Remaining(const ProgramRecord& record) const;
  // Tokens of claims that may have ended with all runs that knew of them.
  std::int64_t LostClaims(const ProgramRecord& record) const;
  // The next row before any tokens are added: with all claims.
  BudgetReservation StartReservation(const ProgramRecord& record) const;
  void AddStandby(const ProgramRecord& record,
                  const std::vector<RunId>& standby,
                  std::int64_t left,
                  BudgetReservation* reservation) const;
  // The row that returns the tokens of the release in progress.
  BudgetReservation ReleaseRow(const ProgramRecord& record) const;
  // Applies what the row's share of this run says.
  void ApplyShare(const BudgetRow& row,
                  const BudgetShare& share,
                  ProgramRecord* record);
  bool CanRelease(const ProgramRecord& record, base::TimePoint now) const;

  RunId run_;
  BudgetSettings settings_;
  bool claims_lost_ = false;
  bool stopping_ = false;
  std::map<std::string, ProgramRecord> programs_;
  // Hashes of the programs that had rows when they were listed.
  std::unordered_set<std::uint64_t> known_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RESERVATION_LEDGER_H_
