#include <catch2/catch.hpp>

#include "vanillalever/admission/admission_control.h"

namespace vanillalever::admission {
namespace {

using base::milliseconds;

const base::TimePoint start = base::ManualClock().now();
constexpr ServiceLoad kHalfFull{60, 30};
// Ten rounds of the slots wait.
constexpr ServiceLoad kOverrun{60, 660};

OfferedRequest Turn(std::uint64_t program) {
  OfferedRequest request;
  request.service = "engines";
  request.program_hash = program;
  request.goal = milliseconds(250);
  request.time_left = milliseconds(2500);
  return request;
}

// A control that knows that the service takes 100 ms for a request.
AdmissionControl Learned() {
  AdmissionControl control;
  control.OnCompleted("engines", milliseconds(100), 0, 6);
  return control;
}

// Guards against refusals while servers have free slots.
TEST_CASE("nothing is refused while slots are free") {
  base::Random random(1);
  AdmissionControl control = Learned();
  for (std::uint64_t i = 0; i < 100; ++i)
    CHECK(
        control.Decide(Turn(random.Next()), kHalfFull, start, random).admitted);
}

// Guards against wasting the work that was done for programs.
TEST_CASE("an overrun service completes what has begun and begins nothing") {
  base::Random random(1);
  AdmissionControl control = Learned();
  CHECK_FALSE(control.Decide(Turn(1), kOverrun, start, random).admitted);
  control.OnBegun(1, start);
  CHECK(control.Decide(Turn(1), kOverrun, start, random).admitted);
  OfferedRequest next = Turn(2);
  next.follows_earlier_work = true;
  CHECK(control.Decide(next, kOverrun, start, random).admitted);
}

// Guards against a request that is held until its time limit passes.
TEST_CASE("what cannot end within its time limit is refused at once") {
  base::Random random(1);
  AdmissionControl control = Learned();
  OfferedRequest late = Turn(1);
  late.follows_earlier_work = true;
  late.time_left = milliseconds(1900);
  AdmissionDecision decision = control.Decide(late, kOverrun, start, random);
  CHECK_FALSE(decision.admitted);
}

// Guards against callers that return together, or later than they can.
TEST_CASE("the delays of refused callers differ, within what callers honour") {
  base::Random random(1);
  AdmissionControl control = Learned();
  milliseconds shortest = base::seconds(10);
  milliseconds longest{0};
  constexpr ServiceLoad kBusy{60, 240};
  for (int i = 0; i < 200; ++i) {
    auto decision = control.Decide(Turn(~0ULL), kBusy, start, random);
    REQUIRE_FALSE(decision.admitted);
    shortest = std::min(shortest, decision.retry_after);
    longest = std::max(longest, decision.retry_after);
  }
  CHECK(shortest >= milliseconds(250));
  CHECK(longest <= milliseconds(2500 / 3));
  CHECK(longest - shortest >= milliseconds(250));
}

// Guards against gateways that choose different programs: one that is refused
// would begin by asking often enough.
TEST_CASE("a program gets the same decision from all gateways") {
  base::Random random(1);
  AdmissionControl one = Learned();
  AdmissionControl other = Learned();
  constexpr ServiceLoad kBusy{60, 150};
  int admitted = 0;
  for (int i = 0; i < 200; ++i) {
    OfferedRequest turn = Turn(random.Next());
    bool first = one.Decide(turn, kBusy, start, random).admitted;
    CHECK(first == other.Decide(turn, kBusy, start, random).admitted);
    admitted += first ? 1 : 0;
  }
  CHECK(admitted > 0);
  CHECK(admitted < 200);
}

// Guards against a kind of program that never begins beside a more urgent one.
TEST_CASE("a less urgent kind keeps a part of what is admitted") {
  base::Random random(1);
  AdmissionControl control = Learned();
  constexpr ServiceLoad kBusy{60, 225};
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < 2000; ++i) {
    OfferedRequest turn = Turn(random.Next());
    urgent += control.Decide(turn, kBusy, start, random).admitted ? 1 : 0;
    turn.program_hash = random.Next();
    turn.priority = 1;
    other += control.Decide(turn, kBusy, start, random).admitted ? 1 : 0;
  }
  CHECK(urgent > other);
  CHECK(other >= urgent / 5);
}

// Guards against a wait that is taken for the time of the work itself.
TEST_CASE("the service time leaves the wait for slots out") {
  ServiceTimes times;
  CHECK(times.mean("engines") == base::Duration(0));
  times.Record("engines", milliseconds(400), 23, 6);
  CHECK(times.mean("engines") == milliseconds(100));
}

// Guards against a set of programs that grows without bound.
TEST_CASE("programs are forgotten after a while") {
  BegunPrograms programs;
  programs.Add(1, start);
  CHECK(programs.Contains(1, start + BegunPrograms::kWindow));
  CHECK_FALSE(programs.Contains(1, start + 3 * BegunPrograms::kWindow));
}

}  // namespace
}  // namespace vanillalever::admission
