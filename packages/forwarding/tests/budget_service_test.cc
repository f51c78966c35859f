#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/forwarding/budget_service.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr const char* kProgram = "p";

// A store that responds to reads only, and counts the transactions.
class ReadOnlyTable final : public SharedTable {
 public:
  int transactions = 0;
  bool answers_reads = true;

  void Transact(std::vector<TableWrite>,
                std::function<void(TransactionResult)>) override {
    ++transactions;
  }
  void ReadRange(TableRange, std::function<void(ReadResult)> done) override {
    if (!answers_reads)
      return;
    ReadResult result;
    result.outcome = StoreOutcome::kDone;
    done(std::move(result));
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}
};

constexpr RunId kRun = 5;

// The other gateways, as the test sets them.
class TestPeers final : public BudgetPeers {
 public:
  std::size_t others = 0;
  bool reaches = true;
  bool lost = true;
  bool knows_all = true;
  bool hears_all = true;
  std::vector<ReclaimRequest> requests;

  RunId run() const override { return kRun; }
  PreviousExit previous_exit() const override { return PreviousExit::kClean; }
  std::size_t Reclaim(const ReclaimRequest& request) override {
    requests.push_back(request);
    return others;
  }
  void Announce(const RowNotice&, const std::vector<RunId>&) override {}
  bool HandOver(const TokenTransfer&) override { return false; }
  std::vector<RunId> Ranked(const std::string&) const override {
    return {kRun};
  }
  bool silent(RunId) const override { return false; }
  bool complete(base::TimePoint) const override { return knows_all; }
  bool all_heard() const override { return hears_all; }
  bool in_minority() const override { return false; }
  bool reaches_store() const override { return reaches; }
  bool store_lost() const override { return lost; }
};

struct Fixture {
  boost::asio::io_context io;
  ReadOnlyTable table;
  TestPeers peers;
  AsioLoopTimer timer{io};
  BudgetService service{timer, table, peers, 1};

  // Outcome of a turn; nothing while it waits.
  std::optional<BudgetOutcome> Begin(std::int64_t budget, std::int64_t tokens) {
    result.reset();
    service.Begin(kProgram, {budget, tokens, {}},
                  [this](BudgetOutcome outcome) { result = outcome; });
    return result;
  }

  std::optional<BudgetOutcome> result;
};

// Guards against tokens that are granted twice in one outage: by a process, and
// by the one that is started after it was killed.
TEST_CASE("no claim before the store has responded once") {
  Fixture fixture;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kUnavailable);
  fixture.service.Tick();
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kGranted);
}

// Guards against review/4: a program that the gateway does not know, taken for
// one without any tokens granted.
TEST_CASE("no claim unless all gateways were heard from") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.knows_all = false;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kUnavailable);
}

// Guards against review/9: the listing of programs is complete, but a silent
// gateway may have begun others since.
TEST_CASE("no claim while a gateway is silent") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.hears_all = false;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kUnavailable);
  fixture.peers.hears_all = true;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kGranted);
}

// Guards against grants beside the reservations of gateways that the store
// serves.
TEST_CASE("a gateway reserves while any gateway reaches the store") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.lost = false;
  fixture.table.answers_reads = false;
  fixture.Begin(600, 40);
  fixture.io.run_for(milliseconds(350));
  CHECK(fixture.table.transactions == 1);
  CHECK_FALSE(fixture.result);
  // The store became unavailable to all meanwhile.
  fixture.peers.lost = true;
  fixture.io.run_for(milliseconds(200));
  CHECK(fixture.result == BudgetOutcome::kGranted);
}

// A store whose transactions the test answers.
class ScriptedTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    written = writes;
    ++transactions;
    done(answer(writes));
  }
  void ReadRange(TableRange, std::function<void(ReadResult)> done) override {
    ReadResult result;
    result.outcome =
        reads_answered ? StoreOutcome::kDone : StoreOutcome::kNotDone;
    if (row.version > 0)
      result.rows = {row};
    done(std::move(result));
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}

  TransactionResult Apply(const std::vector<TableWrite>& writes) {
    TransactionResult result;
    if (writes.front().expected_version != row.version) {
      result.outcome = StoreOutcome::kConflict;
      if (row.version > 0)
        result.current = {row};
      return result;
    }
    result.outcome = StoreOutcome::kDone;
    result.version = row.version = ++version;
    row.name = writes.front().name;
    row.value = *writes.front().value;
    return result;
  }
  static TransactionResult Failed(StoreOutcome outcome) {
    TransactionResult result;
    result.outcome = outcome;
    return result;
  }

  std::function<TransactionResult(const std::vector<TableWrite>&)> answer =
      [this](const std::vector<TableWrite>& writes) { return Apply(writes); };
  std::vector<TableWrite> written;
  TableRow row;
  std::uint64_t version = 0;
  int transactions = 0;
  bool reads_answered = true;
};

struct ScriptedFixture {
  ScriptedFixture() { peers.lost = false; }

  BudgetOutcome Begin(std::int64_t budget, std::int64_t tokens) {
    std::optional<BudgetOutcome> result;
    service.Begin(kProgram, {budget, tokens, {}},
                  [&result](BudgetOutcome outcome) { result = outcome; });
    for (int i = 0; i < 100 && !result; ++i) {
      io.restart();
      io.run_for(milliseconds(20));
    }
    return result.value_or(BudgetOutcome::kUnavailable);
  }
  void Wait(milliseconds time) {
    std::this_thread::sleep_for(time);
    io.restart();
    io.poll();
    service.Tick();
  }

  boost::asio::io_context io;
  ScriptedTable table;
  TestPeers peers;
  AsioLoopTimer timer{io};
  BudgetService service{timer, table, peers, 1};
};

// Guards against review/13: the store writes a release without a response, and
// refuses the copies that follow.
TEST_CASE("no copy that is refused makes a written release undone") {
  ScriptedFixture fixture;
  REQUIRE(fixture.Begin(100, 40) == BudgetOutcome::kGranted);
  fixture.service.End(kProgram, 40, 10);
  bool done = GENERATE(true, false);
  // The first copy is done, now or late, and all others are refused.
  int copies = 0;
  fixture.table.answer = [&](const std::vector<TableWrite>& writes) {
    if (++copies > 1)
      return ScriptedTable::Failed(StoreOutcome::kNotDone);
    if (done)
      fixture.table.Apply(writes);
    return ScriptedTable::Failed(StoreOutcome::kUnknown);
  };
  fixture.table.reads_answered = false;
  fixture.Wait(milliseconds(600));
  REQUIRE(copies == 1);
  std::vector<TableWrite> release = fixture.table.written;
  fixture.Wait(milliseconds(600));
  CHECK(copies == 2);
  CHECK(fixture.Begin(100, 40) == BudgetOutcome::kUnavailable);
  if (!done)
    fixture.table.Apply(release);
  fixture.table.reads_answered = true;
  fixture.table.answer = [&](const std::vector<TableWrite>& writes) {
    return fixture.table.Apply(writes);
  };
  // 90 tokens are left: two turns of 40, and none from the released share.
  CHECK(fixture.Begin(100, 40) == BudgetOutcome::kGranted);
  CHECK(fixture.Begin(100, 40) == BudgetOutcome::kGranted);
  CHECK(fixture.Begin(100, 40) == BudgetOutcome::kSpent);
}

// Guards against calls without end: a row that was removed, and is expected at
// its last version with each attempt.
TEST_CASE("a removed row is written anew") {
  ScriptedFixture fixture;
  REQUIRE(fixture.Begin(1000, 40) == BudgetOutcome::kGranted);
  fixture.table.row = {};
  int before = fixture.table.transactions;
  for (int i = 0; i < 4; ++i)
    REQUIRE(fixture.Begin(1000, 40) == BudgetOutcome::kGranted);
  CHECK(fixture.table.transactions <= before + 3);
  CHECK(fixture.table.row.version > 0);
}

// Guards against tokens of a program that one gateway knows and another one
// does not.
TEST_CASE("a claim is granted once every gateway has accepted it") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.others = 2;
  fixture.Begin(600, 40);
  REQUIRE(fixture.peers.requests.size() == 1);
  const ReclaimRequest request = fixture.peers.requests.front();
  CHECK(request.claim == 140);
  TokenTransfer reply;
  reply.request = request.id;
  reply.program = kProgram;
  reply.sender = 7;
  reply.claim_accepted = true;
  fixture.service.OnTokenTransfer(reply);
  // The same datagram again is no second gateway.
  fixture.service.OnTokenTransfer(reply);
  CHECK_FALSE(fixture.result);
  reply.sender = 8;
  SECTION("accepted") {
    fixture.service.OnTokenTransfer(reply);
    CHECK(fixture.result == BudgetOutcome::kGranted);
  }
  SECTION("known there") {
    reply.claim_accepted = false;
    reply.knowledge.row.version = 4;
    reply.knowledge.row.Add(8, 600, false);
    fixture.service.OnTokenTransfer(reply);
    fixture.io.run_for(milliseconds(100));
    CHECK(fixture.result == BudgetOutcome::kUnavailable);
  }
}

// Guards against two gateways that claim tokens of one program at a time.
TEST_CASE("of two claims at the same time at most one is accepted") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.others = 1;
  fixture.Begin(600, 40);
  ReclaimRequest other;
  other.id = 77;
  other.program = kProgram;
  other.claim = 140;
  std::optional<bool> accepted;
  auto reply = [&accepted](const TokenTransfer& transfer) {
    accepted = transfer.claim_accepted;
  };
  TokenTransfer late;
  late.request = fixture.peers.requests.front().id;
  late.program = kProgram;
  late.claim_accepted = true;
  SECTION("the other run is higher") {
    other.sender = late.sender = kRun + 1;
    fixture.service.OnReclaimRequest(other, reply);
    CHECK(accepted == false);
    fixture.service.OnTokenTransfer(late);
    CHECK(fixture.result == BudgetOutcome::kGranted);
  }
  SECTION("the other run is lower") {
    other.sender = late.sender = kRun - 1;
    fixture.service.OnReclaimRequest(other, reply);
    CHECK(accepted == true);
    fixture.service.OnTokenTransfer(late);
    CHECK(fixture.result != BudgetOutcome::kGranted);
  }
}

// Guards against tokens that a duplicated or delayed datagram brings twice.
TEST_CASE("a transfer counts once, and late ones count") {
  Fixture fixture;
  fixture.service.Tick();
  fixture.peers.others = 1;
  fixture.peers.knows_all = false;
  fixture.Begin(600, 40);
  fixture.io.run_for(milliseconds(100));
  CHECK(fixture.result == BudgetOutcome::kUnavailable);
  TokenTransfer late;
  late.request = fixture.peers.requests.front().id;
  late.sender = 7;
  late.program = kProgram;
  late.tokens = 60;
  fixture.service.OnTokenTransfer(late);
  fixture.service.OnTokenTransfer(late);
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kGranted);
  CHECK(fixture.Begin(600, 40) != BudgetOutcome::kGranted);
}

}  // namespace
}  // namespace vanillalever::forwarding
