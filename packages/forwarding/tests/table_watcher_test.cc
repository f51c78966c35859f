#include <catch2/catch.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/forwarding/table_watcher.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Answers when told.
class HeldTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite>,
                std::function<void(TransactionResult)>) override {}
  void ReadRange(TableRange, std::function<void(ReadResult)> done) override {
    lists.push_back(std::move(done));
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    milliseconds wait,
                    std::function<void(ChangesResult)> done) override {
    waits.push_back(wait);
    polls.push_back(std::move(done));
  }

  void AnswerList(StoreOutcome outcome) {
    ReadResult result;
    result.outcome = outcome;
    result.rows.resize(1);
    std::exchange(lists.back(), nullptr)(result);
  }
  void AnswerPoll(StoreOutcome outcome) {
    ChangesResult result;
    result.outcome = outcome;
    std::exchange(polls.back(), nullptr)(result);
  }

  std::vector<std::function<void(ReadResult)>> lists;
  std::vector<std::function<void(ChangesResult)>> polls;
  std::vector<milliseconds> waits;
};

class RowCounter final : public TableWatcher::Observer {
 public:
  void OnRows(const std::vector<TableRow>&) override { ++listings; }
  void OnChange(const TableRow&, bool) override {}

  int listings = 0;
};

struct Fixture {
  explicit Fixture(TableWatcherSettings settings = {})
      : watcher(io, table, "op", rows, 1, settings) {
    watcher.Start();
    table.AnswerList(StoreOutcome::kDone);
  }

  boost::asio::io_context io;
  HeldTable table;
  RowCounter rows;
  TableWatcher watcher;
};

// A poll that was sent to a silent store ended seconds after the store was
// back.
TEST_CASE("after a failure calls do not wait until one succeeds") {
  Fixture world;
  CHECK(world.table.waits.back() > milliseconds(0));
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.io.run_one();
  CHECK(world.table.waits.back() == milliseconds(0));
  world.table.AnswerPoll(StoreOutcome::kDone);
  CHECK(world.watcher.connected());
  CHECK(world.table.waits.back() > milliseconds(0));
}

TEST_CASE(
    "a call follows as soon as another one shows that the store is back") {
  Fixture world({.first_retry_delay = base::seconds(60),
                 .max_retry_delay = base::seconds(60),
                 .max_return_delay = milliseconds(0)});
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.watcher.OnStoreReturned();
  world.io.run_for(milliseconds(50));
  CHECK(world.table.polls.size() == 2);
  // Once it is served it keeps its poll.
  world.table.AnswerPoll(StoreOutcome::kDone);
  world.watcher.OnStoreReturned();
  world.io.poll();
  CHECK(world.table.polls.size() == 3);
}

// A poll may show the rows as they were when it was sent, not as they were when
// its response came.
TEST_CASE("a view is confirmed as of the moment at which its call was sent") {
  Fixture world;
  auto before = base::BootClock::now();
  CHECK(*world.watcher.confirmed_at() <= before);
  world.table.AnswerPoll(StoreOutcome::kDone);
  auto confirmed = *world.watcher.confirmed_at();
  CHECK(confirmed <= before);
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  CHECK(*world.watcher.confirmed_at() == confirmed);
}

// A gateway that had stood still refused keys until its next poll had waited.
TEST_CASE("a view that grew old is confirmed without waiting for changes") {
  constexpr milliseconds kMaxWait{300};
  Fixture world({.max_wait = kMaxWait});
  CHECK(world.table.waits.back() == kMaxWait);
  std::this_thread::sleep_for(milliseconds(650));
  world.table.AnswerPoll(StoreOutcome::kDone);
  CHECK(world.table.waits.back() == milliseconds(0));
  world.table.AnswerPoll(StoreOutcome::kDone);
  CHECK(world.table.waits.back() == kMaxWait);
}

TEST_CASE("a view is confirmed through others while the store does not serve") {
  Fixture world({.relayed_list_interval = milliseconds(1)});
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  auto confirmed = *world.watcher.confirmed_at();
  REQUIRE(world.table.lists.size() == 2);
  world.table.AnswerList(StoreOutcome::kDone);
  CHECK(world.rows.listings == 2);
  CHECK(*world.watcher.confirmed_at() > confirmed);
  CHECK_FALSE(world.watcher.connected());
}

}  // namespace
}  // namespace vanillalever::forwarding
