#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/paced_table.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

class ManualTimer final : public LoopTimer {
 public:
  base::TimePoint now() const override { return clock_.now(); }
  void RunAfter(base::Duration delay, std::function<void()> action) override {
    due_.emplace(now() + delay, std::move(action));
  }
  void Advance(base::Duration time) {
    base::TimePoint end = now() + time;
    while (!due_.empty() && due_.begin()->first <= end) {
      clock_.Advance(due_.begin()->first - now());
      auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
    clock_.Advance(end - now());
  }

 private:
  base::ManualClock clock_;
  std::multimap<base::TimePoint, std::function<void()>> due_;
};

// A store of rows that applies a call when it is told.
class MemoryTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    ++calls;
    open_.emplace_back(std::move(writes), std::move(done));
  }
  void ReadRange(TableRange, std::function<void(ReadResult)>) override {}
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}

  void CompleteAll() {
    while (!open_.empty()) {
      auto [writes, done] = std::move(open_.front());
      open_.pop_front();
      done(Apply(writes));
    }
  }

  std::map<std::string, std::uint64_t> versions;
  int calls = 0;
  bool refuses = false;
  // Another copy of what is refused may have been done.
  bool in_doubt = false;

 private:
  TransactionResult Apply(const std::vector<TableWrite>& writes) {
    TransactionResult result;
    if (refuses) {
      result.throttled = true;
      if (in_doubt)
        result.outcome = StoreOutcome::kUnknown;
      return result;
    }
    result.outcome = StoreOutcome::kDone;
    for (const TableWrite& write : writes) {
      if (versions[write.name.key] != write.expected_version)
        result.outcome = StoreOutcome::kConflict;
      if (versions[write.name.key] != 0)
        result.current.push_back({write.name, "", versions[write.name.key]});
    }
    if (result.outcome == StoreOutcome::kConflict)
      return result;
    result.version = ++version_;
    result.current.clear();
    for (const TableWrite& write : writes)
      versions[write.name.key] = result.version;
    return result;
  }

  std::uint64_t version_ = 0;
  std::deque<std::pair<std::vector<TableWrite>,
                       std::function<void(TransactionResult)>>>
      open_;
};

struct Fixture {
  explicit Fixture(double writes_per_second)
      : table(timer,
              store,
              writes_per_second,
              counters.counter("delayed", "Delayed writes.")) {}

  void Write(const std::string& key, std::uint64_t expected_version = 0) {
    TableWrite write;
    write.name = {"rows", "0", key};
    write.expected_version = expected_version;
    write.value = "value";
    table.Transact({write}, [this, key](const TransactionResult& result) {
      outcomes[key] = result.outcome;
      current[key] = result.current.size();
    });
  }

  // Until nothing is left to be sent.
  void Run() {
    for (int i = 0; i < 100; ++i) {
      store.CompleteAll();
      timer.Advance(milliseconds(50));
    }
  }

  ManualTimer timer;
  MemoryTable store;
  base::CounterRegistry counters;
  PacedTable table;
  std::map<std::string, StoreOutcome> outcomes;
  std::map<std::string, std::size_t> current;
};

// Guards against turns that end late or not at all because the store refuses
// most of the calls that a burst makes.
TEST_CASE("a burst of writes shares calls within the store's rate") {
  Fixture fixture(20);
  for (int i = 0; i < 300; ++i)
    fixture.Write("row-" + std::to_string(i));
  CHECK(fixture.table.expected_wait() > base::Duration(0));
  fixture.Run();
  CHECK(fixture.store.calls <= 20);
  CHECK(fixture.outcomes.size() == 300);
  for (const auto& [key, outcome] : fixture.outcomes)
    CHECK(outcome == StoreOutcome::kDone);
  CHECK(fixture.table.expected_wait() == base::Duration(0));
}

// Guards against one write's conflict being taken for that of another one in
// the same transaction.
TEST_CASE("a conflict concerns only the write that met it") {
  Fixture fixture(20);
  fixture.store.versions["taken"] = 7;
  for (int i = 0; i < 10; ++i)
    fixture.Write("row-" + std::to_string(i));
  fixture.Write("taken");
  fixture.Write("last");
  fixture.Run();
  CHECK(fixture.outcomes["taken"] == StoreOutcome::kConflict);
  CHECK(fixture.current["taken"] == 1);
  CHECK(fixture.outcomes["row-9"] == StoreOutcome::kDone);
  CHECK(fixture.outcomes["last"] == StoreOutcome::kDone);
}

// Guards against two conditional writes of one row in a transaction, of which
// neither could be done.
TEST_CASE("writes of the same row are sent one after the other") {
  Fixture fixture(20);
  for (int i = 0; i < 10; ++i)
    fixture.Write("other-" + std::to_string(i));
  fixture.Write("row");
  fixture.Write("row", 1000);
  fixture.Run();
  CHECK(fixture.store.versions["row"] > 0);
  CHECK(fixture.outcomes["row"] == StoreOutcome::kConflict);
}

// Guards against writes that wait for a store which is away: their owners look
// for another way.
TEST_CASE("refusals reach the owners of the writes") {
  Fixture fixture(100);
  fixture.store.refuses = true;
  for (int i = 0; i < 60; ++i)
    fixture.Write("row-" + std::to_string(i));
  fixture.Run();
  CHECK(fixture.outcomes.size() == 60);
  for (const auto& [key, outcome] : fixture.outcomes)
    CHECK(outcome == StoreOutcome::kNotDone);
}

// Guards against review/13: a write that may have been done, and that counts as
// not done since the copy of it was refused for the rate.
TEST_CASE("a write in doubt stays so when another copy is refused") {
  Fixture fixture(100);
  fixture.store.refuses = true;
  fixture.store.in_doubt = true;
  fixture.Write("row");
  fixture.store.CompleteAll();
  REQUIRE(fixture.outcomes.empty());
  fixture.store.in_doubt = false;
  fixture.Run();
  CHECK(fixture.outcomes.at("row") == StoreOutcome::kUnknown);
}

// Guards against refused writes that start to wait anew, behind later ones.
TEST_CASE("a refused write is sent again before later ones") {
  Fixture fixture(20);
  for (int i = 0; i < 10; ++i)
    fixture.Write("row-" + std::to_string(i));
  fixture.store.refuses = true;
  fixture.store.CompleteAll();
  fixture.store.refuses = false;
  CHECK(fixture.outcomes.empty());
  fixture.Run();
  CHECK(fixture.outcomes.size() == 10);
  CHECK(fixture.outcomes["row-0"] == StoreOutcome::kDone);
}

// Guards against a pace where a deployment states no rate.
TEST_CASE("without a rate each write is a call at once") {
  Fixture fixture(0);
  for (int i = 0; i < 300; ++i)
    fixture.Write("row-" + std::to_string(i));
  CHECK(fixture.store.calls == 300);
}

}  // namespace
}  // namespace vanillalever::forwarding
