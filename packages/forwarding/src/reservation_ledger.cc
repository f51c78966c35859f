#include "vanillalever/forwarding/reservation_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {

namespace {

// Whether the run's claim is known to be in the row, or to be void.
bool IsClaimed(const BudgetRow& row, RunId run) {
  const BudgetShare* share = row.Find(run);
  return share != nullptr && share->claimed;
}

}  // namespace

ReservationLedger::ReservationLedger(RunId run, BudgetSettings settings)
    : run_(run), settings_(settings) {}

std::int64_t ReservationLedger::ProgramRecord::unwritten() const {
  std::int64_t tokens = 0;
  for (const auto& [run, claimed] : claims)
    tokens += claimed;
  return tokens;
}

const ReservationLedger::ProgramRecord* ReservationLedger::Find(
    const std::string& program) const {
  auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

void ReservationLedger::AddKnown(const std::string& program) {
  known_.insert(base::Hash64(program));
}

std::int64_t ReservationLedger::LostClaims(const ProgramRecord& record) const {
  // The turn that a claim covers beside its part of the budget needs no margin:
  // a program may exceed its budget by one turn.
  bool lost = claims_lost_ && record.row.version == 0 &&
              record.row.reserved == 0 && record.claims.empty();
  return lost ? record.budget / settings_.claim_divisor : 0;
}

std::int64_t ReservationLedger::Remaining(const ProgramRecord& record) const {
  return record.budget - record.row.reserved - record.unwritten() -
         LostClaims(record);
}

BudgetVerdict ReservationLedger::Begin(const std::string& program,
                                       std::int64_t budget,
                                       std::int64_t max_tokens,
                                       base::TimePoint now) {
  ProgramRecord& record = programs_[program];
  // A program's budget does not change; the smaller value is safe.
  record.budget = record.budget == 0 ? budget : std::min(record.budget, budget);
  record.last_used = now;
  record.max_tokens = max_tokens;
  if (record.available >= max_tokens) {
    record.available -= max_tokens;
    ++record.open_turns;
    return BudgetVerdict::kGranted;
  }
  return max_tokens - record.available > Remaining(record)
             ? BudgetVerdict::kSpent
             : BudgetVerdict::kNeedsReservation;
}

void ReservationLedger::End(const std::string& program,
                            std::int64_t max_tokens,
                            std::int64_t used) {
  auto found = programs_.find(program);
  assert(found != programs_.end() && found->second.open_turns > 0);
  --found->second.open_turns;
  found->second.available += std::max<std::int64_t>(0, max_tokens - used);
}

BudgetReservation ReservationLedger::StartReservation(
    const ProgramRecord& record) const {
  BudgetReservation reservation;
  reservation.expected_version = record.row.version;
  reservation.row = record.row;
  reservation.row.reserved += LostClaims(record);
  for (const auto& [run, tokens] : record.claims) {
    reservation.row.Add(run, tokens, true);
    if (run != run_)
      reservation.changed.push_back(run);
  }
  return reservation;
}

void ReservationLedger::AddStandby(const ProgramRecord& record,
                                   const std::vector<RunId>& standby,
                                   std::int64_t left,
                                   BudgetReservation* reservation) const {
  for (RunId run : standby) {
    if (left < settings_.low_budget_turns * record.max_tokens)
      return;
    std::int64_t tokens = std::min(settings_.standby_turns * record.max_tokens,
                                   left / settings_.standby_divisor);
    if (reservation->row.Find(run) != nullptr) {
      auto borrowed = record.borrowed.find(run);
      tokens = borrowed == record.borrowed.end()
                   ? 0
                   : std::min(tokens, borrowed->second);
    }
    if (tokens <= 0)
      continue;
    reservation->row.Add(run, tokens, false);
    reservation->changed.push_back(run);
    left -= tokens;
  }
}

std::optional<BudgetReservation> ReservationLedger::NextReservation(
    const std::string& program,
    std::int64_t max_tokens,
    const std::vector<RunId>& standby) const {
  const ProgramRecord* record = Find(program);
  if (record == nullptr)
    return std::nullopt;
  std::int64_t remaining = Remaining(*record);
  std::int64_t need = std::max<std::int64_t>(0, max_tokens - record->available);
  if (need > remaining)
    return std::nullopt;
  std::int64_t ahead =
      std::min((settings_.turns_per_reservation - 1) * max_tokens,
               (remaining - need) / settings_.prereserve_divisor);
  BudgetReservation reservation = StartReservation(*record);
  AddStandby(*record, standby, remaining - need - ahead, &reservation);
  reservation.row.Add(run_, need + ahead, record->claim_void);
  return reservation;
}

std::optional<BudgetReservation> ReservationLedger::ClaimWrite(
    const std::string& program) const {
  const ProgramRecord* record = Find(program);
  if (record == nullptr || (record->claims.empty() && !record->claim_counted))
    return std::nullopt;
  BudgetReservation reservation = StartReservation(*record);
  reservation.row.Add(run_, 0, record->claim_void);
  return reservation;
}

bool ReservationLedger::CanRelease(const ProgramRecord& record,
                                   base::TimePoint now) const {
  if (record.row.version == 0)
    return false;
  if (record.releasing > 0)
    return now - record.release_written >= settings_.release_after;
  if (record.available == 0 || record.open_turns > 0 || record.max_tokens == 0)
    return false;
  if (stopping_)
    return now - record.last_used < settings_.release_window_when_stopping;
  return now - record.last_used > settings_.release_after &&
         Remaining(record) < settings_.low_budget_turns * record.max_tokens;
}

std::optional<BudgetReservation> ReservationLedger::TakeRelease(
    const std::string& program,
    base::TimePoint now) {
  ProgramRecord& record = programs_[program];
  if (!CanRelease(record, now))
    return std::nullopt;
  if (record.releasing == 0)
    record.releasing = std::exchange(record.available, 0);
  record.release_written = now;
  return ReleaseRow(record);
}

std::optional<BudgetReservation> ReservationLedger::RepeatRelease(
    const std::string& program) const {
  const ProgramRecord* record = Find(program);
  if (record == nullptr || !record->release_in_doubt)
    return std::nullopt;
  return ReleaseRow(*record);
}

BudgetReservation ReservationLedger::ReleaseRow(
    const ProgramRecord& record) const {
  BudgetReservation reservation = StartReservation(record);
  reservation.row.Add(run_, -record.releasing, record.claim_void);
  return reservation;
}

void ReservationLedger::OnUnknown(const std::string& program) {
  ProgramRecord& record = programs_[program];
  record.release_in_doubt |= record.releasing > 0;
}

void ReservationLedger::OnRefused(const std::string& program) {
  ProgramRecord& record = programs_[program];
  if (!record.release_in_doubt)
    record.available += std::exchange(record.releasing, 0);
}

void ReservationLedger::ApplyShare(const BudgetRow& row,
                                   const BudgetShare& share,
                                   ProgramRecord* record) {
  const BudgetShare* before = record->row.Find(run_);
  // Tells what became of this run's writes, those without a response too: a
  // release that is not in this row can no longer be written, as it expects an
  // earlier version.
  std::int64_t credit = share.tokens - (before ? before->tokens : 0) +
                        std::exchange(record->releasing, 0);
  bool claim_added = share.claimed && !(before && before->claimed);
  if (auto own = record->claims.find(run_); own != record->claims.end()) {
    if (claim_added)
      credit -= own->second;
  } else if (claim_added && row.reserved > record->budget) {
    // Others added a void claim after the budget was reserved.
    credit -= row.reserved - record->budget;
  }
  record->claim_counted &= !share.claimed;
  // Below zero if the share was dropped from the row and added again.
  record->available += std::max(credit, -record->available);
}

void ReservationLedger::ApplyRow(const std::string& program,
                                 const BudgetRow& row) {
  ProgramRecord& record = programs_[program];
  if (row.version <= record.row.version)
    return;
  if (const BudgetShare* share = row.Find(run_))
    ApplyShare(row, *share, &record);
  else
    record.releasing = 0;
  record.release_in_doubt = false;
  for (const BudgetShare& share : row.shares) {
    if (share.claimed)
      record.claims.erase(share.run);
    if (const BudgetShare* known = record.row.Find(share.run);
        known == nullptr || share.tokens > known->tokens)
      record.borrowed.erase(share.run);
  }
  record.row = row;
}

void ReservationLedger::OnRowRemoved(const std::string& program) {
  ProgramRecord& record = programs_[program];
  record.row.version = 0;
  // A release in doubt may have been written before the row was removed.
  std::int64_t released = std::exchange(record.releasing, 0);
  if (!std::exchange(record.release_in_doubt, false))
    record.available += released;
}

BudgetKnowledge ReservationLedger::Knowledge(const std::string& program) const {
  BudgetKnowledge knowledge;
  if (const ProgramRecord* record = Find(program)) {
    knowledge.row = record->row;
    for (const auto& [run, tokens] : record->claims)
      knowledge.claims.push_back({run, tokens, true});
  }
  return knowledge;
}

bool ReservationLedger::Knows(const std::string& program) const {
  if (known_.contains(base::Hash64(program)))
    return true;
  const ProgramRecord* record = Find(program);
  return record != nullptr &&
         (record->row.version > 0 || record->row.reserved > 0 ||
          !record->claims.empty());
}

void ReservationLedger::Merge(const std::string& program,
                              const BudgetKnowledge& knowledge,
                              base::TimePoint now) {
  if (!knowledge.known())
    return;
  programs_[program].last_used = now;
  if (knowledge.row.version > 0)
    ApplyRow(program, knowledge.row);
  for (const BudgetShare& claim : knowledge.claims) {
    if (claim.run != run_)
      AddClaim(program, claim.run, claim.tokens);
    else if (ProgramRecord& record = programs_[program]; record.claim_void)
      record.claim_counted = !IsClaimed(record.row, run_);
  }
}

std::int64_t ReservationLedger::ClaimSize(const std::string& program) const {
  const ProgramRecord* record = Find(program);
  if (record == nullptr)
    return 0;
  return std::min(record->budget, record->max_tokens +
                                      record->budget / settings_.claim_divisor);
}

void ReservationLedger::AddClaim(const std::string& program,
                                 RunId run,
                                 std::int64_t tokens) {
  ProgramRecord& record = programs_[program];
  if (IsClaimed(record.row, run))
    return;
  record.claims[run] = std::max(record.claims[run], tokens);
}

void ReservationLedger::GrantClaim(const std::string& program,
                                   std::int64_t tokens) {
  ProgramRecord& record = programs_[program];
  record.claims[run_] = tokens;
  record.claim_void = false;
  record.available += tokens;
}

void ReservationLedger::VoidClaim(const std::string& program) {
  programs_[program].claim_void = true;
}

std::vector<std::string> ReservationLedger::UnwrittenClaims() const {
  std::vector<std::string> programs;
  for (const auto& [program, record] : programs_) {
    if (!record.claims.empty() || record.claim_counted)
      programs.push_back(program);
  }
  return programs;
}

bool ReservationLedger::HasOwnClaim(const std::string& program) const {
  const ProgramRecord* record = Find(program);
  return record != nullptr &&
         (record->claims.contains(run_) || record->claim_counted);
}

std::vector<RunId> ReservationLedger::Claimants(
    const std::string& program) const {
  std::vector<RunId> runs;
  if (const ProgramRecord* record = Find(program)) {
    for (const auto& [run, tokens] : record->claims) {
      if (run != run_)
        runs.push_back(run);
    }
  }
  return runs;
}

std::int64_t ReservationLedger::TakeUnused(const std::string& program,
                                           std::int64_t most) {
  auto found = programs_.find(program);
  if (found == programs_.end())
    return 0;
  std::int64_t tokens = std::min(found->second.available, most);
  found->second.available -= tokens;
  return tokens;
}

bool ReservationLedger::Covers(const std::string& program,
                               std::int64_t max_tokens) const {
  return available(program) >= max_tokens;
}

void ReservationLedger::AddTokens(const std::string& program,
                                  RunId from,
                                  std::int64_t tokens) {
  ProgramRecord& record = programs_[program];
  record.available += tokens;
  record.borrowed[from] += tokens;
}

std::int64_t ReservationLedger::reserved(const std::string& program) const {
  const ProgramRecord* record = Find(program);
  return record == nullptr ? 0 : record->row.reserved + record->unwritten();
}

bool ReservationLedger::ReleaseInDoubt(const std::string& program) const {
  const ProgramRecord* record = Find(program);
  return record != nullptr && record->release_in_doubt;
}

std::int64_t ReservationLedger::available(const std::string& program) const {
  const ProgramRecord* record = Find(program);
  return record == nullptr ? 0 : record->available;
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

std::vector<std::string> ReservationLedger::UnusedStandby() const {
  std::vector<std::string> programs;
  for (const auto& [program, record] : programs_) {
    if (record.max_tokens == 0 && record.available > 0)
      programs.push_back(program);
  }
  return programs;
}

std::vector<ReservationLedger::RemovedProgram> ReservationLedger::RemoveIdle(
    base::TimePoint before) {
  std::vector<RemovedProgram> removed;
  for (auto it = programs_.begin(); it != programs_.end();) {
    const ProgramRecord& record = it->second;
    if (record.open_turns > 0 || !record.claims.empty() ||
        record.releasing > 0 || record.last_used >= before) {
      ++it;
      continue;
    }
    const BudgetRow& row = record.row;
    bool wrote_last = !row.shares.empty() && row.shares.back().run == run_;
    removed.push_back({it->first, wrote_last ? row.version : 0});
    it = programs_.erase(it);
  }
  return removed;
}

}  // namespace vanillalever::forwarding
