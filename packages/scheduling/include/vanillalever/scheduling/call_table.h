#ifndef VANILLALEVER_SCHEDULING_CALL_TABLE_H_
#define VANILLALEVER_SCHEDULING_CALL_TABLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

// Waiting calls indexed by id and by deadline. Shared by the queue strategies,
// which add their own order.
class CallTable {
 public:
  void Insert(const QueuedCall& call);

  // Removes and returns the call; nullopt if the id is unknown.
  std::optional<QueuedCall> Take(std::uint64_t id);

  // Removes and returns the call with the earliest deadline if it has passed.
  std::optional<QueuedCall> TakeExpired(base::TimePoint now);

  std::size_t size() const { return calls_.size(); }

  // Total expected work of all calls (work tokens).
  double work() const { return work_; }

 private:
  std::unordered_map<std::uint64_t, QueuedCall> calls_;
  std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines_;
  double work_ = 0;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CALL_TABLE_H_
