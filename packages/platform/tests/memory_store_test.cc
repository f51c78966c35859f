#include "vanillalever/platform/memory_store.h"

#include <catch2/catch.hpp>

#include "vanillalever/base/error.h"

namespace vanillalever::platform {
namespace {

// Guards against a writer with an outdated version that mistakes a re-created
// row for the one it read.
TEST_CASE("a re-created row never reuses a version") {
  MemoryStore store;
  auto first = store.Commit({"t1", {{"k", kAbsent}}, {{"k", "a"}}});
  REQUIRE(first.applied);
  REQUIRE(store.Commit({"t2", {{"k", first.version}}, {{"k", {}}}}).applied);
  auto again = store.Commit({"t3", {{"k", kAbsent}}, {{"k", "b"}}});
  CHECK(again.version > first.version + 1);
  CHECK(store.Read("k") == Row{"k", "b", again.version, "t3"});
}

// Guards against a conflicting transaction that is partially applied.
TEST_CASE("a conflict changes nothing and reports the key") {
  MemoryStore store;
  store.Commit({"t1", {}, {{"a", "1"}, {"b", "1"}}});
  auto result = store.Commit(
      {"t2", {{"a", 1}, {"b", kAbsent}}, {{"a", "2"}, {"c", "2"}}});
  CHECK_FALSE(result.applied);
  CHECK(result.conflict_key == "b");
  CHECK(store.Read("a")->value == "1");
  CHECK_FALSE(store.Read("c"));
}

// Guards against scans that return rows outside the prefix.
TEST_CASE("scans return the rows of a prefix in key order") {
  MemoryStore store;
  store.Commit({"t", {}, {{"p/2", "2"}, {"p/1", "1"}, {"q", ""}, {"p", ""}}});
  auto rows = store.Scan("p/");
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].key == "p/1");
  CHECK(rows[1].key == "p/2");
}

// Guards against callers that take a lost response for a write that did not
// run.
TEST_CASE("faults state whether a commit may have run") {
  MemoryStore store;
  auto [fault, ran, applied] =
      GENERATE(table<StoreFault, base::ExecutionStatus, bool>({
          {StoreFault::kUnreachable, base::ExecutionStatus::kNotRun, false},
          {StoreFault::kLostRequest, base::ExecutionStatus::kUnknown, false},
          {StoreFault::kLostResponse, base::ExecutionStatus::kUnknown, true},
      }));
  store.InjectNext({fault});
  try {
    store.Commit({"t", {}, {{"k", "v"}}});
    FAIL("the fault was not reported");
  } catch (const base::Error& error) {
    CHECK(error.info().ran == ran);
    CHECK(error.info().step == base::Step::kStore);
    CHECK(error.info().peer == "memory");
  }
  CHECK(store.Read("k").has_value() == applied);
}

// Guards against silently accepting malformed transactions.
TEST_CASE("malformed transactions are rejected") {
  MemoryStore store;
  CHECK_THROWS_AS(store.Commit({"", {}, {{"k", "v"}}}), base::Error);
  CHECK_THROWS_AS(store.Commit({"t", {}, {{"k", "v"}, {"k", "w"}}}),
                  base::Error);
  CHECK_THROWS_AS(store.Commit({"t", {{"", 0}}, {}}), base::Error);
}

// Guards against listing leaving instances as live, and against lost objects.
TEST_CASE("instances and objects are stored") {
  MemoryStore store;
  store.SetInstance({"127.0.0.1:1", "shop-app", "kv-a"});
  store.SetInstance(
      {"127.0.0.1:1", "shop-app", "kv-a", InstanceState::kLeaving});
  REQUIRE(store.Instances().size() == 1);
  CHECK(store.Instances()[0].state == InstanceState::kLeaving);
  store.PutObject("o", std::string("\0\xff", 2));
  CHECK(store.FetchObject("o") == std::string("\0\xff", 2));
  store.DeleteObject("o");
  CHECK_FALSE(store.FetchObject("o"));
}

}  // namespace
}  // namespace vanillalever::platform
