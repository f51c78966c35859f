#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "vanillalever/forwarding/turn_collector.h"
#include "vanillalever/forwarding/turn_rows.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr seconds kRetention{8};

class ManualTimer final : public LoopTimer {
 public:
  base::TimePoint now() const override { return clock_.now(); }
  void RunAfter(base::Duration, std::function<void()>) override {}
  void Advance(base::Duration time) { clock_.Advance(time); }

 private:
  base::ManualClock clock_;
};

// A store in memory, whose calls complete when the test says so.
class MemoryTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    open_.emplace_back([this, writes = std::move(writes),
                        done = std::move(done)] { done(Apply(writes)); });
  }
  void ReadRange(TableRange range,
                 std::function<void(ReadResult)> done) override {
    ++listings;
    open_.emplace_back([this, range, done = std::move(done)] {
      ReadResult result;
      if (available) {
        result.outcome = StoreOutcome::kDone;
        result.version = version_;
        for (const auto& [name, row] : rows_) {
          if (row.name.table == range.table &&
              row.name.partition == range.partition)
            result.rows.push_back(row);
        }
      }
      done(std::move(result));
    });
  }
  void AwaitChanges(std::string table,
                    std::uint64_t after,
                    milliseconds,
                    std::function<void(ChangesResult)> done) override {
    open_.emplace_back([this, table, after, done = std::move(done)] {
      ChangesResult result;
      if (available) {
        result.outcome = StoreOutcome::kDone;
        for (const TableRow& row : history_) {
          if (row.version > after && row.name.table == table &&
              result.rows.size() < most_changes)
            result.rows.push_back(row);
        }
        result.version = result.rows.size() < most_changes
                             ? version_
                             : result.rows.back().version;
      }
      done(std::move(result));
    });
  }

  void CompleteAll() {
    while (!open_.empty()) {
      auto call = std::move(open_.front());
      open_.pop_front();
      call();
    }
  }

  // Writes a turn's record of two rows and its entry.
  void Put(const std::string& id,
           const std::string& previous,
           std::size_t part = 0) {
    conversation::TurnIndexEntry entry{
        .previous = previous, .retention = kRetention, .rows = 2};
    Apply({{RecordRowName(kTurnTable, id, 0), 0, "record"},
           {RecordRowName(kTurnTable, id, 1), 0, "record"},
           {TurnIndexRow(part, id), 0,
            conversation::EncodeTurnIndexEntry(entry)}});
  }
  // Writes the first row of a record again, as earlier releases do.
  void Rewrite(const std::string& id) {
    RowName name = RecordRowName(kTurnTable, id, 0);
    Apply({{name, rows_.at(KeyOf(name)).version, "record"}});
  }
  std::size_t rows() const { return rows_.size(); }

  bool available = true;
  int listings = 0;
  // Most rows of a response.
  std::size_t most_changes = 500;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  static Key KeyOf(const RowName& name) {
    return {name.table, name.partition, name.key};
  }

  TransactionResult Apply(const std::vector<TableWrite>& writes) {
    TransactionResult result;
    if (!available)
      return result;
    bool conflict = false;
    for (const TableWrite& write : writes) {
      auto found = rows_.find(KeyOf(write.name));
      bool present = found != rows_.end();
      conflict |=
          (present ? found->second.version : 0) != write.expected_version;
      if (present)
        result.current.push_back(found->second);
    }
    result.outcome = conflict ? StoreOutcome::kConflict : StoreOutcome::kDone;
    if (conflict)
      return result;
    result.version = ++version_;
    for (const TableWrite& write : writes) {
      TableRow row{write.name, write.value.value_or(""), version_,
                   !write.value};
      history_.push_back(row);
      if (write.value)
        rows_[KeyOf(write.name)] = row;
      else
        rows_.erase(KeyOf(write.name));
    }
    return result;
  }

  std::map<Key, TableRow> rows_;
  std::vector<TableRow> history_;
  std::uint64_t version_ = 0;
  std::deque<std::function<void()>> open_;
};

struct Gateway {
  Gateway(ManualTimer& timer, MemoryTable& table)
      : collector(timer, table, [this](const std::string&) {
          return responsible;
        }) {
    RouteConfig config;
    Route route;
    route.stateful = true;
    route.retention = kRetention;
    route.timeout = milliseconds(3000);
    config.routes.push_back(route);
    collector.ApplyConfig(config);
  }

  std::optional<bool> responsible = true;
  TurnCollector collector;
};

struct Fixture {
  void Run(base::Duration time, std::vector<Gateway*> gateways) {
    constexpr milliseconds kStep{100};
    for (base::Duration passed{}; passed < time; passed += kStep) {
      timer.Advance(kStep);
      for (Gateway* gateway : gateways)
        gateway->collector.Tick();
      table.CompleteAll();
    }
  }

  ManualTimer timer;
  MemoryTable table;
};

// Guards against review/12: a conversation that is in use, and whose oldest
// turn a gateway deletes that knows nothing of the newer ones.
TEST_CASE("a collector deletes what nothing continues, whoever wrote it") {
  Fixture fixture;
  Gateway gateway(fixture.timer, fixture.table);
  fixture.table.Put("a", "");
  fixture.Run(seconds(7), {&gateway});
  fixture.table.Put("b", "a");
  fixture.Run(seconds(7), {&gateway});
  fixture.table.Put("c", "b");
  Gateway successor(fixture.timer, fixture.table);
  fixture.Run(3 * kRetention, {&successor});
  CHECK(fixture.table.rows() == 9);
  fixture.Run(seconds(5), {&successor});
  CHECK(fixture.table.rows() == 0);
  CHECK(successor.collector.records() == 0);
}

// Guards against gateways that delete by turns, and that keep what the other
// one has deleted.
TEST_CASE("two collectors of one part do no harm") {
  Fixture fixture;
  Gateway first(fixture.timer, fixture.table);
  Gateway second(fixture.timer, fixture.table);
  std::string previous;
  for (int i = 0; i < 60; ++i) {
    std::string id = "t" + std::to_string(i);
    fixture.table.Put(id, previous);
    previous = i % 3 == 0 ? "" : id;
  }
  fixture.Run(2 * kRetention, {&first, &second});
  CHECK(fixture.table.rows() == 180);
  fixture.Run(3 * kRetention, {&first, &second});
  CHECK(fixture.table.rows() == 0);
  CHECK(first.collector.records() == 0);
  CHECK(second.collector.records() == 0);
}

// Guards against a rush of listings when gateways start, and when the store
// returns to all.
TEST_CASE("a part is listed once its gateway stays responsible") {
  Fixture fixture;
  Gateway gateway(fixture.timer, fixture.table);
  fixture.Run(seconds(1), {&gateway});
  gateway.responsible = false;
  fixture.Run(seconds(1), {&gateway});
  CHECK(fixture.table.listings == 0);
  gateway.responsible = true;
  fixture.Run(seconds(4), {&gateway});
  int listings = fixture.table.listings;
  CHECK(listings ==
        static_cast<int>(conversation::kTurnIndexParts * kTablePartitions));
  fixture.table.Put("a", "");
  fixture.Run(seconds(2), {&gateway});
  gateway.responsible.reset();
  fixture.table.available = false;
  fixture.Run(seconds(9), {&gateway});
  gateway.responsible = true;
  fixture.table.available = true;
  fixture.Run(3 * kRetention, {&gateway});
  CHECK(fixture.table.listings == listings);
  CHECK(fixture.table.rows() == 0);
}

// Guards against a turn that is deleted since the change which continues it was
// in the next response.
TEST_CASE("a full response does not end what there is to know") {
  Fixture fixture;
  Gateway gateway(fixture.timer, fixture.table);
  fixture.Run(seconds(4), {&gateway});
  fixture.table.Put("a", "");
  fixture.Run(3 * kRetention - seconds(1), {&gateway});
  // More than the responses take until `a` expires.
  for (int i = 0; i < 4000; ++i)
    fixture.table.Put("filler" + std::to_string(i), "");
  fixture.table.Put("b", "a");
  fixture.Run(seconds(4), {&gateway});
  auto a = RecordRowName(kTurnTable, "a", 0);
  bool kept = false;
  fixture.table.ReadRange({a.table, a.partition, "", ""},
                          [&kept](const ReadResult& result) {
                            for (const TableRow& row : result.rows)
                              kept |= row.name.key == "a";
                          });
  fixture.table.CompleteAll();
  CHECK(kept);
  fixture.Run(4 * kRetention, {&gateway});
  CHECK(fixture.table.rows() == 0);
}

// Guards against an upgrade that deletes what a gateway of the release before
// goes on with.
TEST_CASE("a record that was written again is left to its writer") {
  Fixture fixture;
  Gateway gateway(fixture.timer, fixture.table);
  fixture.table.Put("a", "");
  fixture.table.Put("b", "");
  fixture.table.Rewrite("a");
  fixture.Run(4 * kRetention, {&gateway});
  // Its first row; the other one is as it was.
  CHECK(fixture.table.rows() == 1);
  CHECK(gateway.collector.records() == 0);
}

// Guards against calls to the store for nothing.
TEST_CASE("without stateful routes nothing is read") {
  Fixture fixture;
  Gateway gateway(fixture.timer, fixture.table);
  gateway.collector.ApplyConfig(RouteConfig());
  fixture.Run(seconds(10), {&gateway});
  CHECK(fixture.table.listings == 0);
}

}  // namespace
}  // namespace vanillalever::forwarding
