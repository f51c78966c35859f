#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/admission/call_rate.h"

namespace vanillalever::admission {
namespace {

using base::milliseconds;

// Guards against a pace where a deployment states no rate.
TEST_CASE("without a limit all calls may be made") {
  CallRate rate(0);
  base::ManualClock clock;
  for (int i = 0; i < 10000; ++i)
    CHECK(rate.TakeCall(clock.now()));
}

// Guards against gateways that together call more than the service takes, and
// against a rate that is not used. Each refusal costs a call.
TEST_CASE("gateways share a rate without messages") {
  constexpr int kGateways = 20;
  constexpr int kLimit = 1000;
  base::ManualClock clock;
  std::vector<CallRate> gateways(kGateways, CallRate(kLimit));
  for (CallRate& gateway : gateways)
    gateway.SetGateways(kGateways);
  int done = 0;
  int refused = 0;
  // Five seconds to settle, ten that count.
  for (int second = 0; second < 15; ++second) {
    for (int step = 0; step < 100; ++step) {
      int left = kLimit / 100;
      for (int i = 0; i < kGateways; ++i) {
        CallRate& gateway =
            gateways[static_cast<std::size_t>((i + step) % kGateways)];
        while (gateway.TakeCall(clock.now())) {
          if (left-- > 0) {
            done += second >= 5 ? 1 : 0;
            continue;
          }
          refused += second >= 5 ? 1 : 0;
          gateway.OnRefused(clock.now());
        }
      }
      clock.Advance(milliseconds(10));
    }
  }
  CHECK(done >= 9000);
  CHECK(refused <= 1500);
}

// Guards against gateways that were idle and call all at once, far beyond the
// limit, when a burst reaches them.
TEST_CASE("a gateway that made few calls has no rate in store") {
  CallRate rate(1000);
  rate.SetGateways(10);
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    rate.TakeCall(clock.now());
    clock.Advance(milliseconds(100));
  }
  CHECK(rate.per_second() <= 100);
}

// Guards against a gateway that gives up all of its rate while the service
// refuses everything.
TEST_CASE("a refused gateway keeps calling, and regains its part") {
  CallRate rate(1000);
  rate.SetGateways(10);
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    rate.OnRefused(clock.now());
    clock.Advance(milliseconds(100));
  }
  CHECK(rate.per_second() >= 50);
  for (int i = 0; i < 40; ++i) {
    rate.TakeCall(clock.now());
    clock.Advance(milliseconds(100));
  }
  CHECK(rate.per_second() >= 100);
}

}  // namespace
}  // namespace vanillalever::admission
