#include "vanillalever/rate/shared_rate.h"

#include <algorithm>
#include <utility>

namespace vanillalever::rate {
namespace {

// Growth of a total that is announced modulo 2^32; messages may arrive out of
// order.
std::uint32_t Growth(std::uint32_t before, std::uint32_t after) {
  return static_cast<std::uint32_t>(
      std::max(0, static_cast<std::int32_t>(after - before)));
}

std::int64_t BucketNumber(base::TimePoint now, base::milliseconds bucket) {
  return now.time_since_epoch() / bucket;
}

}  // namespace

void SharedRate::LoseContact(double share, base::TimePoint now) {
  double before = std::exchange(reachable_share_, share);
  double requests = CountRecent(now) * (1 - share / before);
  if (requests > 0)
    next_at_ = std::min<base::TimePoint>(
        std::max<base::TimePoint>(next_at_, now - limit_.max_credit) +
            Cost(requests),
        now + limit_.max_debt);
}

double SharedRate::CountRecent(base::TimePoint now) const {
  std::int64_t current = BucketNumber(now, kBucket);
  double requests = 0;
  for (const Bucket& bucket : recent_) {
    if (current - bucket.number <= static_cast<std::int64_t>(kBuckets))
      requests += bucket.requests;
  }
  return requests;
}

void SharedRate::SetLimit(const RateLimit& limit, base::TimePoint now) {
  double requests = credit(now);
  limit_ = limit;
  next_at_ = std::clamp<base::TimePoint>(
      now - Cost(requests), now - limit_.max_credit, now + limit_.max_debt);
}

void SharedRate::Take(base::TimePoint now) {
  ++totals_.taken;
  Add(1, limit_.max_debt, now);
}

void SharedRate::Return() {
  ++totals_.returned;
  next_at_ -= Cost(1);
}

void SharedRate::OnPeerTotals(std::uint64_t peer,
                              const RequestTotals& totals,
                              std::uint32_t recent,
                              PeerContact contact,
                              base::TimePoint now) {
  auto [known, added] = peers_.try_emplace(peer, totals);
  if (added)
    return Add(recent, limit_.max_debt, now);
  std::uint32_t taken = Growth(known->second.taken, totals.taken);
  std::uint32_t returned = Growth(known->second.returned, totals.returned);
  known->second.taken += taken;
  known->second.returned += returned;
  next_at_ -= Cost(returned);
  // What a gateway took out of contact was its own share: it uses up the credit
  // that this one has by now, and no more.
  base::Duration max_debt = contact == PeerContact::kSteady
                                ? limit_.max_debt
                                : base::Duration::zero();
  Add(taken, max_debt, now);
}

double SharedRate::credit(base::TimePoint now) const {
  base::Duration time = std::clamp<base::Duration>(
      now - next_at_, -limit_.max_debt, limit_.max_credit);
  return std::chrono::duration<double>(time).count() * limit_.per_second *
         reachable_share_;
}

base::Duration SharedRate::Cost(double requests) const {
  // Longer than any credit or debt, and far from an overflow.
  constexpr double kMaxSeconds = 1e6;
  double seconds = requests / (limit_.per_second * reachable_share_);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(
          std::clamp(seconds, -kMaxSeconds, kMaxSeconds)));
}

void SharedRate::Add(double requests,
                     base::Duration max_debt,
                     base::TimePoint now) {
  if (requests <= 0)
    return;
  std::int64_t number = BucketNumber(now, kBucket);
  Bucket& bucket = recent_[static_cast<std::size_t>(number) % recent_.size()];
  if (std::exchange(bucket.number, number) != number)
    bucket.requests = 0;
  bucket.requests += requests;
  next_at_ = std::max<base::TimePoint>(next_at_, now - limit_.max_credit);
  base::TimePoint after = next_at_ + Cost(requests);
  next_at_ =
      std::max(next_at_, std::min<base::TimePoint>(after, now + max_debt));
}

}  // namespace vanillalever::rate
