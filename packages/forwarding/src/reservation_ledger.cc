#include "vanillalever/forwarding/reservation_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillalever::forwarding {

ReservationLedger::ReservationLedger(BudgetSettings settings)
    : settings_(settings) {}

const ReservationLedger::ProgramRecord& ReservationLedger::Find(
    const std::string& program) const {
  auto found = programs_.find(program);
  assert(found != programs_.end());
  return found->second;
}

BudgetVerdict ReservationLedger::Begin(const std::string& program,
                                       std::int64_t budget,
                                       std::int64_t max_tokens,
                                       base::TimePoint now) {
  ProgramRecord& record = programs_[program];
  // Lost grants of up to one turn need no margin: a program may exceed its
  // budget by one turn.
  if (grants_lost_)
    budget -= budget / settings_.provisional_divisor;
  // A program's budget does not change; the smaller value is safe.
  record.budget = record.budget == 0 ? budget : std::min(record.budget, budget);
  record.last_used = now;
  record.max_tokens = max_tokens;
  if (record.available >= max_tokens) {
    record.available -= max_tokens;
    ++record.open_turns;
    return BudgetVerdict::kGranted;
  }
  return NextReservation(program, max_tokens) ? BudgetVerdict::kNeedsReservation
                                              : BudgetVerdict::kSpent;
}

void ReservationLedger::End(const std::string& program,
                            std::int64_t max_tokens,
                            std::int64_t used) {
  auto found = programs_.find(program);
  assert(found != programs_.end() && found->second.open_turns > 0);
  --found->second.open_turns;
  found->second.available += std::max<std::int64_t>(0, max_tokens - used);
}

std::optional<BudgetReservation> ReservationLedger::NextReservation(
    const std::string& program,
    std::int64_t max_tokens) const {
  const ProgramRecord& record = Find(program);
  std::int64_t need = std::max<std::int64_t>(0, max_tokens - record.available);
  if (need > record.remaining())
    return std::nullopt;
  std::int64_t ahead =
      std::min((settings_.turns_per_reservation - 1) * max_tokens,
               (record.remaining() - need) / settings_.prereserve_divisor);
  BudgetReservation reservation;
  reservation.expected_version = record.row.version;
  reservation.new_tokens = need + ahead;
  reservation.committed = record.uncommitted;
  reservation.reserved =
      record.row.reserved + reservation.new_tokens + reservation.committed;
  return reservation;
}

std::optional<BudgetReservation> ReservationLedger::ProvisionalCommit(
    const std::string& program) const {
  const ProgramRecord& record = Find(program);
  if (record.uncommitted == 0)
    return std::nullopt;
  BudgetReservation reservation;
  reservation.expected_version = record.row.version;
  reservation.committed = record.uncommitted;
  reservation.reserved = record.row.reserved + reservation.committed;
  return reservation;
}

bool ReservationLedger::CanRelease(const ProgramRecord& record,
                                   base::TimePoint now) const {
  if (record.available == 0 || record.open_turns > 0 || record.row.version == 0)
    return false;
  if (stopping_)
    return now - record.last_used < settings_.release_window_when_stopping;
  return now - record.last_used > settings_.release_after &&
         record.remaining() < settings_.low_budget_turns * record.max_tokens;
}

std::optional<BudgetReservation> ReservationLedger::TakeRelease(
    const std::string& program,
    base::TimePoint now) {
  ProgramRecord& record = programs_[program];
  if (!CanRelease(record, now))
    return std::nullopt;
  BudgetReservation reservation;
  reservation.expected_version = record.row.version;
  reservation.committed = record.uncommitted;
  reservation.reserved = std::max<std::int64_t>(
      0, record.row.reserved + record.uncommitted - record.available);
  record.available = 0;
  return reservation;
}

void ReservationLedger::ConfirmReservation(const std::string& program,
                                           const BudgetReservation& reservation,
                                           std::uint64_t version) {
  ProgramRecord& record = programs_[program];
  record.available += reservation.new_tokens;
  record.uncommitted -= reservation.committed;
  assert(record.uncommitted >= 0);
  if (version > record.row.version) {
    record.row.version = version;
    record.row.reserved = reservation.reserved;
  }
}

void ReservationLedger::UpdateRow(const std::string& program,
                                  const BudgetRow& row) {
  ProgramRecord& record = programs_[program];
  if (row.version == 0) {
    // The row was removed; the known reservations remain.
    record.row.version = 0;
    return;
  }
  if (row.version >= record.row.version)
    record.row = row;
}

bool ReservationLedger::GrantProvisionally(const std::string& program,
                                           std::int64_t max_tokens,
                                           std::int64_t granted_elsewhere) {
  ProgramRecord& record = programs_[program];
  std::int64_t need = std::max<std::int64_t>(0, max_tokens - record.available);
  std::int64_t limit =
      max_tokens + record.budget / settings_.provisional_divisor;
  if (need > record.remaining() ||
      std::max(record.uncommitted, granted_elsewhere) + need > limit)
    return false;
  record.uncommitted += need;
  record.available += need;
  return true;
}

std::int64_t ReservationLedger::TakeUnused(const std::string& program) {
  auto found = programs_.find(program);
  return found == programs_.end() ? 0
                                  : std::exchange(found->second.available, 0);
}

bool ReservationLedger::Covers(const std::string& program,
                               std::int64_t max_tokens) const {
  auto found = programs_.find(program);
  return found != programs_.end() && found->second.available >= max_tokens;
}

void ReservationLedger::AddTokens(const std::string& program,
                                  std::int64_t tokens) {
  programs_[program].available += tokens;
}

void ReservationLedger::UpdateReserved(const std::string& program,
                                       std::int64_t reserved,
                                       base::TimePoint now) {
  ProgramRecord& record = programs_[program];
  record.last_used = std::max(record.last_used, now);
  record.row.reserved = std::max(record.row.reserved, reserved);
}

std::int64_t ReservationLedger::reserved(const std::string& program) const {
  auto found = programs_.find(program);
  if (found == programs_.end())
    return 0;
  return found->second.row.reserved + found->second.uncommitted;
}

std::int64_t ReservationLedger::uncommitted(const std::string& program) const {
  auto found = programs_.find(program);
  return found == programs_.end() ? 0 : found->second.uncommitted;
}

std::vector<std::string> ReservationLedger::UncommittedPrograms() const {
  std::vector<std::string> programs;
  for (const auto& [program, record] : programs_) {
    if (record.uncommitted > 0)
      programs.push_back(program);
  }
  return programs;
}

std::vector<std::string> ReservationLedger::Releasable(
    base::TimePoint now) const {
  std::vector<std::string> programs;
  for (const auto& [program, record] : programs_) {
    if (CanRelease(record, now))
      programs.push_back(program);
  }
  return programs;
}

std::vector<ReservationLedger::RemovedProgram> ReservationLedger::RemoveIdle(
    base::TimePoint before) {
  std::vector<RemovedProgram> removed;
  for (auto it = programs_.begin(); it != programs_.end();) {
    const ProgramRecord& program = it->second;
    if (program.open_turns == 0 && program.uncommitted == 0 &&
        program.last_used < before) {
      removed.push_back({it->first, program.row.version});
      it = programs_.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

}  // namespace vanillalever::forwarding
