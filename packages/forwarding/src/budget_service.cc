#include "vanillalever/forwarding/budget_service.h"

#include <charconv>
#include <utility>
#include <vector>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr const char* kBudgetTable = "budgets";
// Rows are spread over partitions, which the store writes independently.
constexpr std::uint64_t kPartitions = 16;
// The store normally responds within about 10 ms; turns do not wait longer than
// this.
constexpr milliseconds kStoreTimeout{100};
// Time during which turns do not wait for a store that failed or was slow.
constexpr milliseconds kSuspectDuration{300};
// Time for another gateway to reply: several round trips between data centres.
constexpr milliseconds kPeerTimeout{60};
// Minimum interval between reclaim requests that brought no tokens: a program
// that has spent its budget may keep sending turns.
constexpr milliseconds kReclaimPause{500};
// Time during which replies to a reclaim request are accepted.
constexpr base::seconds kReclaimReplyWindow{5};
// Consecutive failed attempts after which waiting turns are refused.
constexpr int kMaxFailures = 3;
// A store that is merely slow is waited for this many times.
constexpr int kMaxStoreWaits = 8;
// Delay before the next call after the store refused one.
constexpr milliseconds kStoreRetryDelay{25};
// Longest time between a provisional grant and its commit: an outage, and the
// pause until the program's next turn.
constexpr base::seconds kGrantsPossible{90};

RowName RowNameFor(const std::string& program) {
  return {kBudgetTable, std::to_string(base::Hash64(program) % kPartitions),
          program};
}

// "<reserved tokens> <writer>".
std::string EncodeRow(std::int64_t reserved, const std::string& writer) {
  return std::to_string(reserved) + " " + writer;
}

BudgetRow DecodeRow(const TableRow& row) {
  BudgetRow budget_row;
  budget_row.version = row.version;
  const std::string& text = row.value;
  std::size_t space = text.find(' ');
  if (space != std::string::npos)
    budget_row.writer = text.substr(space + 1);
  std::from_chars(text.data(), text.data() + text.size(), budget_row.reserved);
  return budget_row;
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
      ledger_(settings),
      random_(seed),
      next_request_id_(random_.Next()) {}

bool BudgetService::store_suspect() const {
  return timer_.now() < suspect_until_;
}

void BudgetService::RecordStoreCall(base::TimePoint started, bool done) {
  auto now = timer_.now();
  bool suspect = !done || now - started > kStoreTimeout;
  if (suspect != store_suspect()) {
    base::LogEvent(
        base::LogLevel::kInfo, "budget_store",
        {{"state", suspect ? "suspect" : "well"},
         {"took_ms",
          std::to_string(std::chrono::duration_cast<milliseconds>(now - started)
                             .count())}});
  }
  suspect_until_ = suspect ? now + kSuspectDuration : base::TimePoint{};
}

void BudgetService::Begin(const std::string& program,
                          std::int64_t budget,
                          std::int64_t max_tokens,
                          Callback callback) {
  Enqueue(program, {budget, max_tokens, std::move(callback), false,
                    GrantedElsewhere(program)});
}

std::int64_t BudgetService::GrantedElsewhere(const std::string& program) const {
  auto found = granted_elsewhere_.find(program);
  return found == granted_elsewhere_.end() ? 0 : found->second;
}

void BudgetService::Enqueue(const std::string& program, Waiter waiter) {
  auto found = pending_.find(program);
  bool busy = found != pending_.end() && !found->second.waiters.empty();
  Pending& pending = pending_[program];
  pending.waiters.push_back(std::move(waiter));
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
    Waiter& next = pending_[program].waiters.front();
    auto now = timer_.now();
    BudgetVerdict verdict =
        ledger_.Begin(program, next.budget, next.max_tokens, now);
    if (verdict == BudgetVerdict::kNeedsReservation)
      return false;
    if (verdict == BudgetVerdict::kSpent && !next.for_peer &&
        StartReclaim(program))
      return true;
    Callback callback = std::move(next.callback);
    pending_[program].waiters.pop_front();
    pending_[program].failures = 0;
    pending_[program].store_waits = 0;
    callback(verdict == BudgetVerdict::kGranted ? BudgetOutcome::kGranted
                                                : BudgetOutcome::kSpent);
  }
  if (!pending_[program].store_call_open)
    pending_.erase(program);
  return true;
}

void BudgetService::ObtainTokens(const std::string& program) {
  Pending& pending = pending_[program];
  if (peers_.store_lost())
    return RequestFromCoordinator(program);
  if (!pending.store_call_open) {
    const Waiter& first = pending.waiters.front();
    auto next = ledger_.NextReservation(program, first.max_tokens);
    if (!next)
      return ProcessWaiters(program);
    if (NeedsCoordinator(first, *next))
      return RequestFromCoordinator(program);
    Reserve(program, *next);
  }
  WaitForStore(program, kStoreTimeout);
}

bool BudgetService::NeedsCoordinator(const Waiter& waiter,
                                     const BudgetReservation& next) const {
  return !waiter.for_peer && timer_.now() < grants_possible_until_ &&
         next.reserved > ledger_.OrdinaryShare(waiter.budget);
}

void BudgetService::WaitForStore(const std::string& program,
                                 base::Duration delay) {
  if (++pending_[program].store_waits > kMaxStoreWaits)
    return FailWaiters(program, "the store does not respond in time");
  RunAfter(program, delay, [this, program] { ObtainTokens(program); });
}

bool BudgetService::StartReclaim(const std::string& program) {
  auto now = timer_.now();
  Reclaim& reclaim = reclaims_[program];
  auto replies_due = reclaim.started + kPeerTimeout;
  if (now >= replies_due) {
    if (reclaim.received_tokens == 0 && now - reclaim.started < kReclaimPause)
      return false;
    reclaim = {++next_request_id_, now, {}, 0};
    replies_due = now + kPeerTimeout;
    if (!peers_.ReclaimUnused({reclaim.id, program, ledger_.reserved(program)}))
      return false;
    base::LogEvent(base::LogLevel::kInfo, "budget_reclaim",
                   {{"program", program},
                    {"reserved", std::to_string(ledger_.reserved(program))}});
  }
  RunAfter(program, replies_due - now,
           [this, program] { ProcessWaiters(program); });
  return true;
}

void BudgetService::OnReclaimRequest(
    const ReclaimRequest& request,
    std::function<void(const TokenTransfer&)> reply) {
  ledger_.UpdateReserved(request.program, request.reserved, timer_.now());
  if (pending_.contains(request.program))
    return;
  TokenTransfer transfer;
  transfer.request = request.id;
  transfer.program = request.program;
  transfer.tokens = ledger_.TakeUnused(request.program);
  transfer.reserved = ledger_.reserved(request.program);
  if (transfer.tokens > 0)
    reply(transfer);
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

void BudgetService::RequestFromCoordinator(const std::string& program) {
  Pending& pending = pending_[program];
  const Waiter& first = pending.waiters.front();
  // An earlier request to the coordinator brought no tokens.
  if (pending.failures > 0 && !first.for_peer && StartReclaim(program))
    return;
  if (++pending.failures > kMaxFailures)
    return FailWaiters(program,
                       "neither the store nor the coordinator answered");
  if (!first.for_peer) {
    TokenRequest request;
    request.id = ++next_request_id_;
    request.program = program;
    request.budget = first.budget;
    request.tokens = first.max_tokens;
    request.reserved = ledger_.reserved(program);
    request.provisional = GrantedElsewhere(program);
    switch (peers_.RequestTokens(request)) {
      case BudgetCoordinator::kNone:
        return FailWaiters(program, "too few other gateways are reachable");
      case BudgetCoordinator::kLocal:
        break;
      case BudgetCoordinator::kPeer:
        pending.token_request = request.id;
        return RunAfter(program, kPeerTimeout,
                        [this, program] { ObtainTokens(program); });
    }
  }
  if (peers_.store_lost())
    return GrantProvisionally(program);
  // The coordinator itself reserves the tokens that it might have granted.
  if (!pending.store_call_open) {
    auto next = ledger_.NextReservation(program, first.max_tokens);
    if (!next)
      return ProcessWaiters(program);
    Reserve(program, *next);
  }
  WaitForStore(program, kStoreTimeout);
}

void BudgetService::GrantProvisionally(const std::string& program) {
  const Waiter& first = pending_[program].waiters.front();
  if (!store_answered_)
    return FailWaiters(program, "the store has not responded since the start");
  if (!ledger_.GrantProvisionally(program, first.max_tokens,
                                  first.granted_elsewhere)) {
    if (!first.for_peer && StartReclaim(program))
      return;
    return FailWaiters(program, "the provisional grant limit is reached");
  }
  base::LogEvent(base::LogLevel::kInfo, "budget_advanced",
                 {{"program", program},
                  {"tokens", std::to_string(first.max_tokens)},
                  {"reserved", std::to_string(ledger_.reserved(program))}});
  ProcessWaiters(program);
}

void BudgetService::FailWaiters(const std::string& program,
                                std::string_view reason) {
  Pending& pending = pending_[program];
  base::LogEvent(
      base::LogLevel::kWarning, "budget_unavailable",
      {{"program", program},
       {"reason", std::string(reason)},
       {"waiting", std::to_string(pending.waiters.size())},
       {"reserved", std::to_string(ledger_.reserved(program))},
       {"advanced", std::to_string(ledger_.uncommitted(program))},
       {"advanced_elsewhere", std::to_string(GrantedElsewhere(program))}});
  auto waiters = std::exchange(pending.waiters, {});
  pending.failures = 0;
  pending.store_waits = 0;
  if (!pending.store_call_open)
    pending_.erase(program);
  for (const Waiter& waiter : waiters)
    waiter.callback(BudgetOutcome::kUnavailable);
}

void BudgetService::Reserve(const std::string& program,
                            const BudgetReservation& next) {
  pending_[program].store_call_open = true;
  std::string writer = base::HexString(random_.Next());
  TableWrite write;
  write.name = RowNameFor(program);
  write.expected_version = next.expected_version;
  write.value = EncodeRow(next.reserved, writer);
  auto started = timer_.now();
  table_.Write(std::move(write), [this, program, next, writer,
                                  started](const WriteResult& result) {
    RecordStoreCall(started, result.outcome == StoreOutcome::kDone ||
                                 result.outcome == StoreOutcome::kConflict);
    OnWritten(program, next, writer, result);
  });
}

void BudgetService::OnWritten(const std::string& program,
                              const BudgetReservation& reservation,
                              const std::string& writer,
                              const WriteResult& result) {
  if (result.outcome == StoreOutcome::kUnknown)
    return ReadBack(program, reservation, writer);
  pending_[program].store_call_open = false;
  if (result.outcome == StoreOutcome::kNotDone)
    return OnStoreFailure(program, "write", result.reason);
  // The store responds, also if another gateway's reservation came first.
  pending_[program].store_waits = 0;
  if (result.outcome == StoreOutcome::kDone)
    ledger_.ConfirmReservation(program, reservation, result.version);
  else if (result.current && ApplyRow(program, *result.current, writer))
    ledger_.ConfirmReservation(program, reservation, result.current->version);
  ProcessWaiters(program);
}

void BudgetService::ReadBack(const std::string& program,
                             const BudgetReservation& reservation,
                             const std::string& writer) {
  table_.Read(RowNameFor(program), [this, program, reservation,
                                    writer](const ReadResult& result) {
    pending_[program].store_call_open = false;
    if (result.outcome != StoreOutcome::kDone)
      return OnStoreFailure(program, "read back", result.reason);
    // The delayed call may still write a row that is absent or unchanged now.
    // The next reservation expects the same version, so that at most one of
    // both is written.
    if (!result.rows.empty() && ApplyRow(program, result.rows.front(), writer))
      ledger_.ConfirmReservation(program, reservation,
                                 result.rows.front().version);
    ProcessWaiters(program);
  });
}

bool BudgetService::ApplyRow(const std::string& program,
                             const TableRow& row,
                             const std::string& writer) {
  BudgetRow budget_row = DecodeRow(row);
  ledger_.UpdateRow(program, budget_row);
  return budget_row.writer == writer;
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

void BudgetService::OnTokenRequest(
    const TokenRequest& request,
    std::function<void(const TokenTransfer&)> reply) {
  ledger_.UpdateReserved(request.program, request.reserved, timer_.now());
  auto on_outcome = [this, request,
                     reply = std::move(reply)](BudgetOutcome outcome) {
    TokenTransfer transfer;
    transfer.request = request.id;
    transfer.program = request.program;
    transfer.reserved = ledger_.reserved(request.program);
    transfer.provisional = ledger_.uncommitted(request.program);
    if (outcome == BudgetOutcome::kGranted) {
      // From now on the tokens belong to the other gateway.
      ledger_.End(request.program, request.tokens, request.tokens);
      transfer.tokens = request.tokens;
    }
    if (outcome != BudgetOutcome::kUnavailable)
      reply(transfer);
  };
  Enqueue(request.program, {request.budget, request.tokens,
                            std::move(on_outcome), true, request.provisional});
}

void BudgetService::OnTokenTransfer(const TokenTransfer& transfer) {
  ledger_.UpdateReserved(transfer.program, transfer.reserved, timer_.now());
  auto reclaim = reclaims_.find(transfer.program);
  if (reclaim != reclaims_.end() && reclaim->second.id == transfer.request)
    return OnReclaimed(reclaim->second, transfer);
  ledger_.AddTokens(transfer.program, transfer.tokens);
  auto found = pending_.find(transfer.program);
  if (found == pending_.end() ||
      found->second.token_request != transfer.request) {
    // A late reply, also of a gateway that is not the coordinator: it may only
    // raise what is known to be granted.
    base::LogEvent(base::LogLevel::kInfo, "budget_late_transfer",
                   {{"program", transfer.program},
                    {"tokens", std::to_string(transfer.tokens)},
                    {"advanced", std::to_string(transfer.provisional)}});
    if (transfer.provisional > GrantedElsewhere(transfer.program))
      granted_elsewhere_[transfer.program] = transfer.provisional;
    return;
  }
  if (transfer.provisional > 0)
    granted_elsewhere_[transfer.program] = transfer.provisional;
  else
    granted_elsewhere_.erase(transfer.program);
  found->second.token_request = 0;
  if (!found->second.waiters.empty())
    ProcessWaiters(transfer.program);
}

void BudgetService::OnReclaimed(Reclaim& reclaim,
                                const TokenTransfer& transfer) {
  if (!reclaim.senders.insert(transfer.sender).second)
    return;
  reclaim.received_tokens += transfer.tokens;
  base::LogEvent(base::LogLevel::kInfo, "budget_reclaimed",
                 {{"program", transfer.program},
                  {"peer", base::HexString(transfer.sender)},
                  {"tokens", std::to_string(transfer.tokens)}});
  ledger_.AddTokens(transfer.program, transfer.tokens);
  auto found = pending_.find(transfer.program);
  if (found != pending_.end() && !found->second.waiters.empty() &&
      ledger_.Covers(transfer.program,
                     found->second.waiters.front().max_tokens))
    ProcessWaiters(transfer.program);
}

void BudgetService::OnProvisionalGrantsLost(base::Duration duration) {
  auto until = timer_.now() + duration;
  if (until <= grants_lost_until_)
    return;
  grants_lost_until_ = until;
  ledger_.SetProvisionalGrantsLost(true);
}

void BudgetService::CommitAndRelease() {
  auto now = timer_.now();
  if (now >= grants_lost_until_)
    ledger_.SetProvisionalGrantsLost(false);
  if (!peers_.reaches_store())
    grants_possible_until_ = now + kGrantsPossible;
  if (peers_.store_lost())
    return;
  for (const std::string& program : ledger_.UncommittedPrograms()) {
    auto commit = ledger_.ProvisionalCommit(program);
    if (commit && !pending_.contains(program))
      Reserve(program, *commit);
  }
  for (const std::string& program : ledger_.Releasable(now)) {
    if (pending_.contains(program))
      continue;
    if (auto release = ledger_.TakeRelease(program, now))
      Reserve(program, *release);
  }
}

void BudgetService::Sweep(base::Duration retention) {
  auto now = timer_.now();
  std::erase_if(reclaims_, [now](const auto& item) {
    return now - item.second.started > kReclaimReplyWindow;
  });
  auto before = now - retention;
  for (const auto& [program, row_version] : ledger_.RemoveIdle(before)) {
    granted_elsewhere_.erase(program);
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
