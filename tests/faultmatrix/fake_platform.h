#ifndef VANILLALEVER_TESTS_FAULTMATRIX_FAKE_PLATFORM_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_FAKE_PLATFORM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "network.h"
#include "vanillalever/membership/instance_view.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::faultmatrix {

// One row of the table.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  // Token of the transaction that wrote it.
  std::string token;
};

// Response to a transaction.
struct TransactionResult {
  bool applied = false;
  std::uint64_t version = 0;
  std::string conflict_key;
};

// The platform's table and instance list in memory.
class FakePlatform {
 public:
  using Instances = std::vector<membership::ListedInstance>;

  FakePlatform(Simulator& simulator, Network& network);

  // Requests from a host; `on_fail` as in Network::Call().
  void Transact(Host& from,
                const program::TransactionPlan& plan,
                std::function<void(TransactionResult)> on_reply,
                Network::OnFail on_fail);
  void Read(Host& from,
            const std::string& prefix,
            std::function<void(std::vector<TableRow>)> on_reply,
            Network::OnFail on_fail);
  void ReadInstances(Host& from,
                     std::function<void(Instances)> on_reply,
                     Network::OnFail on_fail);

  // The true instances; the list shows them with a lag.
  void SetInstances(Instances instances);

  // Faults.
  void Down(Duration time);
  void Slow(Duration time);
  // The next `count` transactions take effect and lose their response.
  void LoseResponses(int count) { lose_responses_ += count; }
  // The list shows no change for a time.
  void FreezeList(Duration time);
  // The list leaves out every second instance for a time.
  void GapList(Duration time);
  // Whether the list is shown with its usual lag only.
  bool list_current() const;
  // Whether requests are answered promptly.
  bool healthy() const;

  const std::map<std::string, TableRow>& table() const { return table_; }

 private:
  TransactionResult Apply(const program::TransactionPlan& plan);
  Instances List();
  // Time that the platform takes for a request; nothing while it is down.
  std::optional<Duration> ServiceTime();
  // Sends a request that `serve` answers.
  template <typename Response>
  void Request(Host& from,
               std::function<std::optional<Response>()> serve,
               std::function<void(Response)> on_reply,
               Network::OnFail on_fail);

  Simulator& simulator_;
  Network& network_;
  Host host_;
  std::map<std::string, TableRow> table_;
  std::uint64_t version_ = 0;
  // Lists with the time from which each is shown.
  std::deque<std::pair<TimePoint, Instances>> lists_;
  TimePoint down_until_;
  TimePoint slow_until_;
  TimePoint frozen_until_;
  TimePoint gap_until_;
  int lose_responses_ = 0;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_FAKE_PLATFORM_H_
