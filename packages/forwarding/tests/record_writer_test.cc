#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/forwarding/record_writer.h"

namespace vanillalever::forwarding {
namespace {

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

TEST_CASE("records that gather during a burst fit into transactions") {
  boost::asio::io_context io;
  BoundedTable table;
  RecordWriter writer(io, table, "turns", 1);
  auto give_up = base::TimePoint::clock::now() + base::seconds(60);
  std::size_t recorded = 0;
  constexpr std::size_t kRecords = 4000;
  for (std::size_t i = 0; i < kRecords; ++i) {
    writer.Write("turn-" + std::to_string(i), {"value"}, give_up,
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
