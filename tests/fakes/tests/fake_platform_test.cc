#include "fake_platform.h"

#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include "http_fixture.h"
#include "vanillalever/platform/http_platform_store.h"
#include "vanillalever/platform/reliable_commit.h"

namespace vanillalever::fakes {
namespace {

using platform::InstanceState;
using platform::kAbsent;
using platform::Row;
using platform::Transaction;

// Fake platform with an HttpPlatformStore for it.
struct Fixture : HttpFixture<FakePlatform> {
  Fixture() : HttpFixture(1) {}

  void Control(const nlohmann::json& faults) {
    REQUIRE(Post("/control", faults).status == 200);
  }
  void SetInstance(const std::string& state) {
    REQUIRE(Post("/instances", {{"address", "127.0.0.1:7"},
                                {"service", "shop-app"},
                                {"data_centre", "kv-a"},
                                {"state", state}})
                .status == 200);
  }
  platform::ReliableCommitResult Commit(
      const Transaction& transaction,
      base::Duration limit = base::seconds(10)) {
    return commit.Run(transaction, clock.now() + limit);
  }

  platform::HttpPlatformStore store{{{server.address()}, base::seconds(1)}};
  base::SteadyClock clock;
  platform::ReliableCommit commit{
      store,
      clock,
      [](base::Duration pause) { std::this_thread::sleep_for(pause); },
      {base::milliseconds(1), base::milliseconds(5)}};
};

Transaction CreateRow(const std::string& key) {
  return {"own", {{key, kAbsent}}, {{key, "v"}}};
}

// Returns the error that `function` must throw.
template <typename Function>
base::ErrorInfo CatchError(Function function) {
  try {
    function();
  } catch (const base::Error& error) {
    return error.info();
  }
  FAIL("no error was thrown");
  return {};
}

// Guards against an adapter that behaves differently from the in-memory store
// for keys and values that need encoding.
TEST_CASE("the HTTP adapter reads what it commits") {
  Fixture test;
  std::string key = "prog/3/a b%?&#+/t/1";
  std::string value = "line\n\"quoted\" \xc3\xa4";
  auto result = test.store.Commit(
      {"t1", {{key, kAbsent}}, {{key, value}, {"prog/4", ""}}});
  REQUIRE(result.applied);
  CHECK(test.store.Read(key) == Row{key, value, result.version, "t1"});
  CHECK(test.store.Scan("prog/3/a b").size() == 1);
  CHECK(test.store.Scan("prog/").size() == 2);
  CHECK_FALSE(test.store.Read("none"));
  auto conflict = test.store.Commit({"t2", {{key, kAbsent}}, {{key, "w"}}});
  CHECK_FALSE(conflict.applied);
  CHECK(conflict.conflict_key == key);
  CHECK(test.store.Commit({"t3", {}, {{key, {}}}}).applied);
  CHECK_FALSE(test.store.Read(key));
  std::string bytes("\0\xff\r\n", 4);
  test.store.PutObject("o/1", bytes);
  CHECK(test.store.FetchObject("o/1") == bytes);
  test.store.DeleteObject("o/1");
  CHECK_FALSE(test.store.FetchObject("o/1"));
}

// Guards against values that the JSON encoding would alter.
TEST_CASE("a value that is not UTF-8 is refused") {
  Fixture test;
  auto error = CatchError([&] {
    test.store.Commit({"t", {}, {{"k", "\xff"}}});
  });
  CHECK(error.code == base::ErrorCode::kInvalidRequest);
  CHECK(error.ran == base::ExecutionStatus::kNotRun);
}

// Guards against commits that are lost or applied twice when the response is
// lost after the write, also by an HTTP client that retries on its own.
TEST_CASE("a reliable commit survives lost responses") {
  Fixture test;
  test.Control({{"lose_answer_rate", 0.7}});
  for (int i = 0; i < 20; ++i) {
    std::string key = "k" + std::to_string(i);
    auto result = test.Commit(CreateRow(key));
    INFO(i << " attempts " << result.attempts << " "
           << (result.last_error ? base::Describe(*result.last_error) : ""));
    REQUIRE(result.outcome == platform::CommitOutcome::kApplied);
    REQUIRE(test.store.Read(key)->version == result.version);
    // A second copy would have raised the version further.
    REQUIRE(result.version == static_cast<std::uint64_t>(i) + 1);
  }
  CHECK(test.Get("/stats").at("lost_answers").at("total") > 5);
}

// Guards against errors that report "not run" for a commit that may have been
// applied, or that lack the peer.
TEST_CASE(
    "errors of the adapter state whether the commit ran and at which peer") {
  Fixture test;
  nlohmann::json faults = GENERATE(
      nlohmann::json{{"lose_answer_rate", 1}}, nlohmann::json{{"down", true}},
      nlohmann::json{{"fail_rate", 1}}, nlohmann::json{{"latency_ms", 1500}});
  test.Control(faults);
  auto error = CatchError([&] { test.store.Commit(CreateRow("k")); });
  CHECK(error.ran == base::ExecutionStatus::kUnknown);
  CHECK(error.step == base::Step::kStore);
  CHECK(error.peer == test.server.address());
  if (!faults.contains("lose_answer_rate")) {
    CHECK(CatchError([&] { test.store.Read("k"); }).ran ==
          base::ExecutionStatus::kNotRun);
    CHECK(CatchError([&] { test.store.PutObject("k", "v"); }).ran ==
          base::ExecutionStatus::kUnknown);
  }
}

// Guards against an adapter that gives up, or reports an unknown outcome, when
// one of several endpoints does not listen.
TEST_CASE("the adapter fails over to the next address") {
  Fixture test;
  std::string closed = FakeServer([](HttpExchange&) {}).address();
  platform::HttpPlatformStore store(
      {{closed, test.server.address()}, base::seconds(2)});
  CHECK(store.Commit(CreateRow("k")).applied);
  CHECK(store.Read("k"));
  platform::HttpPlatformStore unreachable({{closed}, base::seconds(2)});
  auto error = CatchError([&] { unreachable.Commit(CreateRow("k")); });
  CHECK(error.ran == base::ExecutionStatus::kNotRun);
  CHECK(error.peer == closed);
}

// Guards against fault settings that have no effect or cannot be reset.
TEST_CASE("an outage ends when it is switched off") {
  Fixture test;
  test.Control({{"down", true}});
  auto down = test.Commit(CreateRow("a"), base::milliseconds(300));
  CHECK(down.outcome == platform::CommitOutcome::kUndecided);
  test.Control({{"down", false}});
  CHECK(test.Commit(CreateRow("a")).outcome ==
        platform::CommitOutcome::kApplied);
  CHECK(test.Get("/stats").at("refused").at("total") > 0);
}

// Guards against configured latency that is not applied.
TEST_CASE("calls are delayed by the latency") {
  Fixture test;
  test.Control({{"latency_ms", 50}});
  auto start = std::chrono::steady_clock::now();
  test.store.Read("k");
  CHECK(std::chrono::steady_clock::now() - start >= base::milliseconds(50));
}

// Guards against an instance list that shows changes immediately although it is
// configured as stale or frozen.
TEST_CASE("the instance list can lag and freeze") {
  Fixture test;
  test.SetInstance("live");
  REQUIRE(test.store.Instances().size() == 1);
  CHECK(test.store.Instances()[0].data_centre == "kv-a");
  test.Control({{"freeze_instances", true}});
  test.SetInstance("leaving");
  CHECK(test.store.Instances()[0].state == InstanceState::kLive);
  test.Control({{"freeze_instances", false}});
  CHECK(test.store.Instances()[0].state == InstanceState::kLeaving);
  std::this_thread::sleep_for(base::milliseconds(1000));
  test.Control({{"stale_instances_ms", 1000}});
  test.SetInstance("gone");
  CHECK(test.store.Instances().size() == 1);
  std::this_thread::sleep_for(base::milliseconds(1000));
  CHECK(test.store.Instances().empty());
}

}  // namespace
}  // namespace vanillalever::fakes
