#ifndef VANILLALEVER_SCHEDULING_REQUEST_QUEUE_H_
#define VANILLALEVER_SCHEDULING_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "vanillalever/base/name_table.h"
#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

// Execution slots of a server at the time of RequestQueue::Pop().
struct SlotState {
  // Maximum concurrent calls.
  std::size_t limit = 1;
  // Calls that are running.
  std::size_t running = 0;
  // Running calls that count as long.
  std::size_t running_long = 0;
};

// Strategy that orders the calls waiting at a server. The wait is limited by
// each call's deadline, not by the queue length. Not thread-safe.
class RequestQueue {
 public:
  virtual ~RequestQueue() = default;

  // Adds a call whose id is not queued yet.
  virtual void Push(const QueuedCall& call) = 0;

  // Removes and returns the next call to run; nullopt if no slot is free for
  // any waiting call. Never returns a call whose deadline has passed.
  virtual std::optional<QueuedCall> Pop(base::TimePoint now,
                                        const SlotState& slots) = 0;

  // Removes the calls whose deadline has passed, which did not run, and appends
  // them to `expired`.
  virtual void Expire(base::TimePoint now,
                      std::vector<QueuedCall>* expired) = 0;

  // Removes a cancelled call; returns false if it is not queued.
  virtual bool Remove(std::uint64_t id) = 0;

  // Whether the call counts as long and may not use slots reserved for short
  // calls.
  virtual bool IsLong(const QueuedCall& call) const = 0;

  virtual std::size_t size() const = 0;

  // Expected work of all queued calls (work tokens).
  virtual double queued_work() const = 0;
};

enum class QueueKind { kRemainingWork, kFifo };

inline constexpr base::NameTable<QueueKind, 2> kQueueKindNames({
    "remaining_work",
    "fifo",
});

// Creates a queue of the given kind with default settings.
std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_REQUEST_QUEUE_H_
