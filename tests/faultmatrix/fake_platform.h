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

// In-memory fake of the platform's table and instance list.
class FakePlatform {
 public:
  using Instances = std::vector<membership::ListedInstance>;

  FakePlatform(Simulator& simulator, Network& network);

  // Requests from a process; `on_failure` as in Network::SendRequest().
  void Transact(Process& from,
                const program::TransactionPlan& plan,
                std::function<void(TransactionResult)> on_reply,
                Network::OnFailure on_failure);
  void Read(Process& from,
            const std::string& prefix,
            std::function<void(std::vector<TableRow>)> on_reply,
            Network::OnFailure on_failure);
  void ReadInstances(Process& from,
                     std::function<void(Instances)> on_reply,
                     Network::OnFailure on_failure);

  // Sets the actual instances; the list shows them with a delay.
  void SetInstances(Instances instances);

  // Faults.
  void SetUnavailable(Duration time);
  void SetSlow(Duration time);
  // The next `count` transactions are applied and their responses lost.
  void LoseResponses(int count) { lose_responses_ += count; }
  // The list does not change for a time.
  void FreezeInstanceList(Duration time);
  // The list omits every second instance for a time.
  void OmitInstances(Duration time);
  // Whether the list has no fault other than its usual delay.
  bool instance_list_current() const;
  // Whether requests are processed without a long delay.
  bool healthy() const;

  const std::map<std::string, TableRow>& table() const { return table_; }

 private:
  TransactionResult Apply(const program::TransactionPlan& plan);
  Instances VisibleInstances();
  // Processing time of a request; nothing while the platform is unavailable.
  std::optional<Duration> ServiceTime();
  // Sends a request; `serve` returns the response, or nothing if it is lost.
  template <typename Response>
  void Request(Process& from,
               std::function<std::optional<Response>()> serve,
               std::function<void(Response)> on_reply,
               Network::OnFailure on_failure);

  Simulator& simulator_;
  Network& network_;
  Process process_;
  std::map<std::string, TableRow> table_;
  std::uint64_t version_ = 0;
  // Instance lists with the time from which each is visible.
  std::deque<std::pair<TimePoint, Instances>> instance_lists_;
  TimePoint unavailable_until_;
  TimePoint slow_until_;
  TimePoint list_frozen_until_;
  TimePoint list_incomplete_until_;
  int lose_responses_ = 0;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_FAKE_PLATFORM_H_
