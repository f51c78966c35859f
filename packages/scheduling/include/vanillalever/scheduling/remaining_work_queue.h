#ifndef VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_
#define VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_

#include <array>
#include <set>
#include <utility>

#include "vanillalever/scheduling/call_table.h"
#include "vanillalever/scheduling/request_queue.h"

namespace vanillalever::scheduling {

// Settings of RemainingWorkQueue.
struct RemainingWorkSettings {
  // Work up to which a call counts as short (work tokens).
  double short_work = 2500;
  // Share of the slots that only short calls may use.
  double reserved_share = 0.125;
  // Waiting time that makes up for one work token of difference, in seconds.
  // Larger values are closer to shortest-first, zero is first-come.
  double seconds_per_token = 0.002;
  // Share of the program's age before this call that counts as waiting time.
  double program_age_share = 0.25;
  // Program age beyond which no further credit is given.
  base::Duration program_age_limit = base::seconds(60);
  // Credit of a call that blocks a parent program.
  base::Duration parent_credit = base::seconds(2);
};

// Orders calls by priority, then by expected remaining work with ageing, and
// keeps some slots for short calls.
class RemainingWorkQueue final : public RequestQueue {
 public:
  explicit RemainingWorkQueue(
      RemainingWorkSettings settings = RemainingWorkSettings());

  void Push(const QueuedCall& call) override;
  std::optional<QueuedCall> Pop(base::TimePoint now,
                                const SlotState& slots) override;
  void Expire(base::TimePoint now, std::vector<QueuedCall>* expired) override;
  bool Remove(std::uint64_t id) override;
  bool IsLong(const QueuedCall& call) const override;
  std::size_t size() const override { return table_.size(); }
  double queued_work() const override { return table_.work(); }

  // Slots out of `limit` that long calls leave to short ones.
  std::size_t ReservedSlots(std::size_t limit) const;

 private:
  // Virtual time (seconds) and id. All calls age at the same rate, so their
  // order does not change while they wait.
  using Rank = std::pair<double, std::uint64_t>;
  using Order = std::set<Rank>;

  Rank RankOf(const QueuedCall& call) const;
  Order& OrderOf(const QueuedCall& call);
  // Level among kPriorityCount with the lowest waiting rank, or kPriorityCount.
  std::size_t FirstLevel(const std::array<Order, kPriorityCount>& orders) const;

  RemainingWorkSettings settings_;
  CallTable table_;
  std::array<Order, kPriorityCount> short_orders_;
  std::array<Order, kPriorityCount> long_orders_;
  std::vector<QueuedCall> expired_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_
