#include <catch2/catch.hpp>

#include <deque>
#include <vector>

#include "vanillalever/pacing/call_pacer.h"

namespace vanillalever::pacing {
namespace {

using base::milliseconds;

// A service that takes a number of calls a second, and callers whose calls are
// repeated after a short delay until they are served or not made for too long.
struct World {
  static constexpr int kCallers = 28;
  static constexpr double kRate = 1200;
  static constexpr milliseconds kRetryDelay{20};
  static constexpr milliseconds kPatience{600};

  struct Call {
    int caller;
    base::TimePoint due;
    base::TimePoint asked;
  };

  explicit World(bool paced) : pacers(kCallers, Pacer(paced)) {
    for (CallPacer& pacer : pacers)
      pacer.SetCallers(kCallers);
  }

  static CallPacer Pacer(bool paced) {
    return CallPacer({.calls_per_second = paced ? kRate : 0});
  }

  // Plays `time` with `per_second` new calls.
  void Play(milliseconds time, double per_second) {
    base::TimePoint end = now + time;
    for (; now < end; now += milliseconds(1)) {
      asked_ += per_second / 1000;
      for (; asked_ >= 1; asked_ -= 1)
        Ask({next_caller_++ % kCallers, now, now});
      credit_ = std::min(credit_ + kRate / 1000, kRate / 100);
      for (std::size_t left = open_.size(); left > 0; --left) {
        Call call = open_.front();
        open_.pop_front();
        if (call.due > now)
          open_.push_back(call);
        else
          Make(call);
      }
    }
  }

  void Ask(Call call) {
    if (auto wait = pacers[static_cast<std::size_t>(call.caller)].Reserve(now))
      call.due = now + *wait;
    else
      return Retry(call);
    open_.push_back(call);
  }

  void Retry(Call call) {
    if (now - call.asked > kPatience) {
      ++given_up;
      return;
    }
    call.due = now + kRetryDelay;
    waiting.push_back(call);
  }

  void Make(Call call) {
    ++made;
    if (credit_ >= 1) {
      credit_ -= 1;
      ++served;
      return;
    }
    ++refused;
    pacers[static_cast<std::size_t>(call.caller)].OnRefused(now);
    Retry(call);
  }

  void Flush() {
    auto calls = std::move(waiting);
    waiting.clear();
    for (Call& call : calls) {
      if (call.due <= now)
        Ask(call);
      else
        waiting.push_back(call);
    }
  }

  std::vector<CallPacer> pacers;
  std::deque<Call> waiting;
  base::TimePoint now = base::ManualClock().now();
  int made = 0;
  int served = 0;
  int refused = 0;
  int given_up = 0;

 private:
  std::deque<Call> open_;
  double asked_ = 0;
  double credit_ = 0;
  int next_caller_ = 0;
};

World PlayBurst(bool paced) {
  World world(paced);
  for (int ms = 0; ms < 6000; ms += 5) {
    world.Play(milliseconds(5), 2400);
    world.Flush();
  }
  return world;
}

// In a burst of calls each refused one was repeated at once, by itself and
// through other gateways, so that most calls were refusals.
TEST_CASE("beyond the rate few calls are refused and the rate is used") {
  World before = PlayBurst(false);
  World paced = PlayBurst(true);
  CHECK(before.refused > before.served);
  CHECK(paced.refused < paced.served / 5);
  CHECK(paced.served > 0.9 * 6 * World::kRate);
}

TEST_CASE("calls are not delayed while none is refused") {
  CallPacer pacer({.calls_per_second = 10});
  base::TimePoint now = base::ManualClock().now();
  for (int i = 0; i < 1000; ++i)
    CHECK(pacer.Reserve(now) == base::Duration(0));
}

// A caller that was refused once waited for good.
TEST_CASE("the pace ends some time after the last refusal") {
  CallPacer pacer({.calls_per_second = 100});
  pacer.SetCallers(50);
  base::TimePoint now = base::ManualClock().now();
  pacer.OnRefused(now);
  CHECK(pacer.Reserve(now) == base::Duration(0));
  CHECK_FALSE(pacer.Reserve(now));
  now += base::seconds(3);
  CHECK_FALSE(pacer.pacing(now));
  CHECK(pacer.Reserve(now) == base::Duration(0));
}

}  // namespace
}  // namespace vanillalever::pacing
