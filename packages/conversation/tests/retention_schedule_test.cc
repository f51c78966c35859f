#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "vanillalever/conversation/retention_schedule.h"

namespace vanillalever::conversation {
namespace {

using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
constexpr seconds kRetention{60};

TurnPtr MakeTurn(const std::string& id, TurnPtr previous) {
  auto turn = std::make_shared<Turn>();
  turn->id = id;
  turn->previous = std::move(previous);
  return turn;
}

// Guards against records that are deleted while a conversation may continue.
TEST_CASE("a conversation is kept with its newest turn") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  schedule.OnRecorded(first, {"a", 5, 1}, kRetention, kStart);
  base::TimePoint now = kStart;
  TurnPtr last = first;
  for (int i = 0; i < 20; ++i) {
    now += seconds(59);
    CHECK(schedule.TakeExpired(now).empty());
    last = MakeTurn("t" + std::to_string(i), last);
    schedule.OnRecorded(last, {last->id, 6, 1}, kRetention, now);
  }
  CHECK(schedule.TakeTakeovers(now).empty());
  CHECK(schedule.TakeExpired(now + kRetention).empty());
  CHECK(schedule.TakeExpired(now + 3 * kRetention).size() == 21);
  CHECK(schedule.owned() == 0);
}

// Guards against two gateways: the first deletes what the second continues.
TEST_CASE(
    "a continued conversation is taken over before its owner deletes it") {
  RetentionSchedule owner;
  TurnPtr first = MakeTurn("a", nullptr);
  owner.OnRecorded(first, {"a", 5, 1}, kRetention, kStart);

  // Continued elsewhere just before the retention time is over.
  RetentionSchedule other;
  base::TimePoint continued = kStart + seconds(59);
  TurnPtr second = MakeTurn("b", first);
  other.OnRecorded(second, {"b", 9, 1}, kRetention, continued);
  CHECK(other.TakeTakeovers(continued).empty());
  auto takeovers = other.TakeTakeovers(continued + kRetention / 2);
  REQUIRE(takeovers.size() == 1);
  CHECK(takeovers.front()->id == "a");
  // The owner's deletion is not due yet; later it fails by its version.
  CHECK(owner.TakeExpired(continued + kRetention / 2).empty());
  other.OnTakenOver({"a", 12, 1}, continued + kRetention / 2);
  CHECK(other.owned() == 2);
  CHECK(other.TakeTakeovers(continued + kRetention).empty());
  auto expired = other.TakeExpired(continued + 4 * kRetention);
  CHECK(expired.size() == 2);
}

// Guards against a takeover that is given up when the store fails.
TEST_CASE("a failed takeover is repeated unless another gateway succeeded") {
  RetentionSchedule schedule;
  TurnPtr first = MakeTurn("a", nullptr);
  schedule.OnRecorded(MakeTurn("b", first), {"b", 9, 1}, kRetention, kStart);
  base::TimePoint due = kStart + kRetention;
  auto takeovers = schedule.TakeTakeovers(due);
  REQUIRE(takeovers.size() == 1);
  schedule.OnTakeoverFailed(takeovers.front(), false, due);
  takeovers = schedule.TakeTakeovers(due + seconds(5));
  REQUIRE(takeovers.size() == 1);
  schedule.OnTakeoverFailed(takeovers.front(), true, due + seconds(5));
  CHECK(schedule.TakeTakeovers(due + seconds(60)).empty());
}

}  // namespace
}  // namespace vanillalever::conversation
