#include <catch2/catch.hpp>

#include "vanillalever/membership/lease_observer.h"
#include "vanillalever/membership/lease_term.h"

namespace vanillalever::membership {
namespace {

using base::seconds;
using base::TimePoint;

constexpr TimePoint kStart(std::chrono::hours(1));

EntryRow Row(const std::string& incarnation, std::uint64_t version) {
  EntryRow row;
  row.incarnation = incarnation;
  row.version = version;
  return row;
}

// Guards against an owner that counts its term from the response and therefore
// still acts when another entry has taken its shards.
TEST_CASE("the term starts before the renewal is sent") {
  LeaseTerm term{LeaseSettings()};
  CHECK_FALSE(term.held(kStart));
  auto first = term.BeginRenewal(kStart);
  auto second = term.BeginRenewal(kStart + seconds(5));
  term.Confirm(second);
  term.Confirm(first);  // late response of the earlier renewal
  CHECK(term.held(kStart + seconds(19)));
  CHECK_FALSE(term.held(kStart + seconds(20)));
  CHECK_FALSE(term.RenewalDue(kStart + seconds(9)));
  CHECK(term.RenewalDue(kStart + seconds(10)));
}

// Guards against an entry that serves again after it was fenced because a late
// response confirms an earlier renewal.
TEST_CASE("a lost lease is not restored by a late confirmation") {
  LeaseTerm term{LeaseSettings()};
  auto renewal = term.BeginRenewal(kStart);
  term.MarkLost();
  term.Confirm(renewal);
  CHECK_FALSE(term.held(kStart));
  CHECK_FALSE(term.RenewalDue(kStart + seconds(60)));
}

// Guards against two owners at the same time: for every timing of renewal and
// reads, the owner's term must end before an observer sees the lease expire.
TEST_CASE("the term ends for the owner before it ends for any observer") {
  LeaseSettings settings;
  for (int write_delay = 0; write_delay < 6; ++write_delay) {
    for (int read_phase = 0; read_phase < 4; ++read_phase) {
      LeaseTerm term(settings);
      LeaseObserver observer(settings);
      term.Confirm(term.BeginRenewal(kStart));
      TimePoint written = kStart + seconds(write_delay);
      TimePoint now = kStart - seconds(read_phase);
      while (observer.status("a") != LeaseStatus::kExpired) {
        std::uint64_t version = now + seconds(1) >= written ? 2 : 1;
        observer.OnReadSucceeded(now, now + seconds(1), {Row("a", version)});
        now += seconds(4);
        REQUIRE(now < kStart + seconds(60));
      }
      CHECK(now - seconds(3) >=
            *term.expires_at() + settings.clock_drift_margin);
    }
  }
}

// Guards against all entries being taken over after a platform outage during
// which no lease could be renewed.
TEST_CASE("time without successful reads does not count as observed") {
  LeaseSettings settings;
  LeaseObserver observer(settings);
  TimePoint now = kStart;
  auto read = [&] { observer.OnReadSucceeded(now, now, {Row("a", 1)}); };
  CHECK(observer.status("a") == LeaseStatus::kLive);
  for (int i = 0; i <= 4; ++i, now += seconds(4))
    read();  // 16 s unchanged, 1 s less than the term plus the margin
  observer.OnReadFailed();
  now += seconds(600);
  read();
  CHECK(observer.status("a") == LeaseStatus::kLive);
  for (int i = 0; i < 4; ++i) {
    now += seconds(4);
    read();
  }
  CHECK(observer.status("a") == LeaseStatus::kLive);
  now += seconds(4);
  read();
  CHECK(observer.expired() == std::vector<std::string>{"a"});
  CHECK(observer.active().empty());
}

// Guards against repeated failed reads that keep a lease from ever expiring:
// each one excludes only its own interval from the observation.
TEST_CASE("a failed read only pauses the observation") {
  LeaseObserver observer{LeaseSettings()};
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i, now += seconds(2)) {
    observer.OnReadSucceeded(now, now, {Row("a", 1)});
    if (i % 2 == 0)
      observer.OnReadFailed();
  }
  CHECK(observer.status("a") == LeaseStatus::kExpired);
  observer.OnReadSucceeded(kStart, now, {Row("a", 9)});
  CHECK(observer.status("a") == LeaseStatus::kExpired);
}

// Guards against treating a fenced or removed row as a live owner.
TEST_CASE("fenced and absent rows are distinguished") {
  LeaseObserver observer{LeaseSettings()};
  EntryRow fenced = Row("a", 3);
  fenced.state = EntryState::kFenced;
  observer.OnReadSucceeded(kStart, kStart, {fenced});
  CHECK(observer.status("a") == LeaseStatus::kFenced);
  CHECK(observer.status("b") == LeaseStatus::kAbsent);
  CHECK(observer.Find("a")->version == 3);
}

}  // namespace
}  // namespace vanillalever::membership
