#ifndef VANILLALEVER_RATE_SHARED_RATE_H_
#define VANILLALEVER_RATE_SHARED_RATE_H_

#include <array>
#include <cstdint>
#include <map>

#include "vanillalever/base/clock.h"

namespace vanillalever::rate {

// Limit on the requests of all gateways together.
struct RateLimit {
  // Requests a second; positive.
  double per_second = 1;
  // Time for which unused requests may be made up for.
  base::Duration max_credit{0};
  // Bounds the effect of requests that were sent before they were announced.
  base::Duration max_debt{0};
};

// Requests of one gateway since its start, modulo 2^32. Both only grow, so that
// announcements may be lost or arrive out of order.
struct RequestTotals {
  std::uint32_t taken = 0;
  // Those of them that have not run, and no longer count.
  std::uint32_t returned = 0;
};

// Whether the gateway whose totals arrive was heard from all the time. One that
// was not kept within the share of the rate that was left to it.
enum class PeerContact { kSteady, kInterrupted };

// Spaces the requests of all gateways by a rate that they share (generic cell
// rate algorithm). Each gateway counts its own requests and those that the
// others announce; requests that crossed on the way delay the following ones.
// There is no coordinator: a gateway that reaches only some of the others uses
// only their share of the rate and of the credit. Not thread-safe.
class SharedRate {
 public:
  // Sets the limit. Credit and debt, in requests, stay within the new bounds.
  void SetLimit(const RateLimit& limit, base::TimePoint now);
  // Forgets the credit and debt: the next request may go at `next_at`.
  void Restart(base::TimePoint next_at) { next_at_ = next_at; }
  // Fraction of the gateways that this one reaches, itself included; positive.
  void SetReachableShare(double share) { reachable_share_ = share; }

  // The same when contact is lost: what was taken while that was not noticed
  // counts by the new share, since the others may have taken as much.
  void LoseContact(double share, base::TimePoint now);

  // Counts a request that goes now, or at the time that next_at() has returned.
  void Take(base::TimePoint now);
  // A request that was counted has not run.
  void Return();
  // Another gateway announces its totals. `recent`: requests that it has taken
  // since its last announcement, counted if it was not heard from before.
  void OnPeerTotals(std::uint64_t peer,
                    const RequestTotals& totals,
                    std::uint32_t recent,
                    PeerContact contact,
                    base::TimePoint now);
  void RemovePeer(std::uint64_t peer) { peers_.erase(peer); }
  void RemovePeers() { peers_.clear(); }

  // Earliest time of another request; in the past if one may go at once.
  base::TimePoint next_at() const { return next_at_; }
  // Requests that may go at once beyond the rate; negative in debt.
  double credit(base::TimePoint now) const;
  // Whether at least half of the credit is left.
  bool plentiful(base::TimePoint now) const {
    return now - next_at_ >= limit_.max_credit / 2;
  }
  const RequestTotals& totals() const { return totals_; }

  // Loss of contact is noticed within this time.
  static constexpr base::milliseconds kMaxUnnoticed{800};

 private:
  static constexpr base::milliseconds kBucket{100};
  static constexpr std::size_t kBuckets = kMaxUnnoticed / kBucket;

  // Requests counted in one span of kBucket.
  struct Bucket {
    std::int64_t number = -1;
    double requests = 0;
  };

  // Requests of all gateways, as far as known, in the last kMaxUnnoticed.
  double CountRecent(base::TimePoint now) const;
  // Time that `requests` take up.
  base::Duration Cost(double requests) const;
  void Add(double requests, base::Duration max_debt, base::TimePoint now);

  RateLimit limit_;
  double reachable_share_ = 1;
  RequestTotals totals_;
  // As last announced.
  std::map<std::uint64_t, RequestTotals> peers_;
  base::TimePoint next_at_{};
  std::array<Bucket, kBuckets> recent_;
};

}  // namespace vanillalever::rate

#endif  // VANILLALEVER_RATE_SHARED_RATE_H_
