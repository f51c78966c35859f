#include "vanillalever/conversation/retention_schedule.h"

#include <utility>

namespace vanillalever::conversation {
namespace {

// Records are kept for this many retention times after their last use, so that
// a gateway that continues the conversation late can still take them over.
constexpr int kKeptRetentions = 3;
// A continued conversation is taken over after this fraction of its retention
// time; most programs have ended by then.
constexpr int kTakeoverDivisor = 2;
constexpr base::seconds kTakeoverRetryDelay{2};

}  // namespace

void RetentionSchedule::OnRecorded(const TurnPtr& turn,
                                   const OwnedRecord& record,
                                   base::Duration retention,
                                   base::TimePoint now) {
  base::TimePoint expires = now + kKeptRetentions * retention;
  owned_[turn->id] = {record, retention, expires};
  checks_.emplace(expires, turn->id);
  for (TurnPtr ancestor = turn->previous; ancestor;
       ancestor = ancestor->previous) {
    if (auto found = owned_.find(ancestor->id); found != owned_.end()) {
      found->second.expires = expires;
      continue;
    }
    if (taking_over_.contains(ancestor->id) ||
        !takeovers_.try_emplace(ancestor->id, Takeover{ancestor, retention})
             .second)
      continue;
    takeover_times_.emplace(now + retention / kTakeoverDivisor, ancestor->id);
  }
}

std::vector<RetentionSchedule::OwnedRecord> RetentionSchedule::TakeExpired(
    base::TimePoint now) {
  std::vector<OwnedRecord> expired;
  while (!checks_.empty() && checks_.begin()->first <= now) {
    std::string id = std::move(checks_.begin()->second);
    checks_.erase(checks_.begin());
    auto found = owned_.find(id);
    if (found == owned_.end())
      continue;
    if (found->second.expires > now) {
      checks_.emplace(found->second.expires, std::move(id));
      continue;
    }
    expired.push_back(std::move(found->second.record));
    owned_.erase(found);
  }
  return expired;
}

std::vector<TurnPtr> RetentionSchedule::TakeTakeovers(base::TimePoint now) {
  std::vector<TurnPtr> turns;
  while (!takeover_times_.empty() && takeover_times_.begin()->first <= now) {
    auto found = takeovers_.find(takeover_times_.begin()->second);
    takeover_times_.erase(takeover_times_.begin());
    taking_over_[found->first] = found->second.retention;
    turns.push_back(std::move(found->second.turn));
    takeovers_.erase(found);
  }
  return turns;
}

void RetentionSchedule::OnTakenOver(const OwnedRecord& record,
                                    base::TimePoint now) {
  auto found = taking_over_.find(record.id);
  if (found == taking_over_.end())
    return;
  base::TimePoint expires = now + kKeptRetentions * found->second;
  owned_[record.id] = {record, found->second, expires};
  checks_.emplace(expires, record.id);
  taking_over_.erase(found);
}

void RetentionSchedule::OnTakeoverFailed(const TurnPtr& turn,
                                         bool taken_by_other,
                                         base::TimePoint now) {
  auto found = taking_over_.find(turn->id);
  if (found == taking_over_.end())
    return;
  base::Duration retention = found->second;
  taking_over_.erase(found);
  if (taken_by_other ||
      !takeovers_.try_emplace(turn->id, Takeover{turn, retention}).second)
    return;
  takeover_times_.emplace(now + kTakeoverRetryDelay, turn->id);
}

}  // namespace vanillalever::conversation
