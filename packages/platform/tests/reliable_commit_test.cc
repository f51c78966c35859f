#include "vanillalever/platform/reliable_commit.h"

#include <functional>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/platform/memory_store.h"

namespace vanillalever::platform {
namespace {

using enum StoreFault;

// Store and clock of one test. Sleeping advances the clock and then calls
// `on_sleep`, which simulates other writers.
struct Fixture {
  MemoryStore store;
  base::ManualClock clock;
  std::function<void()> on_sleep = [] {};
  base::Duration total_slept{0};
  ReliableCommit commit{store, clock, [this](base::Duration delay) {
                          clock.Advance(delay + base::milliseconds(1));
                          total_slept += delay;
                          on_sleep();
                        }};

  ReliableCommitResult Run(const Transaction& transaction,
                           const std::string& write_once_key = "") {
    return commit.Run(transaction, clock.now() + base::seconds(5),
                      write_once_key);
  }
};

Transaction CreateRow() {
  return {"own", {{"k", kAbsent}}, {{"k", "v"}}};
}

// Guards against a lost response that is treated as a failed write or leads to
// a second one.
TEST_CASE("a commit is applied once despite lost requests or responses") {
  auto faults =
      GENERATE(std::vector<StoreFault>{}, std::vector<StoreFault>{kUnreachable},
               std::vector<StoreFault>{kLostRequest},
               std::vector<StoreFault>{kLostResponse},
               std::vector<StoreFault>{kLostResponse, kLostResponse},
               std::vector<StoreFault>{kLostRequest, kLostResponse},
               std::vector<StoreFault>{kLostResponse, kLostRequest},
               // The third call reads the row back.
               std::vector<StoreFault>{kLostResponse, kNone, kLostResponse},
               std::vector<StoreFault>{kLostResponse, kNone, kUnreachable});
  Fixture test;
  test.store.InjectNext(faults);
  auto result = test.Run(CreateRow());
  CHECK(result.outcome == CommitOutcome::kApplied);
  // Version 1 shows that no second copy was applied.
  CHECK(result.version == 1);
  CHECK(test.store.Read("k") == Row{"k", "v", 1, "own"});
  CHECK(result.last_error.has_value() == !faults.empty());
}

// Guards against overwriting another writer's change after a lost request.
TEST_CASE("a conflict after a lost request is reported as conflict") {
  Fixture test;
  test.store.Commit({"a", {}, {{"shard", "1"}}});
  Transaction own{"own", {{"shard", 1}, {"t/1", 0}}, {{"t/1", "v"}}};
  test.store.InjectNext({kLostRequest});
  test.on_sleep = [&test] {
    test.store.Commit({"other", {}, {{"shard", "2"}}});
  };
  auto result = test.Run(own);
  CHECK(result.outcome == CommitOutcome::kConflict);
  CHECK(result.conflict_key == "shard");
  CHECK_FALSE(test.store.Read("t/1"));
}

// Guards against reporting an applied commit as a conflict when the shard got a
// new owner before the retry: one row that still holds the token is proof.
TEST_CASE("an applied commit is found if only other rows were overwritten") {
  Fixture test;
  Transaction own{"own", {{"h", 0}}, {{"h", "1"}, {"t/1", "v"}}};
  test.store.InjectNext({kLostResponse});
  test.on_sleep = [&test] { test.store.Commit({"other", {}, {{"h", "2"}}}); };
  auto result = test.Run(own);
  CHECK(result.outcome == CommitOutcome::kApplied);
  CHECK(result.version == 1);
}

// Guards against reporting "not applied" after the only evidence was
// overwritten.
TEST_CASE("a commit whose rows were all overwritten is undecided") {
  auto fault = GENERATE(kLostResponse, kLostRequest);
  Fixture test;
  test.store.InjectNext({fault});
  test.on_sleep = [&test] { test.store.Commit({"other", {}, {{"k", "w"}}}); };
  CHECK(test.Run(CreateRow()).outcome == CommitOutcome::kUndecided);
}

// Guards against an undecided outcome that a write-once row could resolve.
TEST_CASE("the token of a write-once row decides the outcome") {
  Fixture test;
  test.store.InjectNext({kLostRequest});
  test.on_sleep = [&test] { test.store.Commit({"other", {}, {{"k", "w"}}}); };
  CHECK(test.Run(CreateRow(), "k").outcome == CommitOutcome::kConflict);
}

// Guards against retrying or reading back after a conflict that is certain.
TEST_CASE("a conflict without a lost response is final") {
  Fixture test;
  test.store.Commit({"other", {}, {{"k", "w"}}});
  auto result = test.Run(CreateRow());
  CHECK(result.outcome == CommitOutcome::kConflict);
  CHECK(result.attempts == 1);
}

// Guards against unbounded retries, and against reporting "not run" without
// proof.
TEST_CASE("the deadline bounds the retries") {
  auto [fault, outcome] = GENERATE(table<StoreFault, CommitOutcome>({
      {kUnreachable, CommitOutcome::kNotRun},
      {kLostRequest, CommitOutcome::kUndecided},
      {kLostResponse, CommitOutcome::kUndecided},
  }));
  Fixture test;
  test.store.SetFault(fault);
  auto result = test.Run(CreateRow());
  CHECK(result.outcome == outcome);
  CHECK(test.total_slept <= base::seconds(5));
  CHECK(result.attempts > 5);
}

// Guards against a retry whose late duplicate could be applied again.
TEST_CASE("transactions that a retry could apply twice are rejected") {
  Fixture test;
  CHECK_THROWS_AS(test.Run({"own", {}, {{"k", "v"}}}), base::Error);
  CHECK_THROWS_AS(test.Run({"own", {{"a", 0}}, {{"k", "v"}}}), base::Error);
  CHECK_THROWS_AS(test.Run({"own", {{"k", 1}}, {{"k", {}}}}), base::Error);
}

}  // namespace
}  // namespace vanillalever::platform
