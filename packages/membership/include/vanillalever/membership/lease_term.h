#ifndef VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_
#define VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_

#include <cstdint>
#include <map>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/membership/lease_settings.h"

namespace vanillalever::membership {

// An entry's view of its own lease. The term counts from before the renewal
// was sent, so this view ends before that of any observer. Not thread-safe.
class LeaseTerm {
 public:
  // Identifies one renewal within this object.
  using Renewal = std::uint64_t;

  explicit LeaseTerm(LeaseSettings settings);

  // To be called before a renewal of the row is sent.
  Renewal BeginRenewal(base::TimePoint now);

  // The row holds this renewal: its response arrived, or reading the row back
  // showed its transaction token. Responses may arrive in any order. A renewal
  // that is confirmed after the term ended restores the lease: its write was
  // conditional on the row, which a takeover changes first.
  void Confirm(Renewal renewal);

  // The renewal was not applied, or its outcome no longer matters.
  void Abandon(Renewal renewal);

  // The row was fenced by another entry or is gone. Final: the entry continues
  // only under a new incarnation.
  void MarkLost();

  // Whether the owner may act as the owner at `now`.
  bool held(base::TimePoint now) const;

  // Whether the lease was lost for good.
  bool lost() const { return lost_; }

  // When the confirmed term ends; nothing before the first confirmation and
  // after a loss.
  std::optional<base::TimePoint> expires_at() const;

  // Whether the next renewal should be sent.
  bool RenewalDue(base::TimePoint now) const;

 private:
  LeaseSettings settings_;
  Renewal next_ = 1;
  // Send times of the renewals whose outcome is open.
  std::map<Renewal, base::TimePoint> open_;
  // Send time of the latest renewal sent.
  std::optional<base::TimePoint> last_sent_;
  // Send time of the latest confirmed renewal.
  std::optional<base::TimePoint> confirmed_;
  bool lost_ = false;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_
