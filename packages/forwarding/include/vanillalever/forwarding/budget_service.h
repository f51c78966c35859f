#ifndef VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
#define VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/budget_peers.h"
#include "vanillalever/forwarding/loop_timer.h"
#include "vanillalever/forwarding/reservation_ledger.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Result of requesting the tokens of a turn.
enum class BudgetOutcome {
  kGranted,      // call End() when the turn is over
  kSpent,        // the remaining budget does not cover the turn
  kUnavailable,  // neither the store nor another gateway can grant it now
};

inline constexpr base::NameTable<BudgetOutcome, 3> kBudgetOutcomeNames({
    "granted",
    "spent",
    "unavailable",
});

// A turn that needs tokens.
struct TokenDemand {
  std::int64_t budget = 0;
  // Most tokens that the turn generates.
  std::int64_t max_tokens = 0;
  // The turn waits this long for a store that is unavailable to all gateways.
  base::TimePoint wait_until{};
};

// Obtains tokens for turns by the rules of ReservationLedger: writes its
// reservations to the shared table, one write per program at a time, and
// requests unused tokens of other gateways. Event loop's thread only.
class BudgetService final : public BudgetHandler {
 public:
  using Callback = std::function<void(BudgetOutcome)>;

  BudgetService(LoopTimer& timer,
                SharedTable& table,
                BudgetPeers& peers,
                std::uint64_t seed,
                BudgetSettings settings = {});

  // Requests the tokens of a turn. The callback may run inside the call.
  void Begin(const std::string& program,
             const TokenDemand& demand,
             Callback callback);
  void End(const std::string& program,
           std::int64_t max_tokens,
           std::int64_t used);

  void OnReclaimRequest(
      const ReclaimRequest& request,
      std::function<void(const TokenTransfer&)> reply) override;
  void OnTokenTransfer(const TokenTransfer& transfer) override;
  void OnRowNotice(const RowNotice& notice) override;

  // The process stops: returns the tokens that its programs do not use.
  void OnStopping();

  // Writes claims when the store is available again, and returns unused
  // tokens. Call periodically.
  void Tick();
  // Removes programs that have been idle for `retention` and deletes their rows
  // unless another gateway has written them since.
  void Sweep(base::Duration retention);

  std::size_t programs() const { return ledger_.size(); }

 private:
  struct Waiter {
    TokenDemand demand;
    Callback callback;
  };
  struct Pending {
    std::deque<Waiter> waiters;
    // A call to the store is in progress.
    bool store_call_open = false;
    // Consecutive times that waiters waited for the store.
    int store_waits = 0;
    // Identifies the latest use of the timer.
    std::uint64_t timer = 0;
  };

  // Requests of one program for the unused tokens of other gateways.
  struct Reclaim {
    // Id of the latest request.
    std::uint64_t id = 0;
    base::TimePoint started{};
    std::int64_t received_tokens = 0;
    // Gateways that the latest request was sent to.
    std::size_t asked = 0;
    // Tokens that the latest request claims; zero once it is refused or late.
    std::int64_t claim = 0;
    // Gateways that replied, by request: a duplicated datagram must not count
    // twice, and a late one still brings its tokens.
    std::map<std::uint64_t, std::set<RunId>> replies;
    // When the row was last read to confirm that the budget is spent.
    base::TimePoint confirmed{};
  };

  // Completes the waiters that the ledger can decide now, and obtains tokens
  // for the others.
  void ProcessWaiters(const std::string& program);
  // Completes waiters without obtaining tokens. Returns whether no remaining
  // waiter needs tokens now.
  bool CompleteWaiters(const std::string& program);
  // Obtains tokens for the waiters from the store or, while no gateway reaches
  // it, from the other gateways.
  void ObtainTokens(const std::string& program);
  void ObtainWithoutStore(const std::string& program);
  // Asks the other gateways and the store whether tokens are left. Returns
  // whether an answer is outstanding.
  bool ConfirmSpent(const std::string& program);
  // Whether another gateway may hold tokens that cover the turn and that it
  // cannot transfer now: it is silent, or its claim is not yet written.
  bool MayBeHeldElsewhere(const std::string& program,
                          std::int64_t max_tokens) const;
  // Waits for the store call in progress, or before the next one.
  void WaitForStore(const std::string& program, base::Duration delay);
  void FailWaiters(const std::string& program, std::string_view reason);
  // Runs `action` after `delay` unless the program's timer is used again or no
  // waiter is left.
  void RunAfter(const std::string& program,
                base::Duration delay,
                std::function<void()> action);

  // Requests the unused tokens of other gateways, or claims tokens, and
  // processes the waiters after the time allowed for replies. Returns false if
  // the latest request brought no tokens or there are no other gateways.
  bool StartReclaim(const std::string& program);
  // Whether tokens of the program may be claimed now.
  bool MayClaim(const std::string& program) const;
  void GrantClaim(const std::string& program, std::int64_t tokens);
  // Whether this gateway accepts the claim of a request.
  bool AcceptClaim(const ReclaimRequest& request);
  // Not all gateways accept the claim of the latest request.
  void VoidClaim(const std::string& program);
  void OnClaimReply(Reclaim& reclaim, const TokenTransfer& transfer);
  void CompleteIfCovered(const std::string& program);

  void Write(const std::string& program, const BudgetReservation& next);
  void OnWritten(const std::string& program,
                 const BudgetReservation& reservation,
                 const WriteResult& result);
  void ReadRow(const std::string& program);
  void OnStoreFailure(const std::string& program,
                      std::string_view step,
                      const std::string& reason);
  // Lists the programs that have rows: at the start, and after the loss of
  // another gateway. Before, the process makes and accepts no claims, as a run
  // that has ended may have granted tokens of programs that it does not know.
  void ListKnown();
  void ListPartition(std::uint64_t partition);
  // Whether all runs that knew of a claim may have ended.
  bool ClaimsMayBeLost() const;
  void WriteClaims();
  void ReturnUnused();

  LoopTimer& timer_;
  SharedTable& table_;
  BudgetPeers& peers_;
  BudgetSettings settings_;
  ReservationLedger ledger_;
  base::Random random_;
  std::uint64_t next_request_id_;
  // Programs with waiters or with a store call in progress.
  std::map<std::string, Pending> pending_;
  std::map<std::string, Reclaim> reclaims_;
  const base::TimePoint started_;
  // This process started in an outage: until then others may hold claims that
  // it has not heard of.
  base::TimePoint claims_unheard_until_{};
  // Start of the latest complete listing; the epoch if there was none.
  base::TimePoint listed_at_{};
  // The listing in progress, and its partitions that have not been read.
  base::TimePoint listing_since_{};
  std::uint64_t unlisted_ = 0;
  base::TimePoint next_listing_{};
  bool stopping_ = false;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
