#include <catch2/catch.hpp>

#include "vanillalever/forwarding/store_path.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

// In a burst each refusal for the rate sent the call, and those after it,
// through other gateways, which made more calls beyond the rate.
TEST_CASE("refusals for the rate between responses keep the direct path") {
  StorePath path;
  base::TimePoint now = kStart;
  for (int i = 0; i < 100; ++i, now += milliseconds(20)) {
    path.OnThrottled(now);
    CHECK(path.reachable());
    if (i % 5 == 0)
      path.OnResponse(now);
  }
}

// The store may turn away single gateways with the same status.
TEST_CASE(
    "a gateway that only gets refusals for the rate calls through others") {
  StorePath path;
  path.OnResponse(kStart);
  path.OnThrottled(kStart + milliseconds(10));
  path.OnThrottled(kStart + milliseconds(200));
  CHECK(path.reachable());
  path.OnThrottled(kStart + milliseconds(300));
  CHECK_FALSE(path.reachable());
  path.OnResponse(kStart + milliseconds(700));
  CHECK(path.reachable());
}

}  // namespace
}  // namespace vanillalever::forwarding
