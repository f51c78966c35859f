#include "vanillalever/forwarding/budget_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr const char* kBudgetTable = "budgets";
constexpr std::uint64_t kPartitions = kTablePartitions;
// The store normally responds within about 10 ms; turns do not wait longer than
// this before they look for another way.
constexpr milliseconds kStoreTimeout{100};
// A store that is merely slow is waited for this many times.
constexpr int kMaxStoreWaits = 8;
// Delay before the next call after the store refused one.
constexpr milliseconds kStoreRetryDelay{25};
// Time for which a row that shows a spent budget is not read again: a program
// that has spent its budget may keep sending turns.
constexpr milliseconds kConfirmedFor{500};
// Longest time between a claim and its write: an outage, and the pause until
// the program's next turn.
constexpr base::seconds kMaxTurnGap{90};
// Interval of listing the rows, and delay before a failed call is repeated.
constexpr milliseconds kListInterval{1000};

RowName RowNameFor(const std::string& program) {
  return {kBudgetTable, std::to_string(base::Hash64(program) % kPartitions),
          program};
}

}  // namespace

BudgetService::BudgetService(LoopTimer& timer,
                             SharedTable& table,
                             BudgetPeers& peers,
                             std::uint64_t seed,
                             BudgetSettings settings)
    : timer_(timer),
      table_(table),
      peers_(peers),
      settings_(settings),
      ledger_(peers.run(), settings),
      random_(seed),
      next_request_id_(random_.Next()),
      started_(timer.now()) {}

void BudgetService::ListKnown() {
  auto now = timer_.now();
  bool known = listed_at_ != base::TimePoint{} && peers_.complete(listed_at_);
  if (known || unlisted_ > 0 || now < next_listing_ || !peers_.reaches_store())
    return;
  listing_since_ = now;
  next_listing_ = now + kListInterval;
  unlisted_ = kPartitions;
  for (std::uint64_t partition = 0; partition < kPartitions; ++partition)
    ListPartition(partition);
}

void BudgetService::ListPartition(std::uint64_t partition) {
  table_.List(kBudgetTable, std::to_string(partition),
              [this, partition](const ReadResult& result) {
                for (const TableRow& row : result.rows)
                  ledger_.AddKnown(row.name.key);
                if (result.outcome != StoreOutcome::kDone)
                  return timer_.RunAfter(kListInterval, [this, partition] {
                    ListPartition(partition);
                  });
                if (--unlisted_ == 0)
                  listed_at_ = listing_since_;
              });
}

bool BudgetService::ClaimsMayBeLost() const {
  auto now = timer_.now();
  switch (peers_.previous_exit()) {
    case PreviousExit::kUnknown:
      return true;
    case PreviousExit::kFailure:
      if (now - started_ < kMaxTurnGap)
        return true;
      break;
    case PreviousExit::kClean:
      break;
  }
  return now < claims_unheard_until_ && !peers_.complete(listed_at_);
}

void BudgetService::Begin(const std::string& program,
                          const TokenDemand& demand,
                          Callback callback) {
  auto found = pending_.find(program);
  bool busy = found != pending_.end() && !found->second.waiters.empty();
  pending_[program].waiters.push_back({demand, std::move(callback)});
  // The first waiter obtains the tokens for all.
  if (!busy)
    ProcessWaiters(program);
}

void BudgetService::End(const std::string& program,
                        std::int64_t max_tokens,
                        std::int64_t used) {
  ledger_.End(program, max_tokens, used);
}

void BudgetService::ProcessWaiters(const std::string& program) {
  if (!CompleteWaiters(program))
    ObtainTokens(program);
}

bool BudgetService::CompleteWaiters(const std::string& program) {
  while (!pending_[program].waiters.empty()) {
    const TokenDemand& demand = pending_[program].waiters.front().demand;
    ledger_.SetClaimsLost(ClaimsMayBeLost());
    BudgetVerdict verdict =
        ledger_.Begin(program, demand.budget, demand.max_tokens, timer_.now());
    if (verdict == BudgetVerdict::kNeedsReservation)
      return false;
    if (verdict == BudgetVerdict::kSpent) {
      if (ConfirmSpent(program))
        return true;
      if (peers_.store_lost() ||
          MayBeHeldElsewhere(program, demand.max_tokens)) {
        FailWaiters(program, "unused tokens may be out of reach");
        return true;
      }
    }
    Callback callback = std::move(pending_[program].waiters.front().callback);
    pending_[program].waiters.pop_front();
    pending_[program].store_waits = 0;
    callback(verdict == BudgetVerdict::kGranted ? BudgetOutcome::kGranted
                                                : BudgetOutcome::kSpent);
  }
  if (!pending_[program].store_call_open)
    pending_.erase(program);
  return true;
}

bool BudgetService::ConfirmSpent(const std::string& program) {
  if (StartReclaim(program))
    return true;
  Pending& pending = pending_[program];
  // Tokens that the program needs may be in a release whose outcome is unknown.
  // Written again it shows whether they are in the row.
  if (!peers_.store_lost() && !pending.store_call_open) {
    if (auto release = ledger_.RepeatRelease(program)) {
      Write(program, *release);
      WaitForStore(program, kStoreTimeout);
      return true;
    }
  }
  Reclaim& reclaim = reclaims_[program];
  if (peers_.store_lost() || timer_.now() - reclaim.confirmed < kConfirmedFor)
    return false;
  if (!pending.store_call_open)
    ReadRow(program);
  WaitForStore(program, kStoreTimeout);
  return true;
}

bool BudgetService::MayBeHeldElsewhere(const std::string& program,
                                       std::int64_t max_tokens) const {
  if (!ledger_.Claimants(program).empty() || ledger_.ReleaseInDoubt(program))
    return true;
  std::int64_t lacking = max_tokens - ledger_.available(program);
  const BudgetKnowledge knowledge = ledger_.Knowledge(program);
  return std::any_of(knowledge.row.shares.begin(), knowledge.row.shares.end(),
                     [this, lacking](const BudgetShare& share) {
                       return share.tokens >= lacking &&
                              peers_.silent(share.run);
                     });
}

void BudgetService::ObtainTokens(const std::string& program) {
  if (peers_.store_lost())
    return ObtainWithoutStore(program);
  if (!pending_[program].store_call_open) {
    bool unheard =
        timer_.now() < claims_unheard_until_ && !ledger_.Knows(program);
    if (unheard && StartReclaim(program))
      return;
    std::vector<RunId> standby = peers_.Ranked(program);
    std::erase(standby, peers_.run());
    standby.resize(std::min(standby.size(), settings_.standby_runs));
    auto next = ledger_.NextReservation(
        program, pending_[program].waiters.front().demand.max_tokens, standby);
    if (!next)
      return ProcessWaiters(program);
    Write(program, *next);
  }
  WaitForStore(program, kStoreTimeout);
}

void BudgetService::ObtainWithoutStore(const std::string& program) {
  if (StartReclaim(program))
    return;
  const Waiter& first = pending_[program].waiters.front();
  if (ledger_.Covers(program, first.demand.max_tokens))
    return ProcessWaiters(program);
  if (peers_.in_minority())
    return FailWaiters(program, "too few other gateways are reachable");
  if (timer_.now() >= first.demand.wait_until)
    return FailWaiters(program,
                       ledger_.Knows(program)
                           ? "the provisional grant limit is reached"
                           : "too few other gateways know the program's past");
  RunAfter(program, kStoreTimeout,
           [this, program] { ProcessWaiters(program); });
}

void BudgetService::WaitForStore(const std::string& program,
                                 base::Duration delay) {
  // Nothing to wait for if the call has completed at once.
  auto found = pending_.find(program);
  if (found == pending_.end() || found->second.waiters.empty())
    return;
  if (++found->second.store_waits > kMaxStoreWaits)
    return FailWaiters(program, "the store does not respond in time");
  RunAfter(program, delay, [this, program] { ProcessWaiters(program); });
}

void BudgetService::RunAfter(const std::string& program,
                             base::Duration delay,
                             std::function<void()> action) {
  std::uint64_t use = random_.Next();
  pending_[program].timer = use;
  timer_.RunAfter(delay, [this, program, use, action = std::move(action)] {
    auto found = pending_.find(program);
    if (found != pending_.end() && found->second.timer == use &&
        !found->second.waiters.empty())
      action();
  });
}

void BudgetService::FailWaiters(const std::string& program,
                                std::string_view reason) {
  Pending& pending = pending_[program];
  base::LogEvent(base::LogLevel::kWarning, "budget_unavailable",
                 {{"program", program},
                  {"reason", std::string(reason)},
                  {"waiting", std::to_string(pending.waiters.size())},
                  {"reserved", std::to_string(ledger_.reserved(program))},
                  {"available", std::to_string(ledger_.available(program))}});
  auto waiters = std::exchange(pending.waiters, {});
  pending.store_waits = 0;
  if (!pending.store_call_open)
    pending_.erase(program);
  for (const Waiter& waiter : waiters)
    waiter.callback(BudgetOutcome::kUnavailable);
}

void BudgetService::Write(const std::string& program,
                          const BudgetReservation& next) {
  pending_[program].store_call_open = true;
  TableWrite write;
  write.name = RowNameFor(program);
  write.expected_version = next.expected_version;
  write.value = EncodeBudgetRow(next.row);
  table_.Write(std::move(write),
               [this, program, next](const WriteResult& result) {
                 OnWritten(program, next, result);
               });
}

void BudgetService::OnWritten(const std::string& program,
                              const BudgetReservation& reservation,
                              const WriteResult& result) {
  pending_[program].store_call_open = false;
  switch (result.outcome) {
    case StoreOutcome::kDone: {
      BudgetRow row = reservation.row;
      row.version = result.version;
      ledger_.ApplyRow(program, row);
      if (!reservation.changed.empty())
        peers_.Announce({program, row}, reservation.changed);
      break;
    }
    case StoreOutcome::kConflict:
      if (result.current && result.current->version > 0)
        ledger_.ApplyRow(program, ParseBudgetRow(result.current->value,
                                                 result.current->version));
      else
        ledger_.OnRowRemoved(program);
      break;
    case StoreOutcome::kNotDone:
      ledger_.OnRefused(program);
      return OnStoreFailure(program, "write", result.reason);
    case StoreOutcome::kUnknown:
      // The row shows whether it was written: now, or at the next call.
      ledger_.OnUnknown(program);
      pending_[program].store_call_open = true;
      return ReadRow(program);
  }
  pending_[program].store_waits = 0;
  ProcessWaiters(program);
}

void BudgetService::ReadRow(const std::string& program) {
  pending_[program].store_call_open = true;
  table_.Read(RowNameFor(program), [this, program](const ReadResult& result) {
    pending_[program].store_call_open = false;
    if (result.outcome != StoreOutcome::kDone)
      return OnStoreFailure(program, "read", result.reason);
    // A delayed write may still change a row that is absent or unchanged now.
    // The next one expects the same version, so that at most one is written.
    if (!result.rows.empty())
      ledger_.ApplyRow(program, ParseBudgetRow(result.rows.front().value,
                                               result.rows.front().version));
    reclaims_[program].confirmed = timer_.now();
    ProcessWaiters(program);
  });
}

void BudgetService::OnStoreFailure(const std::string& program,
                                   std::string_view step,
                                   const std::string& reason) {
  base::LogEvent(
      base::LogLevel::kWarning, "budget_store_failed",
      {{"program", program}, {"step", std::string(step)}, {"reason", reason}});
  if (peers_.store_lost() || pending_[program].waiters.empty())
    return ProcessWaiters(program);
  WaitForStore(program, kStoreRetryDelay);
}

void BudgetService::OnStopping() {
  stopping_ = true;
  ledger_.SetStopping();
}

void BudgetService::Tick() {
  ListKnown();
  if (listed_at_ == base::TimePoint{} && !peers_.reaches_store())
    claims_unheard_until_ = timer_.now() + kMaxTurnGap;
  if (!peers_.store_lost())
    WriteClaims();
  ReturnUnused();
}

void BudgetService::WriteClaims() {
  for (const std::string& program : ledger_.UnwrittenClaims()) {
    if (pending_.contains(program))
      continue;
    // A claimant writes its own claim; the others do so once it is gone.
    std::vector<RunId> ranked = peers_.Ranked(program);
    std::vector<RunId> claimants = ledger_.Claimants(program);
    bool gone =
        std::none_of(claimants.begin(), claimants.end(), [&ranked](RunId run) {
          return std::find(ranked.begin(), ranked.end(), run) != ranked.end();
        });
    if (!ledger_.HasOwnClaim(program) && !gone)
      continue;
    if (auto write = ledger_.ClaimWrite(program))
      Write(program, *write);
  }
}

void BudgetService::ReturnUnused() {
  auto now = timer_.now();
  if (!peers_.store_lost()) {
    for (const std::string& program : ledger_.Releasable(now)) {
      if (pending_.contains(program))
        continue;
      if (auto release = ledger_.TakeRelease(program, now))
        Write(program, *release);
    }
  }
  if (!stopping_)
    return;
  for (const std::string& program : ledger_.UnusedStandby()) {
    TokenTransfer transfer;
    transfer.program = program;
    transfer.tokens = ledger_.available(program);
    transfer.knowledge = ledger_.Knowledge(program);
    if (!peers_.HandOver(transfer))
      return;
    ledger_.TakeUnused(program, transfer.tokens);
  }
}

void BudgetService::Sweep(base::Duration retention) {
  constexpr base::seconds kReplyWindow{30};
  auto now = timer_.now();
  std::erase_if(reclaims_, [now, kReplyWindow](const auto& item) {
    return now - item.second.started > kReplyWindow;
  });
  if (listed_at_ != base::TimePoint{} && now - listed_at_ > retention)
    ledger_.ForgetKnown();
  for (const auto& [program, row_version] :
       ledger_.RemoveIdle(now - retention)) {
    if (row_version == 0)
      continue;
    TableWrite write;
    write.name = RowNameFor(program);
    write.expected_version = row_version;
    // If this fails, the row is never deleted; it only takes space.
    table_.Write(std::move(write), [](const WriteResult&) {});
  }
}

}  // namespace vanillalever::forwarding
