#include "vanillalever/scheduling/fifo_queue.h"

namespace vanillalever::scheduling {

void FifoQueue::Push(const QueuedCall& call) {
  table_.Insert(call);
  order_.push_back(call.id);
}

std::optional<QueuedCall> FifoQueue::Pop(base::TimePoint now,
                                         const SlotState& slots) {
  if (slots.running >= slots.limit)
    return std::nullopt;
  while (!order_.empty()) {
    std::optional<QueuedCall> call = table_.Take(order_.front());
    order_.pop_front();
    if (!call)
      continue;
    if (call->deadline > now)
      return call;
    expired_.push_back(*call);
  }
  return std::nullopt;
}

void FifoQueue::Expire(base::TimePoint now, std::vector<QueuedCall>* expired) {
  expired->insert(expired->end(), expired_.begin(), expired_.end());
  expired_.clear();
  while (std::optional<QueuedCall> call = table_.TakeExpired(now))
    expired->push_back(*call);
}

bool FifoQueue::Remove(std::uint64_t id) {
  return table_.Take(id).has_value();
}

bool FifoQueue::IsLong(const QueuedCall& /*call*/) const {
  return false;
}

}  // namespace vanillalever::scheduling
