#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "vanillalever/conversation/retention_schedule.h"

namespace vanillalever::conversation {
namespace {

using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
constexpr seconds kRetention{60};

TurnPtr MakeTurn(const std::string& id,
                 TurnPtr previous,
                 base::Duration retention = kRetention) {
  auto turn = std::make_shared<Turn>();
  turn->id = id;
  turn->previous = std::move(previous);
  turn->retention = retention;
  return turn;
}

// Guards against records that are deleted while a conversation may continue,
// and against writes for a conversation that stays at one gateway.
TEST_CASE("a conversation is kept with its newest turn") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  schedule.OnRecorded(first, {"a", 5, 1}, kStart);
  base::TimePoint now = kStart;
  TurnPtr last = first;
  for (int i = 0; i < 20; ++i) {
    now += seconds(59);
    CHECK(schedule.TakeExpired(now).empty());
    for (const auto& renewal : schedule.TakeRenewals(now)) {
      CHECK(renewal.version == (renewal.id == "a" ? 5 : 6));
      schedule.OnUnchanged(renewal.id);
    }
    last = MakeTurn("t" + std::to_string(i), last);
    schedule.OnRecorded(last, {last->id, 6, 1}, now);
  }
  CHECK(schedule.TakeExpired(now + kRetention).empty());
  CHECK(schedule.TakeExpired(now + 3 * kRetention).size() == 21);
  CHECK(schedule.owned() == 0);
}

// Guards against two gateways: the first deletes what the second continues.
TEST_CASE(
    "a continued conversation is taken over before its owner deletes it") {
  RetentionSchedule owner;
  TurnPtr first = MakeTurn("a", nullptr);
  owner.OnRecorded(first, {"a", 5, 1}, kStart);

  // Continued elsewhere just before the retention time is over.
  RetentionSchedule other;
  base::TimePoint continued = kStart + seconds(59);
  TurnPtr second = MakeTurn("b", first);
  other.OnRecorded(second, {"b", 9, 1}, continued);
  CHECK(other.TakeRenewals(continued).empty());
  auto renewals = other.TakeRenewals(continued + kRetention / 2);
  REQUIRE(renewals.size() == 1);
  CHECK(renewals.front().id == "a");
  CHECK(renewals.front().version == 0);
  // The owner's deletion is not due yet; later it fails by its version.
  CHECK(owner.TakeExpired(continued + kRetention / 2).empty());
  other.OnRewritten({"a", 12, 1}, kRetention, continued + kRetention / 2);
  CHECK(other.owned() == 2);
  CHECK(other.TakeRenewals(continued + kRetention).empty());
  auto expired = other.TakeExpired(continued + 4 * kRetention);
  CHECK(expired.size() == 2);
}

// Guards against review/6: the gateway that began a conversation goes on with
// it, and does not notice that another one, through which one turn came, took
// over its records and deletes them.
TEST_CASE("a gateway renews what another one took over from it") {
  RetentionSchedule first;
  TurnPtr turn = MakeTurn("a", nullptr);
  first.OnRecorded(turn, {"a", 1, 1}, kStart);
  base::TimePoint taken_over = kStart + kRetention;
  base::TimePoint now = kStart;
  bool renewed = false;
  for (int i = 0; i < 20 && !renewed; ++i) {
    now += kRetention / 5;
    turn = MakeTurn("t" + std::to_string(i), turn);
    first.OnRecorded(turn, {turn->id, 2, 1}, now);
    for (const auto& renewal : first.TakeRenewals(now))
      renewed |= renewal.id == "a" && renewal.version == 1;
  }
  REQUIRE(renewed);
  CHECK(now > taken_over);
  // The other gateway deletes three retention times after its write.
  CHECK(now < taken_over + 2 * kRetention);
  first.OnRewritten({"a", 30, 1}, kRetention, now);
  // Not the version that the other gateway wrote.
  for (const auto& record : first.TakeExpired(now + 10 * kRetention)) {
    if (record.id == "a")
      CHECK(record.version == 30);
  }
}

// Guards against a renewal that is given up when the store fails.
TEST_CASE("a failed renewal is repeated unless another gateway succeeded") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  schedule.OnRecorded(MakeTurn("b", first), {"b", 9, 1}, kStart);
  base::TimePoint due = kStart + kRetention;
  auto renewals = schedule.TakeRenewals(due);
  REQUIRE(renewals.size() == 1);
  schedule.OnRenewalFailed("a", false, due);
  renewals = schedule.TakeRenewals(due + seconds(5));
  REQUIRE(renewals.size() == 1);
  schedule.OnRenewalFailed("a", true, due + seconds(5));
  CHECK(schedule.TakeRenewals(due + seconds(60)).empty());
}

// Guards against a gateway that drops a conversation because another one wrote
// its record at the same moment, and against the deletion of what that wrote.
TEST_CASE("a record that another gateway won is renewed if it is used again") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  TurnPtr second = MakeTurn("b", first);
  schedule.OnRecorded(second, {"b", 9, 1}, kStart);
  base::TimePoint won = kStart + kRetention;
  REQUIRE(schedule.TakeRenewals(won).size() == 1);
  schedule.OnRenewalFailed("a", true, won);
  schedule.OnRecorded(MakeTurn("c", second), {"c", 10, 1}, won + seconds(1));
  bool renewed = false;
  for (const auto& renewal : schedule.TakeRenewals(won + 2 * kRetention))
    renewed |= renewal.id == "a" && renewal.version == 0;
  CHECK(renewed);
  schedule.OnRenewalFailed("a", true, won + 2 * kRetention);
  for (const auto& record : schedule.TakeExpired(won + 10 * kRetention))
    CHECK(record.id != "a");
}

// Guards against a route with a short retention time that shortens what another
// route has promised.
TEST_CASE("the longest retention time of a conversation's turns holds") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  schedule.OnRecorded(first, {"a", 5, 1}, kStart);
  schedule.OnRecorded(MakeTurn("b", first, seconds(1)), {"b", 6, 1}, kStart);
  for (const auto& record : schedule.TakeExpired(kStart + 2 * kRetention))
    CHECK(record.id == "b");
  CHECK(schedule.TakeExpired(kStart + 3 * kRetention).size() == 1);
}

// Guards against an earlier owner that keeps a record for the short time of its
// own route only.
TEST_CASE("a record that states too short a time is soon written again") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr, seconds(2));
  schedule.OnRecorded(MakeTurn("b", first), {"b", 6, 1}, kStart);
  auto renewals = schedule.TakeRenewals(kStart + seconds(1));
  REQUIRE(renewals.size() == 1);
  CHECK(renewals.front().retention == kRetention);
}

}  // namespace
}  // namespace vanillalever::conversation
