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

// Execution slots of a server when a queue is asked for the next call.
struct SlotState {
  // Calls that may run at once.
  std::size_t limit = 1;
  // Calls that run now.
  std::size_t running = 0;
  // Long calls among them.
  std::size_t running_long = 0;
};

// Strategy that orders the calls waiting at a server. Waiting is bounded by
// each call's deadline, not by the queue's length. Not thread-safe.
class RequestQueue {
 public:
  virtual ~RequestQueue() = default;

  // Adds a call; its id must not be queued.
  virtual void Push(const QueuedCall& call) = 0;

  // Removes and returns the next call to run; nothing when no slot is free for
  // any waiting call. Never returns a call whose deadline has passed.
  virtual std::optional<QueuedCall> Pop(base::TimePoint now,
                                        const SlotState& slots) = 0;

  // Removes the calls whose deadline has passed and appends them to `expired`.
  // They did not run.
  virtual void Expire(base::TimePoint now,
                      std::vector<QueuedCall>* expired) = 0;

  // Removes a cancelled call; false when it is not queued.
  virtual bool Remove(std::uint64_t id) = 0;

  // Whether the call counts as long against the slots reserved for short work.
  virtual bool IsLong(const QueuedCall& call) const = 0;

  virtual std::size_t size() const = 0;

  // Expected work of all queued calls (work tokens).
  virtual double queued_work() const = 0;
};

// Available strategies.
enum class QueueKind { kRemainingWork, kFifo };

inline constexpr base::NameTable<QueueKind, 2> kQueueKindNames({
    "remaining_work",
    "fifo",
});

// Queue of the given kind with default settings.
std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_REQUEST_QUEUE_H_
