#ifndef VANILLALEVER_SCHEDULING_FIFO_QUEUE_H_
#define VANILLALEVER_SCHEDULING_FIFO_QUEUE_H_

#include <deque>

#include "vanillalever/scheduling/call_table.h"
#include "vanillalever/scheduling/request_queue.h"

namespace vanillalever::scheduling {

// Baseline: calls in order of arrival, without priorities or reserved slots.
class FifoQueue final : public RequestQueue {
 public:
  void Push(const QueuedCall& call) override;
  std::optional<QueuedCall> Pop(base::TimePoint now,
                                const SlotState& slots) override;
  void Expire(base::TimePoint now, std::vector<QueuedCall>* expired) override;
  bool Remove(std::uint64_t id) override;
  bool IsLong(const QueuedCall& call) const override;
  std::size_t size() const override { return table_.size(); }
  double queued_work() const override { return table_.work(); }

 private:
  CallTable table_;
  // Ids in order of arrival. The id of a removed call stays until Pop() reaches
  // it.
  std::deque<std::uint64_t> order_;
  // Calls that Pop() found expired and that Expire() will return.
  std::vector<QueuedCall> expired_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_FIFO_QUEUE_H_
