#include <catch2/catch.hpp>

#include "vanillalever/execution/cache_leases.h"
#include "vanillalever/execution/drain_state.h"

namespace vanillalever::execution {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart(std::chrono::hours(1));

// Guards against cache that stays allocated after its owner failed, and
// against a lease that expires during a call or while the program runs a tool.
TEST_CASE("a cache lease expires only when calls stop renewing it") {
  CacheLeases leases{CacheLeaseSettings()};
  CacheHolder holder{"p", "1"};
  leases.Begin(holder, kStart);
  CHECK(leases.TakeDueReleases(kStart + seconds(500)).empty());
  leases.End(holder, 300, kStart + seconds(500));
  CHECK(leases.tokens(holder) == 300);
  CHECK(leases.TakeDueReleases(kStart + seconds(619)).empty());
  CHECK(leases.TakeDueReleases(kStart + seconds(620)).size() == 1);
  CHECK(leases.held().empty());
  CHECK_FALSE(leases.released(holder));
}

// Guards against a release that is lost on the way to the engine.
TEST_CASE("a release is repeated until the backend confirms it") {
  CacheLeases leases{CacheLeaseSettings()};
  CacheHolder holder{"p", "1"};
  CHECK(leases.Release(holder, kStart) == ReleaseOutcome::kReleasing);
  CHECK(leases.TakeDueReleases(kStart).size() == 1);
  CHECK(leases.TakeDueReleases(kStart + milliseconds(500)).empty());
  auto repeated = leases.TakeDueReleases(kStart + seconds(1));
  REQUIRE(repeated.size() == 1);
  leases.Confirm(repeated[0]);
  leases.Confirm(repeated[0]);
  CHECK(leases.released(holder));
  CHECK(leases.size() == 0);
}

// Guards against a delayed release that frees the cache of a later program of
// the same name.
TEST_CASE("a release concerns one incarnation only") {
  CacheLeases leases{CacheLeaseSettings()};
  leases.Begin({"p", "2"}, kStart);
  leases.End({"p", "2"}, 10, kStart);
  CHECK(leases.Release({"p", "1"}, kStart) == ReleaseOutcome::kReleasing);
  CHECK(leases.held() == std::vector<CacheHolder>{{"p", "2"}});
  for (const ReleaseCommand& command : leases.TakeDueReleases(kStart))
    CHECK(command.holder.incarnation == "1");
}

// Guards against cache that a later call has filled and that counts as released
// because an earlier command is confirmed.
TEST_CASE("a delayed confirmation does not cover a later call") {
  CacheLeases leases{CacheLeaseSettings()};
  CacheHolder holder{"p", "1"};
  leases.Begin(holder, kStart);
  CHECK(leases.Release(holder, kStart) == ReleaseOutcome::kDeferred);
  CHECK(leases.TakeDueReleases(kStart).empty());
  leases.End(holder, 10, kStart);
  auto first = leases.TakeDueReleases(kStart);
  REQUIRE(first.size() == 1);
  leases.Begin(holder, kStart);
  leases.End(holder, 20, kStart);
  leases.Release(holder, kStart);
  leases.Confirm(first[0]);
  CHECK_FALSE(leases.released(holder));
  leases.Confirm(leases.TakeDueReleases(kStart).at(0));
  CHECK(leases.released(holder));
}

// Guards against a planned shutdown that interrupts work or loses a
// result.
TEST_CASE("a drain waits for work and then for acknowledgements") {
  DrainState drain{DrainSettings()};
  CHECK(drain.Update(0, 0, kStart) == DrainPhase::kServing);
  drain.Begin();
  CHECK_FALSE(drain.accepting());
  CHECK(drain.Update(1, 0, kStart + seconds(900)) == DrainPhase::kDraining);
  CHECK(drain.Update(0, 1, kStart + seconds(901)) == DrainPhase::kDraining);
  CHECK(drain.Update(0, 1, kStart + seconds(1200)) == DrainPhase::kDraining);
  CHECK(drain.Update(0, 1, kStart + seconds(1201)) == DrainPhase::kDrained);
  drain.Begin();
  CHECK(drain.phase() == DrainPhase::kDrained);
}

// Guards against a process that does not exit after its last result was
// acknowledged.
TEST_CASE("an idle sidecar drains at once") {
  DrainState drain{DrainSettings()};
  drain.Begin();
  CHECK(drain.Update(0, 0, kStart) == DrainPhase::kDrained);
}

}  // namespace
}  // namespace vanillalever::execution
