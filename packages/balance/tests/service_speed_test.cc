#include <catch2/catch.hpp>

#include "vanillalever/balance/service_speed.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::balance {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
constexpr Speeds kPriors = {.token_ms = 3.79,
                            .first_output_ms = 16,
                            .prefill_ms_per_token = 1 / 56.6,
                            .output_share = 0.4,
                            .request_ms = 150};

// Guards against estimates for another engine than the one that serves.
TEST_CASE("speeds of a service are learned from its responses") {
  ServiceSpeed speed(kPriors);
  for (int i = 0; i < 200; ++i) {
    base::TimePoint now = kStart + milliseconds(20 * i);
    double tokens = 200 * (i % 20);
    speed.OnFirstOutput(tokens, 26 + tokens / 157, now);
    speed.OnOutput(10, 10 * 7.0, now);
    speed.OnOutputEnd(0.2, now);
    speed.OnCompleted(60, now);
  }
  base::TimePoint now = kStart + seconds(4);
  Speeds speeds = speed.speeds(now);
  CHECK(1 / speeds.prefill_ms_per_token == Approx(157).epsilon(0.25));
  CHECK(speeds.first_output_ms == Approx(26).margin(4));
  CHECK(speeds.token_ms == Approx(7).epsilon(0.1));
  CHECK(speeds.output_share == Approx(0.2).margin(0.03));
  CHECK(speeds.request_ms == Approx(60).epsilon(0.2));
  Speeds later = speed.speeds(now + seconds(600));
  CHECK(later.token_ms == Approx(kPriors.token_ms).epsilon(0.01));
  CHECK(later.prefill_ms_per_token ==
        Approx(kPriors.prefill_ms_per_token).epsilon(0.01));
}

// Guards against a slow engine that gets as much work as a fast one.
TEST_CASE("slow servers are told from fast ones") {
  ServiceSpeed speed(kPriors);
  for (int i = 0; i < 12; ++i) {
    base::TimePoint now = kStart + milliseconds(200 * i);
    speed.OnServerOutput("fast", 20, 20 * 0.6 * 3.55, now);
    speed.OnServerOutput("usual", 20, 20 * 3.55, now);
    speed.OnServerOutput("slow", 20, 20 * 1.6 * 3.55, now);
  }
  base::TimePoint now = kStart + seconds(3);
  CHECK(speed.slowness("slow", now) / speed.slowness("usual", now) ==
        Approx(1.6).epsilon(0.15));
  CHECK(speed.slowness("fast", now) / speed.slowness("usual", now) ==
        Approx(0.6).epsilon(0.15));
  CHECK(speed.slowness("unknown", now) == 1);
  speed.RemoveServer("slow");
  CHECK(speed.slowness("slow", now) == 1);
}

// Guards against one stalled or empty response that spoils what was learned.
TEST_CASE("absurd measurements have a bounded effect") {
  ServiceSpeed speed(kPriors);
  speed.OnServerOutput("a", 0, 100, kStart);
  speed.OnServerOutput("a", 10, 0, kStart);
  CHECK(speed.slowness("a", kStart) == 1);
  for (int i = 0; i < 500; ++i) {
    speed.OnFirstOutput(0, 1e9, kStart);
    speed.OnServerOutput("a", 1, 1e9, kStart);
    speed.OnCompleted(1e9, kStart);
  }
  Speeds speeds = speed.speeds(kStart);
  CHECK(speeds.token_ms <= 4 * kPriors.token_ms);
  CHECK(speeds.request_ms <= 4 * kPriors.request_ms);
  CHECK(speeds.first_output_ms <= 4 * kPriors.first_output_ms);
  CHECK(speeds.prefill_ms_per_token >= kPriors.prefill_ms_per_token / 4);
  CHECK(speed.slowness("a", kStart) <= 2.5);
}

// Guards against a short disturbance that counts as a slow machine because many
// responses tell of it.
TEST_CASE("the usual value follows a change and ignores short deviations") {
  DecayedUsual usual(0.25, seconds(10));
  CHECK(usual.value(kStart) == 0);
  for (int i = 0; i < 100; ++i)
    usual.Add(i % 7 == 0 ? 2 : 0.5, kStart + milliseconds(50 * i));
  CHECK(usual.value(kStart + seconds(5)) == Approx(0.5).margin(0.1));
  for (int i = 0; i < 100; ++i)
    usual.Add(2, kStart + seconds(5) + milliseconds(4 * i));
  CHECK(usual.value(kStart + milliseconds(5400)) < 0.65);
  CHECK(usual.value(kStart + seconds(120)) < 0.01);
}

}  // namespace
}  // namespace vanillalever::balance
