#include "vanillalever/program/budget_ledger.h"

#include <algorithm>
#include <string>

#include "vanillalever/base/error.h"

namespace vanillalever::program {

namespace {

void Require(bool condition, const char* message) {
  if (!condition) {
    throw base::NotRunError(base::ErrorCode::kInternal, base::Step::kReserve,
                            message);
  }
}

}  // namespace

BudgetLedger::BudgetLedger(std::int64_t limit) : limit_(limit) {
  Require(limit >= 0, "budget limit is negative");
}

BudgetLedger BudgetLedger::Recover(const BudgetSnapshot& snapshot,
                                   std::int64_t open_intents,
                                   OwnershipEnd ownership_end) {
  bool valid =
      snapshot.limit >= 0 && snapshot.spent >= 0 && snapshot.held >= 0 &&
      snapshot.shared >= 0 && snapshot.spent <= snapshot.limit &&
      snapshot.held <= snapshot.limit - snapshot.spent &&
      snapshot.shared <= snapshot.limit - snapshot.spent - snapshot.held &&
      open_intents >= 0 && open_intents <= snapshot.held;
  if (!valid) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kParse,
                            "the stored budget amounts contradict one another");
  }
  BudgetLedger ledger(snapshot.limit);
  ledger.spent_ = snapshot.spent;
  if (ownership_end == OwnershipEnd::kCrashed)
    ledger.spent_ += snapshot.held - open_intents;
  ledger.reserved_ = open_intents;
  ledger.shared_ = snapshot.shared;
  ledger.durable_ceiling_ = snapshot.spent + snapshot.held;
  return ledger;
}

void BudgetLedger::Reserve(std::int64_t worst_case) {
  Require(worst_case >= 0, "reservation is negative");
  if (worst_case > available()) {
    throw base::NotRunError(
        base::ErrorCode::kBudgetExhausted, base::Step::kReserve,
        "the call can cost " + std::to_string(worst_case) +
            " tokens, but only " + std::to_string(available()) + " of " +
            std::to_string(limit_) + " are left");
  }
  reserved_ += worst_case;
}

void BudgetLedger::Settle(std::int64_t reservation, std::int64_t actual) {
  Require(actual >= 0, "cost is negative");
  Release(reservation);
  std::int64_t charged = std::min(actual, available());
  spent_ += charged;
  overrun_ += actual - charged;
  Check();
}

void BudgetLedger::ChargeInFull(std::int64_t reservation) {
  Release(reservation);
  spent_ += reservation;
  Check();
}

void BudgetLedger::Release(std::int64_t reservation) {
  Require(reservation >= 0 && reservation <= reserved_,
          "more is released than was reserved");
  reserved_ -= reservation;
}

void BudgetLedger::AllocateShare(std::int64_t share) {
  Require(share >= 0, "share is negative");
  if (share > available()) {
    throw base::NotRunError(
        base::ErrorCode::kBudgetExhausted, base::Step::kReserve,
        "the child's budget of " + std::to_string(share) +
            " tokens exceeds the " + std::to_string(available()) +
            " that its parent has left");
  }
  shared_ += share;
}

void BudgetLedger::ReturnShare(std::int64_t share, std::int64_t child_spent) {
  Require(share >= 0 && share <= shared_,
          "a larger share is returned than was allocated");
  Require(child_spent >= 0 && child_spent <= share,
          "a child spent more than its share");
  shared_ -= share;
  spent_ += child_spent;
  Check();
}

bool BudgetLedger::covered() const {
  return covers(0);
}

bool BudgetLedger::covers(std::int64_t worst_case) const {
  std::int64_t ceiling =
      std::min(durable_ceiling_, pending_ceiling_.value_or(durable_ceiling_));
  return worst_case <= ceiling - spent_ - reserved_;
}

BudgetSnapshot BudgetLedger::BeginCommit(std::int64_t allowance) {
  Require(!pending_ceiling_, "a commit of the budget is in progress");
  std::int64_t held_allowance = std::clamp<std::int64_t>(
      allowance, 0, std::max<std::int64_t>(0, available()));
  pending_ceiling_ = spent_ + reserved_ + held_allowance;
  return {limit_, spent_, reserved_ + held_allowance, shared_};
}

void BudgetLedger::CommitApplied() {
  Require(pending_ceiling_.has_value(), "no commit of the budget in progress");
  durable_ceiling_ = *pending_ceiling_;
  pending_ceiling_.reset();
}

void BudgetLedger::CommitRejected() {
  Require(pending_ceiling_.has_value(), "no commit of the budget in progress");
  pending_ceiling_.reset();
}

void BudgetLedger::Check() const {
  Require(spent_ >= 0 && reserved_ >= 0 && shared_ >= 0 && available() >= 0,
          "the budget's amounts exceed its limit");
}

}  // namespace vanillalever::program
