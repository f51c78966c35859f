#ifndef VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
#define VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

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

// Writes the reservations of ReservationLedger to the shared table, one write
// per program at a time. While the store does not respond in time, tokens are
// granted provisionally by the program's coordinator, a gateway that all
// gateways choose alike. Event loop's thread only.
class BudgetService final : public BudgetHandler {
 public:
  using Callback = std::function<void(BudgetOutcome)>;

  BudgetService(LoopTimer& timer,
                SharedTable& table,
                BudgetPeers& peers,
                std::uint64_t seed,
                BudgetSettings settings = {});

  // Requests a turn of at most `max_tokens` tokens. The callback may run inside
  // the call.
  void Begin(const std::string& program,
             std::int64_t budget,
             std::int64_t max_tokens,
             Callback callback);
  void End(const std::string& program,
           std::int64_t max_tokens,
           std::int64_t used);

  void OnTokenRequest(const TokenRequest& request,
                      std::function<void(const TokenTransfer&)> reply) override;
  void OnTokenTransfer(const TokenTransfer& transfer) override;
  void OnReclaimRequest(
      const ReclaimRequest& request,
      std::function<void(const TokenTransfer&)> reply) override;

  // The store has responded to this process. Before, no tokens are granted
  // provisionally: an earlier process at this address may have done so in the
  // same outage.
  void OnStoreAnswered() { store_answered_ = true; }
  // Processes that may have granted tokens provisionally have ended without
  // committing them: for `duration` the maximum that could have been granted
  // counts as spent.
  void OnProvisionalGrantsLost(base::Duration duration);
  // The process stops: releases the tokens that its programs do not use.
  void OnStopping() { ledger_.SetStopping(); }
  // Whether the store was slow or unavailable at the latest call.
  bool store_suspect() const;

  // Commits provisional grants when the store is available again, and releases
  // unused tokens. Call periodically.
  void CommitAndRelease();
  // Removes programs that have been idle for `retention` and deletes their rows
  // unless another gateway has written them since.
  void Sweep(base::Duration retention);

  std::size_t programs() const { return ledger_.size(); }

 private:
  struct Waiter {
    std::int64_t budget = 0;
    std::int64_t max_tokens = 0;
    Callback callback;
    // Waits on behalf of another gateway, so that the request must not be sent
    // on: this gateway grants the tokens itself.
    bool for_peer = false;
    // Tokens granted provisionally by another gateway and not yet committed, as
    // far as known.
    std::int64_t granted_elsewhere = 0;
  };
  struct Pending {
    std::deque<Waiter> waiters;
    // A call to the store is in progress.
    bool store_call_open = false;
    // Id of the latest request to the coordinator; zero if none is open.
    std::uint64_t token_request = 0;
    // Consecutive failed attempts to obtain tokens from the coordinator.
    int failures = 0;
    // Consecutive times that waiters waited for the store.
    int store_waits = 0;
    // Identifies the latest use of the timer.
    std::uint64_t timer = 0;
  };

  // Latest request for the unused tokens of other gateways.
  struct Reclaim {
    std::uint64_t id = 0;
    base::TimePoint started{};
    // Gateways that have replied: a duplicated datagram must not count twice.
    std::set<std::uint64_t> senders;
    std::int64_t received_tokens = 0;
  };

  // Requests the unused tokens of other gateways, and processes the waiters
  // after the time allowed for replies. Returns false if the latest request
  // brought no tokens or there are no other gateways.
  bool StartReclaim(const std::string& program);
  // Another gateway has transferred its unused tokens.
  void OnReclaimed(Reclaim& reclaim, const TokenTransfer& transfer);
  // Tokens granted provisionally by other gateways and not yet committed, as
  // last announced.
  std::int64_t GrantedElsewhere(const std::string& program) const;
  void Enqueue(const std::string& program, Waiter waiter);
  // Obtains tokens for the waiters from the store or, while no gateway reaches
  // it, from the coordinator.
  void ObtainTokens(const std::string& program);
  // Waits for the store call in progress, or before the next one.
  void WaitForStore(const std::string& program, base::Duration delay);
  // Whether the reservation must be made by the coordinator, because that may
  // have granted the same tokens provisionally.
  bool NeedsCoordinator(const Waiter& waiter,
                        const BudgetReservation& next) const;
  // Grants tokens provisionally, as the program's coordinator.
  void GrantProvisionally(const std::string& program);
  void Reserve(const std::string& program, const BudgetReservation& next);
  void OnWritten(const std::string& program,
                 const BudgetReservation& reservation,
                 const std::string& writer,
                 const WriteResult& result);
  void ReadBack(const std::string& program,
                const BudgetReservation& reservation,
                const std::string& writer);
  // Applies the row. Returns whether `writer`'s reservation wrote it.
  bool ApplyRow(const std::string& program,
                const TableRow& row,
                const std::string& writer);
  // Requests tokens from the program's coordinator, or grants them
  // provisionally if that is this gateway.
  void RequestFromCoordinator(const std::string& program);
  // Completes the waiters that the ledger can decide now, and obtains tokens
  // for the others.
  void ProcessWaiters(const std::string& program);
  // Completes waiters without obtaining tokens. Returns whether no remaining
  // waiter needs tokens now.
  bool CompleteWaiters(const std::string& program);
  void OnStoreFailure(const std::string& program,
                      std::string_view step,
                      const std::string& reason);
  void FailWaiters(const std::string& program, std::string_view reason);
  // Runs `action` after `delay` unless the program's timer is used again or no
  // waiter is left.
  void RunAfter(const std::string& program,
                base::Duration delay,
                std::function<void()> action);
  void RecordStoreCall(base::TimePoint started, bool done);

  LoopTimer& timer_;
  SharedTable& table_;
  BudgetPeers& peers_;
  ReservationLedger ledger_;
  base::Random random_;
  std::uint64_t next_request_id_;
  // Programs with waiters or with a store call in progress.
  std::map<std::string, Pending> pending_;
  std::map<std::string, Reclaim> reclaims_;
  // The store counts as unavailable or slow until then.
  base::TimePoint suspect_until_{};
  base::TimePoint grants_lost_until_{};
  // Until then other gateways may hold provisional grants, which they make only
  // while this one, too, announces that it does not reach the store.
  base::TimePoint grants_possible_until_{};
  bool store_answered_ = false;
  // Tokens granted provisionally by other gateways and not yet committed, as
  // last announced, by program.
  std::map<std::string, std::int64_t> granted_elsewhere_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_SERVICE_H_
