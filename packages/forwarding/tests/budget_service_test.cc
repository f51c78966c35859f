#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/forwarding/budget_service.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr const char* kProgram = "p";

// A store without responses, which counts the transactions.
class SilentTable final : public SharedTable {
 public:
  int transactions = 0;

  void Transact(std::vector<TableWrite>,
                std::function<void(TransactionResult)>) override {
    ++transactions;
  }
  void ReadRange(TableRange, std::function<void(ReadResult)>) override {}
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}
};

// The other gateways, as the test sets them.
class TestPeers final : public BudgetPeers {
 public:
  BudgetCoordinator coordinator = BudgetCoordinator::kLocal;
  bool reaches = false;
  bool lost = true;
  std::vector<TokenRequest> requests;

  BudgetCoordinator RequestTokens(const TokenRequest& request) override {
    if (coordinator == BudgetCoordinator::kPeer)
      requests.push_back(request);
    return coordinator;
  }
  bool ReclaimUnused(const ReclaimRequest&) override { return false; }
  bool reaches_store() const override { return reaches; }
  bool store_lost() const override { return lost; }
};

struct Fixture {
  boost::asio::io_context io;
  SilentTable table;
  TestPeers peers;
  AsioLoopTimer timer{io};
  BudgetService service{timer, table, peers, 1};

  // Outcome of a turn; nothing while it waits.
  std::optional<BudgetOutcome> Begin(std::int64_t budget, std::int64_t tokens) {
    std::optional<BudgetOutcome> result;
    service.Begin(kProgram, budget, tokens,
                  [&result](BudgetOutcome outcome) { result = outcome; });
    return result;
  }
};

// Guards against tokens that are granted twice in one outage: by a process, and
// by the one that is started after it was killed.
TEST_CASE("no provisional grant before the store has responded once") {
  Fixture fixture;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kUnavailable);
  fixture.service.OnStoreAnswered();
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kGranted);
}

// Guards against grants beside the reservations of gateways that the store
// serves.
TEST_CASE("a coordinator reserves while any gateway reaches the store") {
  Fixture fixture;
  fixture.service.OnStoreAnswered();
  fixture.peers.lost = false;
  std::optional<BudgetOutcome> outcome;
  fixture.service.Begin(kProgram, 600, 40,
                        [&outcome](BudgetOutcome result) { outcome = result; });
  fixture.io.run_for(milliseconds(350));
  CHECK(fixture.table.transactions == 1);
  CHECK_FALSE(outcome);
  // The store became unavailable to all meanwhile.
  fixture.peers.lost = true;
  fixture.io.run_for(milliseconds(200));
  CHECK(outcome == BudgetOutcome::kGranted);
}

// Guards against a late reply that drops another gateway's grants.
TEST_CASE("a late reply to an older request does not lower known grants") {
  Fixture fixture;
  fixture.service.OnStoreAnswered();
  fixture.peers.coordinator = BudgetCoordinator::kPeer;
  std::optional<BudgetOutcome> outcome;
  fixture.service.Begin(kProgram, 600, 40,
                        [&outcome](BudgetOutcome result) { outcome = result; });
  REQUIRE(fixture.peers.requests.size() == 1);
  // One turn and a sixth of the budget: the limit is reached.
  fixture.service.OnTokenTransfer(
      {fixture.peers.requests.front().id, 7, kProgram, 40, 140, 140});
  CHECK(outcome == BudgetOutcome::kGranted);
  fixture.service.OnTokenTransfer({12345, 8, kProgram, 5, 140, 0});
  // That coordinator is gone; this gateway is the next one.
  fixture.peers.coordinator = BudgetCoordinator::kLocal;
  CHECK(fixture.Begin(600, 40) == BudgetOutcome::kUnavailable);
}

}  // namespace
}  // namespace vanillalever::forwarding
