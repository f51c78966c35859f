#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/forwarding/record_writer.h"
#include "vanillalever/forwarding/turn_rows.h"

namespace vanillalever::forwarding {
namespace {

TableWrite EntryOf(const std::string& id) {
  return {TurnIndexRow(0, id), 0, "entry"};
}

// A store that applies transactions only when told, and refuses those with more
// writes than the platform's store takes: 100 entries, two for each write.
class BoundedTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    largest = std::max(largest, writes.size());
    open_.emplace_back(writes.size(), std::move(done));
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
      TransactionResult result;
      result.outcome =
          2 * writes <= 100 ? StoreOutcome::kDone : StoreOutcome::kNotDone;
      result.version = 1;
      done(result);
    }
  }

  std::size_t largest = 0;

 private:
  std::deque<std::pair<std::size_t, std::function<void(TransactionResult)>>>
      open_;
};

// A store that does its first transaction without a response.
class ForgetfulTable final : public SharedTable {
 public:
  static constexpr std::uint64_t kVersion = 7;

  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    TransactionResult result;
    result.outcome = StoreOutcome::kUnknown;
    if (row) {
      result.outcome = StoreOutcome::kConflict;
      result.current = {*row};
    } else {
      row = TableRow{writes.front().name, *writes.front().value, kVersion};
    }
    done(result);
  }
  void ReadRange(TableRange, std::function<void(ReadResult)>) override {}
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}

  std::optional<TableRow> row;
};

// A conversation in use was deleted by the gateway that had not learned the
// version of its record: it deleted whatever version it found later.
TEST_CASE("the version of a record is known also if the response was lost") {
  boost::asio::io_context io;
  ForgetfulTable table;
  RecordWriter writer(io, table, "turns", 1);
  RecordWriter::Outcome seen;
  writer.Write("turn", {"value"}, EntryOf("turn"),
               base::TimePoint::clock::now() + base::seconds(60),
               [&seen](RecordWriter::Outcome outcome) { seen = outcome; });
  io.run();
  CHECK(seen.recorded);
  CHECK(seen.version == ForgetfulTable::kVersion);
}

// Turns that the earlier release wrote were not found after an upgrade.
TEST_CASE("rows of earlier releases lie in the table's own partitions") {
  TableRange now = RecordRowRange("turns", "turn");
  TableRange before = EarlierRecordRowRange("turns", "turn");
  CHECK(before.partition == "turns-" + now.partition);
  CHECK(before.from == now.from);
  CHECK(before.to == now.to);
}

TEST_CASE("records that gather during a burst fit into transactions") {
  boost::asio::io_context io;
  BoundedTable table;
  RecordWriter writer(io, table, "turns", 1);
  auto give_up = base::TimePoint::clock::now() + base::seconds(60);
  std::size_t recorded = 0;
  constexpr std::size_t kRecords = 4000;
  for (std::size_t i = 0; i < kRecords; ++i) {
    std::string id = "turn-" + std::to_string(i);
    writer.Write(id, {"value"}, EntryOf(id), give_up,
                 [&recorded](RecordWriter::Outcome outcome) {
                   recorded += outcome.recorded ? 1 : 0;
                 });
  }
  table.CompleteAll();
  CHECK(table.largest <= 50);
  CHECK(recorded == kRecords);
}

}  // namespace
}  // namespace vanillalever::forwarding
