#include "vanillalever/membership/lease_term.h"

namespace vanillalever::membership {

LeaseTerm::LeaseTerm(LeaseSettings settings) : settings_(settings) {}

LeaseTerm::Renewal LeaseTerm::BeginRenewal(base::TimePoint now) {
  pending_.emplace(next_renewal_, now);
  last_renewal_sent_at_ = now;
  return next_renewal_++;
}

void LeaseTerm::Confirm(Renewal renewal) {
  auto it = pending_.find(renewal);
  if (it == pending_.end())
    return;
  if (!confirmed_sent_at_ || it->second > *confirmed_sent_at_)
    confirmed_sent_at_ = it->second;
  pending_.erase(it);
}

void LeaseTerm::Abandon(Renewal renewal) {
  pending_.erase(renewal);
}

void LeaseTerm::MarkLost() {
  lost_ = true;
  pending_.clear();
}

bool LeaseTerm::held(base::TimePoint now) const {
  auto expiry = expires_at();
  return expiry && now < *expiry;
}

std::optional<base::TimePoint> LeaseTerm::expires_at() const {
  if (lost_ || !confirmed_sent_at_)
    return std::nullopt;
  return *confirmed_sent_at_ + settings_.term;
}

bool LeaseTerm::RenewalDue(base::TimePoint now) const {
  if (lost_)
    return false;
  return !last_renewal_sent_at_ ||
         now - *last_renewal_sent_at_ >= settings_.renew_interval;
}

}  // namespace vanillalever::membership
