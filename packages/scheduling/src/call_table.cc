#include "vanillalever/scheduling/call_table.h"

#include <cassert>

namespace vanillalever::scheduling {

void CallTable::Insert(const QueuedCall& call) {
  [[maybe_unused]] bool inserted = calls_.emplace(call.id, call).second;
  assert(inserted);
  deadlines_.emplace(call.deadline, call.id);
  work_ += call.expected_work;
}

std::optional<QueuedCall> CallTable::Take(std::uint64_t id) {
  auto found = calls_.find(id);
  if (found == calls_.end())
    return std::nullopt;
  QueuedCall call = found->second;
  calls_.erase(found);
  deadlines_.erase({call.deadline, id});
  // Resets the sum when the table is empty, which removes rounding errors.
  work_ = calls_.empty() ? 0 : work_ - call.expected_work;
  return call;
}

std::optional<QueuedCall> CallTable::TakeExpired(base::TimePoint now) {
  if (deadlines_.empty() || deadlines_.begin()->first > now)
    return std::nullopt;
  return Take(deadlines_.begin()->second);
}

}  // namespace vanillalever::scheduling
