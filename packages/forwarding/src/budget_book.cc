#include "vanillalever/forwarding/budget_book.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillalever::forwarding {

BudgetBook::BudgetBook(BudgetSettings settings) : settings_(settings) {}

const BudgetBook::Program& BudgetBook::At(const std::string& program) const {
  auto found = programs_.find(program);
  assert(found != programs_.end());
  return found->second;
}

BudgetVerdict BudgetBook::Begin(const std::string& program,
                                std::int64_t budget,
                                std::int64_t most,
                                base::TimePoint now) {
  Program& entry = programs_[program];
  // One turn more than the budget may be handed out, so that a lost advance of
  // one turn needs no room.
  if (advances_lost_)
    budget -= budget / settings_.advance_divisor;
  // A program's budget does not change; the smaller value is the safe one.
  entry.budget = entry.budget == 0 ? budget : std::min(entry.budget, budget);
  entry.used = now;
  entry.most = most;
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
  const Program& entry = At(program);
  std::int64_t need = std::max<std::int64_t>(0, most - entry.available);
  if (need > entry.left())
    return std::nullopt;
  std::int64_t ahead =
      std::min((settings_.turns_ahead - 1) * most,
               (entry.left() - need) / settings_.ahead_divisor);
  BudgetReservation reservation;
  reservation.expected_version = entry.row.version;
  reservation.amount = need + ahead;
  reservation.settles = entry.unsettled;
  reservation.reserved =
      entry.row.reserved + reservation.amount + reservation.settles;
  return reservation;
}

std::optional<BudgetReservation> BudgetBook::Settlement(
    const std::string& program) const {
  const Program& entry = At(program);
  if (entry.unsettled == 0)
    return std::nullopt;
  BudgetReservation reservation;
  reservation.expected_version = entry.row.version;
  reservation.settles = entry.unsettled;
  reservation.reserved = entry.row.reserved + reservation.settles;
  return reservation;
}

bool BudgetBook::MayReturn(const Program& entry, base::TimePoint now) const {
  if (entry.available == 0 || entry.open_turns > 0 || entry.row.version == 0)
    return false;
  if (stopping_)
    return now - entry.used < settings_.return_when_stopping;
  return now - entry.used > settings_.return_after &&
         entry.left() < settings_.turns_when_short * entry.most;
}

std::optional<BudgetReservation> BudgetBook::TakeReturn(
    const std::string& program,
    base::TimePoint now) {
  Program& entry = programs_[program];
  if (!MayReturn(entry, now))
    return std::nullopt;
  BudgetReservation reservation;
  reservation.expected_version = entry.row.version;
  reservation.settles = entry.unsettled;
  reservation.reserved = std::max<std::int64_t>(
      0, entry.row.reserved + entry.unsettled - entry.available);
  entry.available = 0;
  return reservation;
}

void BudgetBook::Reserved(const std::string& program,
                          const BudgetReservation& reservation,
                          std::uint64_t version) {
  Program& entry = programs_[program];
  entry.available += reservation.amount;
  entry.unsettled -= reservation.settles;
  assert(entry.unsettled >= 0);
  if (version > entry.row.version) {
    entry.row.version = version;
    entry.row.reserved = reservation.reserved;
  }
}

void BudgetBook::Observe(const std::string& program, const BudgetRow& row) {
  Program& entry = programs_[program];
  if (row.version == 0) {
    // The row was removed; what is known to be reserved stays so.
    entry.row.version = 0;
    return;
  }
  if (row.version >= entry.row.version)
    entry.row = row;
}

bool BudgetBook::Advance(const std::string& program,
                         std::int64_t most,
                         std::int64_t advanced) {
  Program& entry = programs_[program];
  std::int64_t need = std::max<std::int64_t>(0, most - entry.available);
  std::int64_t limit = most + entry.budget / settings_.advance_divisor;
  if (need > entry.left() || std::max(entry.unsettled, advanced) + need > limit)
    return false;
  entry.unsettled += need;
  entry.available += need;
  return true;
}

std::int64_t BudgetBook::TakeUnused(const std::string& program) {
  auto found = programs_.find(program);
  return found == programs_.end() ? 0
                                  : std::exchange(found->second.available, 0);
}

bool BudgetBook::Covers(const std::string& program, std::int64_t most) const {
  auto found = programs_.find(program);
  return found != programs_.end() && found->second.available >= most;
}

void BudgetBook::Receive(const std::string& program, std::int64_t tokens) {
  programs_[program].available += tokens;
}

void BudgetBook::ObserveReserved(const std::string& program,
                                 std::int64_t reserved,
                                 base::TimePoint now) {
  Program& entry = programs_[program];
  entry.used = std::max(entry.used, now);
  entry.row.reserved = std::max(entry.row.reserved, reserved);
}

std::int64_t BudgetBook::reserved(const std::string& program) const {
  auto found = programs_.find(program);
  if (found == programs_.end())
    return 0;
  return found->second.row.reserved + found->second.unsettled;
}

std::int64_t BudgetBook::unsettled(const std::string& program) const {
  auto found = programs_.find(program);
  return found == programs_.end() ? 0 : found->second.unsettled;
}

std::vector<std::string> BudgetBook::Unsettled() const {
  std::vector<std::string> programs;
  for (const auto& [program, entry] : programs_) {
    if (entry.unsettled > 0)
      programs.push_back(program);
  }
  return programs;
}

std::vector<std::string> BudgetBook::Returnable(base::TimePoint now) const {
  std::vector<std::string> programs;
  for (const auto& [program, entry] : programs_) {
    if (MayReturn(entry, now))
      programs.push_back(program);
  }
  return programs;
}

std::vector<BudgetBook::Forgotten> BudgetBook::Forget(base::TimePoint before) {
  std::vector<Forgotten> forgotten;
  for (auto entry = programs_.begin(); entry != programs_.end();) {
    const Program& program = entry->second;
    if (program.open_turns == 0 && program.unsettled == 0 &&
        program.used < before) {
      forgotten.push_back({entry->first, program.row.version});
      entry = programs_.erase(entry);
    } else {
      ++entry;
    }
  }
  return forgotten;
}

}  // namespace vanillalever::forwarding
