#include "vanillalever/conversation/retention_schedule.h"

#include <algorithm>
#include <utility>

namespace vanillalever::conversation {
namespace {

// Records are kept for this many retention times after their last use and after
// they were last written, so that a gateway that continues the conversation
// late can still renew them.
constexpr int kKeptRetentions = 3;
// A record that others may have taken over is renewed within this many
// retention times. The rest is for a renewal that is late.
constexpr int kRenewalRetentions = 2;
// A record of another gateway is first renewed after this fraction of its
// retention time.
constexpr int kFirstRenewalDivisor = 2;
constexpr base::seconds kRetryDelay{2};

}  // namespace

void RetentionSchedule::OnRecorded(const TurnPtr& turn,
                                   const OwnedRecord& record,
                                   base::TimePoint now) {
  Kept& own = kept_[record.id];
  own = {.version = record.version,
         .rows = record.rows,
         .stated = turn->retention,
         .needed = turn->retention,
         .last_used = now,
         .renewed = now,
         .expires = now + kKeptRetentions * turn->retention,
         .due = std::nullopt,
         .renewing = std::nullopt};
  checks_.emplace(own.expires, record.id);
  for (const Turn* ancestor = turn->previous.get(); ancestor != nullptr;
       ancestor = ancestor->previous.get()) {
    auto [found, added] = kept_.try_emplace(ancestor->id);
    Kept& kept = found->second;
    if (added) {
      kept.stated = ancestor->retention;
      checks_.emplace(now + kKeptRetentions * turn->retention, ancestor->id);
    }
    Use(ancestor->id, kept, turn->retention, now);
  }
}

void RetentionSchedule::Use(const std::string& id,
                            Kept& kept,
                            base::Duration retention,
                            base::TimePoint now) {
  kept.last_used = now;
  kept.needed = std::max(kept.needed, retention);
  // Records of earlier releases state no retention time.
  if (kept.stated == base::Duration(0))
    kept.stated = retention;
  kept.expires = std::max(kept.expires, now + kKeptRetentions * retention);
  if (!kept.renewing && !kept.due)
    Schedule(id, kept);
}

void RetentionSchedule::Schedule(const std::string& id, Kept& kept) {
  bool states_too_little = kept.needed > kept.stated;
  if (kept.last_used <= kept.renewed && !states_too_little)
    return;
  bool new_to_this_gateway = kept.renewed == base::TimePoint{};
  if (new_to_this_gateway || states_too_little) {
    auto sooner = std::min(kept.stated, kept.needed);
    return SetDue(id, kept, kept.last_used + sooner / kFirstRenewalDivisor);
  }
  SetDue(id, kept, kept.renewed + kRenewalRetentions * kept.stated);
}

void RetentionSchedule::SetDue(const std::string& id,
                               Kept& kept,
                               base::TimePoint due) {
  kept.due = due;
  renewals_.emplace(due, id);
}

std::vector<RetentionSchedule::OwnedRecord> RetentionSchedule::TakeExpired(
    base::TimePoint now) {
  std::vector<OwnedRecord> expired;
  while (!checks_.empty() && checks_.begin()->first <= now) {
    std::string id = std::move(checks_.begin()->second);
    checks_.erase(checks_.begin());
    auto found = kept_.find(id);
    if (found == kept_.end())
      continue;
    const Kept& kept = found->second;
    if (kept.expires > now || kept.renewing) {
      checks_.emplace(std::max(kept.expires, now + kRetryDelay), std::move(id));
      continue;
    }
    if (kept.version != 0)
      expired.push_back({std::move(id), kept.version, kept.rows});
    kept_.erase(found);
  }
  return expired;
}

std::vector<RetentionSchedule::Renewal> RetentionSchedule::TakeRenewals(
    base::TimePoint now) {
  std::vector<Renewal> renewals;
  while (!renewals_.empty() && renewals_.begin()->first <= now) {
    auto [due, id] = std::move(*renewals_.begin());
    renewals_.erase(renewals_.begin());
    auto found = kept_.find(id);
    if (found == kept_.end() || found->second.due != due)
      continue;
    Kept& kept = found->second;
    kept.due.reset();
    kept.renewing = now;
    renewals.push_back({std::move(id), kept.version, kept.needed});
  }
  return renewals;
}

RetentionSchedule::Kept* RetentionSchedule::FindRenewing(
    const std::string& id) {
  auto found = kept_.find(id);
  return found == kept_.end() || !found->second.renewing ? nullptr
                                                         : &found->second;
}

void RetentionSchedule::OnUnchanged(const std::string& id) {
  Kept* kept = FindRenewing(id);
  if (kept == nullptr)
    return;
  // The record was read later than the renewal began.
  kept->renewed = *std::exchange(kept->renewing, std::nullopt);
  Schedule(id, *kept);
}

void RetentionSchedule::OnRewritten(const OwnedRecord& record,
                                    base::Duration retention,
                                    base::TimePoint now) {
  Kept* kept = FindRenewing(record.id);
  if (kept == nullptr)
    return;
  kept->version = record.version;
  kept->rows = record.rows;
  kept->stated = retention;
  kept->renewed = *std::exchange(kept->renewing, std::nullopt);
  // Other gateways that rely on the record count on that much from this write.
  kept->expires = std::max(kept->expires, now + kKeptRetentions * retention);
  Schedule(record.id, *kept);
}

void RetentionSchedule::OnRenewalFailed(const std::string& id,
                                        bool taken_by_other,
                                        base::TimePoint now) {
  Kept* kept = FindRenewing(id);
  if (kept == nullptr)
    return;
  auto started = *std::exchange(kept->renewing, std::nullopt);
  if (!taken_by_other)
    return SetDue(id, *kept, now + kRetryDelay);
  kept->version = 0;
  kept->renewed = started;
  Schedule(id, *kept);
}

std::size_t RetentionSchedule::owned() const {
  return static_cast<std::size_t>(
      std::count_if(kept_.begin(), kept_.end(),
                    [](const auto& item) { return item.second.version != 0; }));
}

}  // namespace vanillalever::conversation
