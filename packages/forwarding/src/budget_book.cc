#include "vanillalever/forwarding/budget_book.h"

#include <algorithm>
#include <cassert>

namespace vanillalever::forwarding {

BudgetBook::BudgetBook(BudgetSettings settings) : settings_(settings) {}

BudgetVerdict BudgetBook::Begin(const std::string& program,
                                std::int64_t budget,
                                std::int64_t most,
                                base::TimePoint now) {
  Program& entry = programs_[program];
  // A program's budget does not change; the smaller value is the safe one.
  entry.budget = entry.budget == 0 ? budget : std::min(entry.budget, budget);
  entry.used = now;
  if (entry.available >= most) {
    entry.available -= most;
    ++entry.open_turns;
    return BudgetVerdict::kGranted;
  }
  return NextReservation(program, most) ? BudgetVerdict::kReserve
                                        : BudgetVerdict::kSpent;
}

void BudgetBook::End(const std::string& program,
                     std::int64_t most,
                     std::int64_t used) {
  auto found = programs_.find(program);
  assert(found != programs_.end() && found->second.open_turns > 0);
  --found->second.open_turns;
  found->second.available += std::max<std::int64_t>(0, most - used);
}

std::optional<BudgetReservation> BudgetBook::NextReservation(
    const std::string& program,
    std::int64_t most) const {
  auto found = programs_.find(program);
  assert(found != programs_.end());
  const Program& entry = found->second;
  std::int64_t need = most - entry.available;
  std::int64_t left = entry.budget - entry.row.reserved;
  if (need > left)
    return std::nullopt;
  std::int64_t ahead = std::min((settings_.turns_ahead - 1) * most,
                                (left - need) / settings_.ahead_divisor);
  BudgetReservation reservation;
  reservation.expected_version = entry.row.version;
  reservation.amount = std::max<std::int64_t>(0, need + ahead);
  reservation.reserved = entry.row.reserved + reservation.amount;
  return reservation;
}

void BudgetBook::Reserved(const std::string& program,
                          const BudgetReservation& reservation,
                          std::uint64_t version) {
  Program& entry = programs_[program];
  entry.available += reservation.amount;
  if (version > entry.row.version) {
    entry.row.version = version;
    entry.row.reserved = reservation.reserved;
  }
}

void BudgetBook::Observe(const std::string& program, const BudgetRow& row) {
  Program& entry = programs_[program];
  if (row.version >= entry.row.version)
    entry.row = row;
}

std::vector<std::string> BudgetBook::Forget(base::TimePoint before) {
  std::vector<std::string> forgotten;
  for (auto entry = programs_.begin(); entry != programs_.end();) {
    if (entry->second.open_turns == 0 && entry->second.used < before) {
      forgotten.push_back(entry->first);
      entry = programs_.erase(entry);
    } else {
      ++entry;
    }
  }
  return forgotten;
}

}  // namespace vanillalever::forwarding
