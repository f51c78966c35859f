#ifndef VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_
#define VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::membership {

// Times of the entries' lease rows. All entries of a region use the same
// values, because observers judge by the term of the owner.
struct LeaseSettings {
  // How long one renewal is valid, counted from before it was sent.
  base::Duration term = base::seconds(15);
  // How often the owner renews; a third of the term, so that two lost renewals
  // in a row do not end the lease.
  base::Duration renew_interval = base::seconds(5);
  // How much longer than the term an observer waits. Covers the drift between
  // two monotonic clocks over one term.
  base::Duration clock_drift_margin = base::seconds(2);
  // Longest time between two successful reads of the rows that still counts as
  // continuous observation. A longer gap restarts the observation, so that
  // owners can renew once the platform is back.
  base::Duration max_read_gap = base::seconds(5);
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_
