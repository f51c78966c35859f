#include "vanillalever/membership/lease_observer.h"

#include <algorithm>
#include <utility>

namespace vanillalever::membership {

LeaseObserver::LeaseObserver(LeaseSettings settings) : settings_(settings) {}

void LeaseObserver::OnReadSucceeded(base::TimePoint sent,
                                    base::TimePoint now,
                                    const std::vector<EntryRow>& rows) {
  if (ready_ && sent < last_sent_)
    return;
  // The first read showed the state at some time up to its arrival, this one
  // at some time after it was sent: only the time between is certain.
  base::Duration between{0};
  bool continuous = false;
  if (ready_) {
    between = std::max(base::Duration(0), sent - last_arrived_);
    continuous = between <= settings_.max_read_gap;
  }
  if (failed_since_)
    between = base::Duration(0);
  std::map<std::string, Watch> watches;
  for (const EntryRow& row : rows) {
    Watch watch{row, base::Duration(0)};
    auto it = watches_.find(row.incarnation);
    if (continuous && it != watches_.end() &&
        it->second.row.version == row.version) {
      watch.unchanged = it->second.unchanged + between;
    }
    watches.insert_or_assign(row.incarnation, std::move(watch));
  }
  watches_ = std::move(watches);
  ready_ = true;
  failed_since_ = false;
  last_sent_ = sent;
  last_arrived_ = now;
}

void LeaseObserver::OnReadFailed() {
  failed_since_ = true;
}

LeaseStatus LeaseObserver::status(const std::string& incarnation) const {
  auto it = watches_.find(incarnation);
  if (it != watches_.end())
    return Judge(it->second);
  return ready_ ? LeaseStatus::kAbsent : LeaseStatus::kLive;
}

const EntryRow* LeaseObserver::Find(const std::string& incarnation) const {
  auto it = watches_.find(incarnation);
  return it == watches_.end() ? nullptr : &it->second.row;
}

std::vector<EntryRow> LeaseObserver::active() const {
  std::vector<EntryRow> rows;
  for (const auto& [incarnation, watch] : watches_) {
    if (Judge(watch) == LeaseStatus::kLive &&
        watch.row.state == EntryState::kActive) {
      rows.push_back(watch.row);
    }
  }
  return rows;
}

std::vector<std::string> LeaseObserver::expired() const {
  std::vector<std::string> names;
  for (const auto& [incarnation, watch] : watches_) {
    if (Judge(watch) == LeaseStatus::kExpired)
      names.push_back(incarnation);
  }
  return names;
}

LeaseStatus LeaseObserver::Judge(const Watch& watch) const {
  if (watch.row.state == EntryState::kFenced)
    return LeaseStatus::kFenced;
  if (watch.unchanged >= settings_.term + settings_.clock_drift_margin)
    return LeaseStatus::kExpired;
  return LeaseStatus::kLive;
}

}  // namespace vanillalever::membership
