#include "vanillalever/membership/lease_observer.h"

#include <algorithm>
#include <utility>

namespace vanillalever::membership {

LeaseObserver::LeaseObserver(LeaseSettings settings) : settings_(settings) {}

void LeaseObserver::OnReadSucceeded(base::TimePoint sent_at,
                                    base::TimePoint now,
                                    const std::vector<EntryRow>& rows) {
  if (ready_ && sent_at < last_read_sent_at_)
    return;
  // The previous read shows the rows at some time before its response, this one
  // at some time after its request. Only the interval from that response to
  // this request is known to be without a change.
  base::Duration certain_interval{0};
  bool continuous = false;
  if (ready_) {
    certain_interval =
        std::max(base::Duration(0), sent_at - last_read_received_at_);
    continuous = certain_interval <= settings_.max_read_gap;
  }
  if (read_failed_)
    certain_interval = base::Duration(0);
  std::map<std::string, ObservedRow> observed_rows;
  for (const EntryRow& row : rows) {
    ObservedRow observed{row, base::Duration(0)};
    auto it = observed_rows_.find(row.incarnation);
    if (continuous && it != observed_rows_.end() &&
        it->second.row.version == row.version) {
      observed.unchanged_for = it->second.unchanged_for + certain_interval;
    }
    observed_rows.insert_or_assign(row.incarnation, std::move(observed));
  }
  observed_rows_ = std::move(observed_rows);
  ready_ = true;
  read_failed_ = false;
  last_read_sent_at_ = sent_at;
  last_read_received_at_ = now;
}

void LeaseObserver::OnReadFailed() {
  read_failed_ = true;
}

LeaseStatus LeaseObserver::status(const std::string& incarnation) const {
  auto it = observed_rows_.find(incarnation);
  if (it != observed_rows_.end())
    return ComputeStatus(it->second);
  return ready_ ? LeaseStatus::kAbsent : LeaseStatus::kLive;
}

const EntryRow* LeaseObserver::Find(const std::string& incarnation) const {
  auto it = observed_rows_.find(incarnation);
  return it == observed_rows_.end() ? nullptr : &it->second.row;
}

std::vector<EntryRow> LeaseObserver::active() const {
  std::vector<EntryRow> rows;
  for (const auto& [incarnation, observed] : observed_rows_) {
    if (ComputeStatus(observed) == LeaseStatus::kLive &&
        observed.row.state == EntryState::kActive) {
      rows.push_back(observed.row);
    }
  }
  return rows;
}

std::vector<std::string> LeaseObserver::expired() const {
  std::vector<std::string> incarnations;
  for (const auto& [incarnation, observed] : observed_rows_) {
    if (ComputeStatus(observed) == LeaseStatus::kExpired)
      incarnations.push_back(incarnation);
  }
  return incarnations;
}

LeaseStatus LeaseObserver::ComputeStatus(const ObservedRow& observed) const {
  if (observed.row.state == EntryState::kFenced)
    return LeaseStatus::kFenced;
  if (observed.unchanged_for >= settings_.term + settings_.clock_drift_margin)
    return LeaseStatus::kExpired;
  return LeaseStatus::kLive;
}

}  // namespace vanillalever::membership
