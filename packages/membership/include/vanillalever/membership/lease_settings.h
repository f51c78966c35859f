#ifndef VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_
#define VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::membership {

// Timing of the entries' leases. All entries of a region must use the same
// values, because observers apply their own `term` to the leases of others.
struct LeaseSettings {
  // How long a renewal is valid, counted from before it was sent.
  base::Duration term = base::seconds(15);
  // Time between renewals. A third of the term, so that the lease survives two
  // lost renewals in a row.
  base::Duration renew_interval = base::seconds(5);
  // Time beyond the term that an observer waits before it regards a lease as
  // expired. Covers the drift between two monotonic clocks over one term.
  base::Duration clock_drift_margin = base::seconds(2);
  // Maximum time between two successful reads that still counts as continuous
  // observation. A longer gap restarts the observation, so that owners can
  // renew once the platform is available again.
  base::Duration max_read_gap = base::seconds(5);
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_SETTINGS_H_
