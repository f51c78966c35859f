#include <catch2/catch.hpp>

#include "vanillalever/rate/shared_rate.h"

namespace vanillalever::rate {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
// Ten requests a second, five at once, debts of 4 s.
constexpr RateLimit kLimit{10, milliseconds(500), seconds(4)};

SharedRate Full() {
  SharedRate rate;
  rate.SetLimit(kLimit, kStart);
  rate.Restart(kStart - seconds(10));
  return rate;
}

int TakeAll(SharedRate& rate, base::TimePoint now) {
  int taken = 0;
  for (; rate.next_at() <= now; ++taken)
    rate.Take(now);
  return taken;
}

// Guards against a burst that is granted again, or not at all.
TEST_CASE("the burst is granted once, then the rate") {
  SharedRate rate = Full();
  CHECK(TakeAll(rate, kStart) == 6);
  CHECK(TakeAll(rate, kStart + milliseconds(50)) == 0);
  CHECK(TakeAll(rate, kStart + seconds(1)) == 6);
}

// Guards against gateways that do not count each other's requests.
TEST_CASE("requests of others count, also those of lost announcements") {
  SharedRate rate = Full();
  rate.OnPeerTotals(7, {100, 0}, 0, PeerContact::kSteady, kStart);
  rate.OnPeerTotals(7, {105, 0}, 1, PeerContact::kSteady, kStart);
  rate.OnPeerTotals(7, {103, 0}, 1, PeerContact::kSteady, kStart);
  CHECK(TakeAll(rate, kStart) == 1);
}

// Guards against places that stay lost when servers refuse a request.
TEST_CASE("a request that has not run gives its place back") {
  SharedRate rate = Full();
  TakeAll(rate, kStart);
  rate.Return();
  CHECK(TakeAll(rate, kStart) == 1);
  rate.OnPeerTotals(7, {1, 0}, 0, PeerContact::kSteady, kStart);
  rate.OnPeerTotals(7, {1, 1}, 0, PeerContact::kSteady, kStart);
  CHECK(TakeAll(rate, kStart) == 1);
}

// Guards against parts of a deployment that each use the whole rate.
TEST_CASE("a part of the gateways uses its share of rate and credit") {
  SharedRate rate = Full();
  rate.SetReachableShare(0.4);
  CHECK(TakeAll(rate, kStart) == 3);
  int taken = 0;
  for (milliseconds at{0}; at < seconds(10); at += milliseconds(10))
    taken += TakeAll(rate, kStart + at);
  CHECK(taken >= 39);
  CHECK(taken <= 40);
}

// Guards against an organisation that is refused for seconds after a partition.
TEST_CASE("what a part took out of contact leaves no debt") {
  SharedRate rate = Full();
  rate.OnPeerTotals(7, {0, 0}, 0, PeerContact::kSteady, kStart);
  rate.OnPeerTotals(7, {200, 0}, 1, PeerContact::kInterrupted, kStart);
  CHECK(rate.next_at() == kStart);
  rate.OnPeerTotals(7, {300, 0}, 1, PeerContact::kSteady, kStart);
  CHECK(rate.next_at() == kStart + seconds(4));
}

// Guards against a changed limit that forgets what was taken under the old one.
TEST_CASE("credit and debt stay when the limit changes") {
  SharedRate rate = Full();
  RateLimit lower = kLimit;
  lower.per_second = 2;
  TakeAll(rate, kStart);
  rate.Take(kStart);
  rate.SetLimit(lower, kStart);
  CHECK(rate.next_at() == kStart + seconds(1));
  rate.SetLimit(kLimit, kStart);
  CHECK(rate.next_at() == kStart + milliseconds(200));
}

}  // namespace
}  // namespace vanillalever::rate
