#ifndef VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_
#define VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_

#include <cstdint>
#include <map>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/membership/lease_settings.h"

namespace vanillalever::membership {

// The lease of this entry. The term counts from before a renewal is sent, so
// that it ends here before it ends for any observer. Not thread-safe.
class LeaseTerm {
 public:
  // Identifies a renewal of this lease.
  using Renewal = std::uint64_t;

  explicit LeaseTerm(LeaseSettings settings);

  // Must be called before a renewal of the row is sent.
  Renewal BeginRenewal(base::TimePoint now);

  // Records that the renewal was applied: its response arrived, or a read of
  // the row returned its transaction token. Responses may arrive in any order.
  // A confirmation after the end of the term restores the lease: the write was
  // conditional on the row's version, which any takeover would have changed.
  void Confirm(Renewal renewal);

  // Drops a renewal that was not applied or whose outcome no longer matters.
  void Abandon(Renewal renewal);

  // Records that the row was fenced by another entry or removed. Final: the
  // entry can continue only under a new incarnation.
  void MarkLost();

  // Whether this entry may act as the owner of its shards at `now`.
  bool held(base::TimePoint now) const;

  // Whether the lease was lost permanently.
  bool lost() const { return lost_; }

  // When the confirmed term ends; nullopt before the first confirmation and
  // once the lease is lost.
  std::optional<base::TimePoint> expires_at() const;

  // Whether it is time to send the next renewal.
  bool RenewalDue(base::TimePoint now) const;

 private:
  LeaseSettings settings_;
  Renewal next_renewal_ = 1;
  // Send times of renewals without a known outcome.
  std::map<Renewal, base::TimePoint> pending_;
  // Send time of the latest renewal.
  std::optional<base::TimePoint> last_renewal_sent_at_;
  // Send time of the latest confirmed renewal.
  std::optional<base::TimePoint> confirmed_sent_at_;
  bool lost_ = false;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_TERM_H_
