#include "vanillalever/platform/reliable_commit.h"

#include <functional>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/platform/memory_store.h"

namespace vanillalever::platform {
namespace {

using enum StoreFault;

// Store and clock of one test. Sleeping advances the clock and then runs
// `between`, which plays other writers.
struct Fixture {
  MemoryStore store;
  base::ManualClock clock;
  std::function<void()> between = [] {};
  base::Duration slept{0};
  ReliableCommit commit{store, clock, [this](base::Duration pause) {
                          clock.Advance(pause + base::milliseconds(1));
                          slept += pause;
                          between();
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

// Guards against a lost answer that is taken for a failed or a second write.
TEST_CASE("answers lost before or after the write end as applied once") {
  auto faults =
      GENERATE(std::vector<StoreFault>{}, std::vector<StoreFault>{kUnreachable},
               std::vector<StoreFault>{kLostRequest},
               std::vector<StoreFault>{kLostResponse},
               std::vector<StoreFault>{kLostResponse, kLostResponse},
               std::vector<StoreFault>{kLostRequest, kLostResponse},
               std::vector<StoreFault>{kLostResponse, kLostRequest},
               // The third call is the one that reads back.
               std::vector<StoreFault>{kLostResponse, kNone, kLostResponse},
               std::vector<StoreFault>{kLostResponse, kNone, kUnreachable});
  Fixture test;
  test.store.InjectNext(faults);
  auto result = test.Run(CreateRow());
  CHECK(result.outcome == CommitOutcome::kApplied);
  // Version 1 means that no second copy was applied.
  CHECK(result.version == 1);
  CHECK(test.store.Read("k") == Row{"k", "v", 1, "own"});
  CHECK(result.last_error.has_value() == !faults.empty());
}

// Guards against a writer that overrides another one after a lost request.
TEST_CASE("a conflict after a lost request is reported as conflict") {
  Fixture test;
  test.store.Commit({"a", {}, {{"shard", "1"}}});
  Transaction own{"own", {{"shard", 1}, {"t/1", 0}}, {{"t/1", "v"}}};
  test.store.InjectNext({kLostRequest});
  test.between = [&test] {
    test.store.Commit({"other", {}, {{"shard", "2"}}});
  };
  auto result = test.Run(own);
  CHECK(result.outcome == CommitOutcome::kConflict);
  CHECK(result.conflict_key == "shard");
  CHECK_FALSE(test.store.Read("t/1"));
}

// Guards against losing an applied commit when the shard changed hands before
// the retry: one row that still holds the token proves it.
TEST_CASE("an applied commit is found although other rows were overwritten") {
  Fixture test;
  Transaction own{"own", {{"h", 0}}, {{"h", "1"}, {"t/1", "v"}}};
  test.store.InjectNext({kLostResponse});
  test.between = [&test] { test.store.Commit({"other", {}, {{"h", "2"}}}); };
  auto result = test.Run(own);
  CHECK(result.outcome == CommitOutcome::kApplied);
  CHECK(result.version == 1);
}

// Guards against a claim of "not applied" when the only evidence is gone.
TEST_CASE("a commit whose rows were all overwritten is undecided") {
  auto fault = GENERATE(kLostResponse, kLostRequest);
  Fixture test;
  test.store.InjectNext({fault});
  test.between = [&test] { test.store.Commit({"other", {}, {{"k", "w"}}}); };
  CHECK(test.Run(CreateRow()).outcome == CommitOutcome::kUndecided);
}

// Guards against doubts that a row which nobody overwrites could settle.
TEST_CASE("the token of a permanent row decides") {
  Fixture test;
  test.store.InjectNext({kLostRequest});
  test.between = [&test] { test.store.Commit({"other", {}, {{"k", "w"}}}); };
  CHECK(test.Run(CreateRow(), "k").outcome == CommitOutcome::kConflict);
}

// Guards against a plain conflict that is retried or read back.
TEST_CASE("a conflict without a lost answer is final") {
  Fixture test;
  test.store.Commit({"other", {}, {{"k", "w"}}});
  auto result = test.Run(CreateRow());
  CHECK(result.outcome == CommitOutcome::kConflict);
  CHECK(result.attempts == 1);
}

// Guards against retries without end, and against "not run" without proof.
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
  CHECK(test.slept <= base::seconds(5));
  CHECK(result.attempts > 5);
}

// Guards against a retry whose late duplicate could be applied again.
TEST_CASE("transactions that a retry could apply twice are refused") {
  Fixture test;
  CHECK_THROWS_AS(test.Run({"own", {}, {{"k", "v"}}}), base::Error);
  CHECK_THROWS_AS(test.Run({"own", {{"a", 0}}, {{"k", "v"}}}), base::Error);
  CHECK_THROWS_AS(test.Run({"own", {{"k", 1}}, {{"k", {}}}}), base::Error);
}

}  // namespace
}  // namespace vanillalever::platform
