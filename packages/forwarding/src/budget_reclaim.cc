// Tokens that BudgetService obtains from other gateways.

#include <utility>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/budget_service.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Time for another gateway to reply: several round trips between data centres.
constexpr milliseconds kPeerTimeout{60};
// Minimum interval between reclaim requests that brought no tokens: a program
// that has spent its budget may keep sending turns.
constexpr milliseconds kReclaimPause{500};

}  // namespace

bool BudgetService::MayClaim(const std::string& program) const {
  return peers_.store_lost() && listed_at_ != base::TimePoint{} &&
         !ClaimsMayBeLost() && !stopping_ && !ledger_.Knows(program) &&
         peers_.complete(listed_at_) && peers_.all_heard();
}

bool BudgetService::StartReclaim(const std::string& program) {
  auto now = timer_.now();
  Reclaim& reclaim = reclaims_[program];
  auto replies_due = reclaim.started + kPeerTimeout;
  if (now >= replies_due || reclaim.asked == 0) {
    if (reclaim.asked > 0 && reclaim.received_tokens == 0 &&
        now - reclaim.started < kReclaimPause)
      return false;
    const TokenDemand& demand = pending_[program].waiters.front().demand;
    ReclaimRequest request;
    request.id = reclaim.id = ++next_request_id_;
    request.program = program;
    request.tokens = demand.max_tokens - ledger_.available(program);
    if (!peers_.store_lost())
      request.tokens +=
          (settings_.turns_per_reservation - 1) * demand.max_tokens;
    request.claim = MayClaim(program) ? ledger_.ClaimSize(program) : 0;
    request.knowledge = ledger_.Knowledge(program);
    VoidClaim(program);
    reclaim.started = now;
    reclaim.received_tokens = 0;
    reclaim.claim = request.claim;
    reclaim.replies[request.id];
    reclaim.asked = peers_.Reclaim(request);
    if (reclaim.asked == 0) {
      if (std::int64_t claim = std::exchange(reclaim.claim, 0); claim > 0)
        GrantClaim(program, claim);
      return false;
    }
    replies_due = now + kPeerTimeout;
    base::LogEvent(base::LogLevel::kInfo, "budget_reclaim",
                   {{"program", program},
                    {"reserved", std::to_string(ledger_.reserved(program))},
                    {"claim", std::to_string(request.claim)}});
  }
  RunAfter(program, replies_due - now, [this, program] {
    VoidClaim(program);
    ProcessWaiters(program);
  });
  return true;
}

void BudgetService::VoidClaim(const std::string& program) {
  if (std::exchange(reclaims_[program].claim, 0) > 0)
    ledger_.VoidClaim(program);
}

void BudgetService::GrantClaim(const std::string& program,
                               std::int64_t tokens) {
  ledger_.GrantClaim(program, tokens);
  base::LogEvent(base::LogLevel::kInfo, "budget_advanced",
                 {{"program", program},
                  {"tokens", std::to_string(tokens)},
                  {"reserved", std::to_string(ledger_.reserved(program))}});
}

bool BudgetService::AcceptClaim(const ReclaimRequest& request) {
  if (listed_at_ == base::TimePoint{})
    return false;
  if (ledger_.Knows(request.program)) {
    // Its own earlier claim does not count against the sender.
    std::vector<RunId> claimants = ledger_.Claimants(request.program);
    bool only_sender = claimants.size() == 1 &&
                       claimants.front() == request.sender &&
                       !ledger_.HasOwnClaim(request.program) &&
                       ledger_.Knowledge(request.program).row.version == 0;
    if (!only_sender)
      return false;
  }
  auto own = reclaims_.find(request.program);
  if (own != reclaims_.end() && own->second.claim > 0) {
    // Of two claims at the same time the one of the lower run goes on.
    if (peers_.run() < request.sender)
      return false;
    VoidClaim(request.program);
  }
  ledger_.AddClaim(request.program, request.sender, request.claim);
  return true;
}

void BudgetService::OnReclaimRequest(
    const ReclaimRequest& request,
    std::function<void(const TokenTransfer&)> reply) {
  ledger_.Merge(request.program, request.knowledge, timer_.now());
  TokenTransfer transfer;
  transfer.request = request.id;
  transfer.program = request.program;
  transfer.claim_accepted = request.claim > 0 && AcceptClaim(request);
  transfer.knowledge = ledger_.Knowledge(request.program);
  // Of two gateways with waiting turns the one of the lower run gets the
  // tokens.
  auto found = pending_.find(request.program);
  bool waiting = found != pending_.end() && !found->second.waiters.empty();
  if (!waiting || request.sender < peers_.run())
    transfer.tokens = ledger_.TakeUnused(request.program, request.tokens);
  bool newer = transfer.knowledge.row.version > request.knowledge.row.version ||
               !transfer.knowledge.claims.empty();
  if (transfer.tokens > 0 || request.claim > 0 || newer)
    reply(transfer);
}

void BudgetService::OnTokenTransfer(const TokenTransfer& transfer) {
  ledger_.Merge(transfer.program, transfer.knowledge, timer_.now());
  Reclaim& reclaim = reclaims_[transfer.program];
  bool handed_over = transfer.request == 0;
  bool expected = handed_over || reclaim.replies.contains(transfer.request);
  if (!expected ||
      !reclaim.replies[transfer.request].insert(transfer.sender).second) {
    base::LogEvent(base::LogLevel::kWarning, "budget_transfer_ignored",
                   {{"program", transfer.program},
                    {"peer", base::HexString(transfer.sender)},
                    {"tokens", std::to_string(transfer.tokens)}});
    return;
  }
  if (transfer.tokens > 0) {
    ledger_.AddTokens(transfer.program, transfer.sender, transfer.tokens);
    base::LogEvent(base::LogLevel::kInfo, "budget_reclaimed",
                   {{"program", transfer.program},
                    {"peer", base::HexString(transfer.sender)},
                    {"tokens", std::to_string(transfer.tokens)}});
  }
  if (transfer.request == reclaim.id) {
    reclaim.received_tokens += transfer.tokens;
    OnClaimReply(reclaim, transfer);
  }
  CompleteIfCovered(transfer.program);
}

void BudgetService::OnClaimReply(Reclaim& reclaim,
                                 const TokenTransfer& transfer) {
  if (reclaim.claim == 0)
    return;
  if (!transfer.claim_accepted)
    VoidClaim(transfer.program);
  else if (reclaim.replies[reclaim.id].size() == reclaim.asked)
    GrantClaim(transfer.program, std::exchange(reclaim.claim, 0));
}

void BudgetService::CompleteIfCovered(const std::string& program) {
  auto found = pending_.find(program);
  if (found != pending_.end() && !found->second.waiters.empty() &&
      ledger_.Covers(program, found->second.waiters.front().demand.max_tokens))
    ProcessWaiters(program);
}

void BudgetService::OnRowNotice(const RowNotice& notice) {
  ledger_.Merge(notice.program, {notice.row, {}}, timer_.now());
  CompleteIfCovered(notice.program);
}

}  // namespace vanillalever::forwarding
