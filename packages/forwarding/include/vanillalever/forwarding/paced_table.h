#ifndef VANILLALEVER_FORWARDING_PACED_TABLE_H_
#define VANILLALEVER_FORWARDING_PACED_TABLE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/admission/call_rate.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/loop_timer.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// SharedTable that keeps to the rate of write calls that the store takes from
// all gateways together. Writes pass at once while the rate allows it; others
// wait, and those of one partition then share a transaction, so that many rows
// cost one call. Intended for a demand of several times that rate: refused
// calls would be repeated, and the turns that wait for them would time out
// after servers have done their work. Reads are not paced. Event loop's thread
// only.
class PacedTable final : public SharedTable {
 public:
  // `writes_per_second`: rate of the store; zero for no limit.
  PacedTable(LoopTimer& timer,
             SharedTable& store,
             double writes_per_second,
             base::Counter& delayed_writes);

  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override;
  void ReadRange(TableRange range,
                 std::function<void(ReadResult)> done) override;
  void AwaitChanges(std::string table,
                    std::uint64_t version,
                    base::milliseconds wait,
                    std::function<void(ChangesResult)> done) override;

  // Number of live gateways, this one included.
  void SetGateways(std::size_t gateways) { rate_.SetGateways(gateways); }

  base::Duration expected_wait() const override;
  base::TimePoint last_large_response() const override {
    return store_.last_large_response();
  }
  base::TimePoint last_slow_response() const override {
    return store_.last_slow_response();
  }

 private:
  // Writes of one caller, all or none of which are applied.
  struct Job {
    std::vector<TableWrite> writes;
    std::function<void(TransactionResult)> done;
    base::TimePoint since{};
    // Sent in a transaction of its own.
    bool alone = false;
    // The outcome of an earlier transaction with these writes is not known.
    bool in_doubt = false;
  };
  using Jobs = std::deque<Job>;

  // Sends what the rate allows.
  void SendWaiting();
  // Takes the first jobs of a partition that fit into one transaction.
  static Jobs TakeBatch(Jobs& waiting);
  void SendBatch(Jobs batch);
  void OnResult(Jobs batch, const TransactionResult& result);
  // The jobs wait again, before those that came later.
  void PutBack(Jobs batch);
  // Of several jobs one met a conflict: completes that one, and sends the
  // others again.
  void OnConflict(Jobs batch, const TransactionResult& result);

  LoopTimer& timer_;
  SharedTable& store_;
  admission::CallRate rate_;
  base::Counter& delayed_writes_;
  // By partition; none is empty.
  std::map<std::string, Jobs> waiting_;
  // A call of SendWaiting() is due.
  bool timer_set_ = false;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PACED_TABLE_H_
