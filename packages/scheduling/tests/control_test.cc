#include <optional>

#include <catch2/catch.hpp>

#include "vanillalever/scheduling/admission_control.h"
#include "vanillalever/scheduling/cache_index.h"
#include "vanillalever/scheduling/concurrency_limiter.h"
#include "vanillalever/scheduling/hedge_policy.h"
#include "vanillalever/scheduling/length_estimator.h"
#include "vanillalever/scheduling/retry_budget.h"
#include "vanillalever/scheduling/slowness_detector.h"

namespace vanillalever::scheduling {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

// Guards against a concurrency limit that ignores latency or that does not
// recover after the latency has improved.
TEST_CASE("the concurrency limit follows latency") {
  ConcurrencyLimiter limiter;
  base::TimePoint now = kStart;
  for (int i = 0; i < 200; ++i)
    limiter.OnCompletion(now, 0.01, 64);
  std::size_t grown = limiter.limit();
  CHECK(grown > 16);
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(100);
    limiter.OnCompletion(now, 0.1, 64);
  }
  CHECK(limiter.limit() < grown / 2);
  CHECK(limiter.limit() >= 2);
  std::size_t low = limiter.limit();
  for (int i = 0; i < 200; ++i)
    limiter.OnCompletion(now, 0.01, 64);
  CHECK(limiter.limit() > low);
}

// Guards against a slow server that is detected only after several report
// intervals, or whose recovery is not detected.
TEST_CASE("slowness is detected within one report interval") {
  SlownessDetector detector;
  for (int i = 0; i < 300; ++i)
    detector.OnSample(4, 1000, milliseconds(100));
  CHECK(detector.slowness() == 1);
  for (int i = 0; i < 10; ++i)
    detector.OnSample(4, 250, milliseconds(100));
  CHECK(detector.slowness() > 2);
  for (int i = 0; i < 30; ++i)
    detector.OnSample(4, 1000, milliseconds(100));
  CHECK(detector.slowness() == 1);
}

// Guards against a server that has been slow since its start and therefore
// counts as normal by its own long-run rate.
TEST_CASE("the pool's median reveals a server that is always slow") {
  SlownessDetector detector;
  for (int i = 0; i < 100; ++i)
    detector.OnSample(4, 250, milliseconds(100));
  CHECK(detector.slowness() == 1);
  CHECK(detector.slowness(10000) == Approx(4));
}

// Guards against retries that multiply load during an outage.
TEST_CASE("retries are bounded by successes") {
  RetryBudget budget;
  base::Random random(1);
  int retries = 0;
  while (budget.TryRetry(kStart, kStart + seconds(60), 1, random))
    ++retries;
  CHECK(retries == 5);
  for (int i = 0; i < 100; ++i)
    budget.OnSuccess();
  while (budget.TryRetry(kStart, kStart + seconds(60), 1, random))
    ++retries;
  CHECK(retries <= 15);
  CHECK(retries >= 14);
}

// Guards against retries that are sent after the call's deadline, and against
// charging the budget for retries that are not sent.
TEST_CASE("retry delays do not exceed the deadline") {
  RetryBudget budget;
  base::Random random(1);
  CHECK_FALSE(budget.TryRetry(kStart, kStart, 3, random).has_value());
  CHECK(budget.tokens() == 5);
  for (int attempt = 1; attempt < 40; ++attempt) {
    budget.OnSuccess();
    auto delay = budget.TryRetry(kStart, kStart + seconds(60), attempt, random);
    if (delay)
      CHECK(*delay <= seconds(2));
  }
}

// Guards against hedges that exceed their budget as a share of all work.
TEST_CASE("hedged work stays within its budget") {
  HedgePolicy policy;
  CHECK_FALSE(policy.HedgeDelay(1, 100).has_value());
  for (int i = 1; i <= 100; ++i)
    policy.OnLatency(1, milliseconds(i));
  REQUIRE(policy.HedgeDelay(1, 100).has_value());
  CHECK(*policy.HedgeDelay(1, 100) >= milliseconds(90));
  CHECK_FALSE(policy.HedgeDelay(1, 1e6).has_value());
  double sent = 0;
  for (int i = 0; i < 10000; ++i) {
    policy.OnDispatch(1000);
    sent += 1000;
    policy.TryHedge(1000);
  }
  CHECK(policy.hedged_work() < 0.05 * sent);
  CHECK(policy.hedged_work() > 0.03 * sent);
}

// Guards against admitting work that will miss its deadline, and against
// refusing the later calls of an admitted program, which wastes its earlier
// calls.
TEST_CASE("admission depends on priority, deadline and progress") {
  AdmissionControl admission;
  base::Random random(1);
  AdmissionRequest request{.priority = Priority::kLow,
                           .deadline = kStart + seconds(100)};
  CHECK(admission.Decide(kStart, request, {.expected_wait = seconds(1)}, random)
            .admitted);
  auto refused = admission.Decide(
      kStart, request, {.expected_wait = milliseconds(3500)}, random);
  CHECK_FALSE(refused.admitted);
  CHECK(refused.retry_after >= milliseconds(500));
  CHECK(refused.retry_after <= seconds(45));
  request.priority = Priority::kHigh;
  CHECK(admission
            .Decide(kStart, request, {.expected_wait = milliseconds(3500)},
                    random)
            .admitted);
  request.deadline = kStart + seconds(4);
  CHECK_FALSE(admission
                  .Decide(kStart, request,
                          {.expected_wait = milliseconds(3500)}, random)
                  .admitted);
  request.priority = Priority::kLow;
  request.deadline = kStart + seconds(100);
  request.in_progress = true;
  CHECK(admission
            .Decide(kStart, request, {.expected_wait = milliseconds(3500)},
                    random)
            .admitted);
}

// Guards against starting programs whose prompts no longer fit into KV memory.
TEST_CASE("admission is limited by KV memory") {
  AdmissionControl admission;
  base::Random random(1);
  AdmissionRequest request{.priority = Priority::kNormal,
                           .deadline = kStart + seconds(100)};
  PoolState full{.kv_cache_usage = 0.99};
  auto refused = admission.Decide(kStart, request, full, random);
  CHECK_FALSE(refused.admitted);
  CHECK(refused.retry_after >= milliseconds(500));
  CHECK(admission.Decide(kStart, request, {}, random).admitted);
  request.in_progress = true;
  CHECK(admission.Decide(kStart, request, full, random).admitted);
}

// Guards against estimates that ignore past lengths or attained service.
TEST_CASE("expected length depends on past lengths and attained service") {
  LengthEstimator estimator;
  CHECK(estimator.ExpectedLength(1) == Approx(200));
  for (int i = 0; i < 1000; ++i)
    estimator.OnLength(1, i % 10 == 9 ? 5000 : 20);
  CHECK(estimator.ExpectedLength(1) == Approx(518).margin(60));
  CHECK(estimator.ExpectedRemainingLength(1, 100) > 3000);
  CHECK(estimator.ExpectedRemainingLength(1, 1e6) >= 1);
  CHECK(estimator.ExpectedLength(2) == Approx(200));
}

// Guards against holders whose prefix was evicted, and against delayed events
// that overwrite the result of a later call.
TEST_CASE("cache events update holders in the order of their times") {
  CacheIndex index;
  index.OnDispatch(7, 1, kStart);
  CHECK(index.Holders(7, kStart).empty());
  index.OnResult(7, 1, 500, kStart + seconds(2));
  index.OnEvent({.server = 1,
                 .sequence = 1,
                 .program = 7,
                 .tokens = 0,
                 .time = kStart + seconds(1)});
  REQUIRE(index.Holders(7, kStart + seconds(2)).size() == 1);
  CHECK(index.Holders(7, kStart + seconds(2))[0].tokens == 500);
  index.OnEvent({.server = 1,
                 .sequence = 2,
                 .program = 7,
                 .tokens = 0,
                 .time = kStart + seconds(3)});
  CHECK(index.Holders(7, kStart + seconds(4)).empty());
}

// Guards against unchanged confidence in a holder after events of its server
// were lost.
TEST_CASE("lost events lower the confidence") {
  CacheIndex index;
  index.OnDispatch(7, 1, kStart);
  index.OnEvent(
      {.server = 1, .sequence = 1, .program = 9, .tokens = 10, .time = kStart});
  index.OnResult(7, 1, 500, kStart);
  double before = index.Holders(7, kStart)[0].confidence;
  index.OnEvent({.server = 1,
                 .sequence = 12,
                 .program = 9,
                 .tokens = 10,
                 .time = kStart});
  CHECK(index.Holders(7, kStart)[0].confidence < 0.9 * before);
  CHECK(index.size() == 1);
}

// Guards against KV that stays allocated after a program has ended because one
// of its servers receives no release.
TEST_CASE("an ended program is released on all its servers") {
  CacheIndex index;
  index.OnDispatch(7, 1, kStart);
  index.OnDispatch(7, 2, kStart);
  index.OnResult(7, 1, 500, kStart);
  index.OnEvent({.server = 1,
                 .sequence = 1,
                 .program = 7,
                 .tokens = 0,
                 .time = kStart + seconds(1)});
  CHECK(index.EndProgram(7).size() == 2);
  CHECK(index.EndProgram(7).empty());
  index.OnResult(7, 1, 500, kStart + seconds(2));
  CHECK(index.size() == 0);
  index.OnDispatch(8, 3, kStart);
  index.OnServerReset(3);
  CHECK(index.EndProgram(8).empty());
}

}  // namespace
}  // namespace vanillalever::scheduling
