#include "vanillalever/membership/lease_term.h"

namespace vanillalever::membership {

LeaseTerm::LeaseTerm(LeaseSettings settings) : settings_(settings) {}

LeaseTerm::Renewal LeaseTerm::BeginRenewal(base::TimePoint now) {
  open_.emplace(next_, now);
  last_sent_ = now;
  return next_++;
}

void LeaseTerm::Confirm(Renewal renewal) {
  auto it = open_.find(renewal);
  if (it == open_.end())
    return;
  if (!confirmed_ || it->second > *confirmed_)
    confirmed_ = it->second;
  open_.erase(it);
}

void LeaseTerm::Abandon(Renewal renewal) {
  open_.erase(renewal);
}

void LeaseTerm::MarkLost() {
  lost_ = true;
  open_.clear();
}

bool LeaseTerm::held(base::TimePoint now) const {
  auto until = expires_at();
  return until && now < *until;
}

std::optional<base::TimePoint> LeaseTerm::expires_at() const {
  if (lost_ || !confirmed_)
    return std::nullopt;
  return *confirmed_ + settings_.term;
}

bool LeaseTerm::RenewalDue(base::TimePoint now) const {
  if (lost_)
    return false;
  return !last_sent_ || now - *last_sent_ >= settings_.renew_interval;
}

}  // namespace vanillalever::membership
