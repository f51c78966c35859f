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

  base::TimePoint last_slow_response() const override { return slow; }

  base::TimePoint slow{};
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

// Guards against review/11: a large response is given up, and asked for anew,
// whenever another call shows that the store is back.
TEST_CASE("a large response that arrives is not asked for anew") {
  Fixture world({.max_return_delay = milliseconds(0)});
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.io.run_one();
  REQUIRE(world.table.polls.size() == 2);
  world.table.slow = base::TimePoint::clock::now();
  world.watcher.OnStoreReturned();
  world.io.restart();
  world.io.run_for(milliseconds(50));
  CHECK(world.table.polls.size() == 2);
  world.table.AnswerPoll(StoreOutcome::kDone);
  CHECK(world.watcher.connected());
}

// Guards against a narrow link that carries many versions of a large row after
// an outage, of which only the last one counts.
TEST_CASE("after a long outage the table is listed") {
  Fixture world({.first_retry_delay = milliseconds(1),
                 .max_retry_delay = milliseconds(1),
                 .list_after_outage = milliseconds(100)});
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.io.run_one();
  CHECK(world.table.polls.size() == 2);
  CHECK(world.table.lists.size() == 1);
  std::this_thread::sleep_for(milliseconds(120));
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.io.restart();
  world.io.run_one();
  CHECK(world.table.polls.size() == 2);
  REQUIRE(world.table.lists.size() == 2);
  world.table.AnswerList(StoreOutcome::kDone);
  CHECK(world.table.polls.size() == 3);
}

// Guards against a large table that is read through several gateways at once,
// and against one of them that stands still and holds up all.
TEST_CASE("few listings through others are in progress at once") {
  Fixture world({.first_retry_delay = base::seconds(60),
                 .max_retry_delay = base::seconds(60),
                 .relayed_list_interval = milliseconds(1)});
  world.table.AnswerPoll(StoreOutcome::kUnknown);
  world.table.slow = base::TimePoint::clock::now();
  world.io.run_for(milliseconds(30));
  CHECK(world.table.lists.size() == 2);
  world.table.slow = {};
  world.io.run_for(milliseconds(30));
  CHECK(world.table.lists.size() == 4);
}

}  // namespace
}  // namespace vanillalever::forwarding
