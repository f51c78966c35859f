#ifndef VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_
#define VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_

#include <array>
#include <set>
#include <utility>

#include "vanillalever/scheduling/call_table.h"
#include "vanillalever/scheduling/request_queue.h"

namespace vanillalever::scheduling {

struct RemainingWorkSettings {
  // Maximum expected work of a short call (work tokens).
  double short_work = 2500;
  // Share of the slots reserved for short calls.
  double reserved_share = 0.125;
  // Waiting time that offsets one work token of difference, in seconds. Zero is
  // first come, first served; larger values approach shortest job first.
  double seconds_per_token = 0.002;
  // Share of the program's age before this call that counts as waiting time.
  double program_age_share = 0.25;
  // Program age above which the credit no longer grows.
  base::Duration program_age_limit = base::seconds(60);
  // Waiting time credited to a call that blocks a parent program.
  base::Duration parent_credit = base::seconds(2);
};

// Orders calls by priority, then by expected remaining work with ageing, and
// reserves some slots for short calls.
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

  // Slots out of `limit` that long calls may not use.
  std::size_t ReservedSlots(std::size_t limit) const;

 private:
  // Virtual time (seconds) and id. All calls age at the same rate, so that
  // their order is constant while they wait.
  using Rank = std::pair<double, std::uint64_t>;
  using RankedCalls = std::set<Rank>;

  Rank RankOf(const QueuedCall& call) const;
  RankedCalls& RankedCallsOf(const QueuedCall& call);
  // Index of the most urgent priority with a waiting call; kPriorityCount if no
  // call waits.
  std::size_t FirstWaitingPriority(
      const std::array<RankedCalls, kPriorityCount>& calls) const;

  RemainingWorkSettings settings_;
  CallTable table_;
  std::array<RankedCalls, kPriorityCount> short_calls_;
  std::array<RankedCalls, kPriorityCount> long_calls_;
  // Calls that Pop() found expired and that Expire() will return.
  std::vector<QueuedCall> expired_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_REMAINING_WORK_QUEUE_H_
