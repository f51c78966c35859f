#include <atomic>
#include <cstdlib>

#include <catch2/catch.hpp>

#include "vanillalever/base/counters.h"
#include "vanillalever/base/error.h"
#include "vanillalever/base/hash.h"
#include "vanillalever/base/random.h"
#include "vanillalever/base/timer_service.h"

namespace vanillalever::base {
namespace {

// Guards against metrics output that a Prometheus scraper rejects.
TEST_CASE("counters render in Prometheus text format") {
  CounterRegistry registry;
  registry.counter("vl_calls_total", "Calls.", "step=\"run\"").Add(3);
  registry.gauge("vl_open", "Open calls.").Set(-1);
  CHECK(registry.Render() ==
        "# HELP vl_calls_total Calls.\n"
        "# TYPE vl_calls_total counter\n"
        "vl_calls_total{step=\"run\"} 3\n"
        "# HELP vl_open Open calls.\n"
        "# TYPE vl_open gauge\n"
        "vl_open -1\n");
}

// Guards against a name table that no longer matches its enumeration.
TEST_CASE("error names cover the whole enumeration") {
  CHECK(kErrorCodeNames.name(ErrorCode::kInternal) == "internal");
  CHECK(kErrorCodeNames.value("not_owner") == ErrorCode::kNotOwner);
  CHECK(kStepNames.name(Step::kConnect) == "connect");
  CHECK_FALSE(kExecutionStatusNames.value("maybe").has_value());
}

// Guards against program ids that change when the hash library is replaced.
TEST_CASE("hashes are stable") {
  CHECK(Hash128Hex("").size() == 32);
  CHECK(Hash64("a") != Hash64("a", 1));
  CHECK(HexString(0xab, 4) == "00ab");
  CHECK(RandomId() != RandomId());
}

// Guards against callbacks that run after their subscription was destroyed.
TEST_CASE("a cancelled subscription is not called again") {
  TimerService timers;
  std::atomic<int> calls = 0;
  {
    auto subscription =
        timers.Every(milliseconds(1), [&calls](TimePoint) { ++calls; });
    while (calls < 3)
      std::this_thread::yield();
  }
  int at_cancel = calls;
  std::this_thread::sleep_for(milliseconds(10));
  CHECK(calls == at_cancel);
}

}  // namespace
}  // namespace vanillalever::base
