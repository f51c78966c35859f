#ifndef VANILLALEVER_SCHEDULING_QUEUED_CALL_H_
#define VANILLALEVER_SCHEDULING_QUEUED_CALL_H_

#include <cstddef>
#include <cstdint>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Importance of a call; a lower value goes first.
enum class Priority : std::uint8_t { kHigh, kNormal, kLow };

inline constexpr std::size_t kPriorityCount = 3;

// A call that waits at a sidecar.
struct QueuedCall {
  // Unique among the calls of one queue.
  std::uint64_t id = 0;
  Priority priority = Priority::kNormal;
  // Expected work that remains for this call (work tokens).
  double expected_work = 0;
  // When the call entered the queue.
  base::TimePoint enqueue_time{};
  // When the call's program started, on this process's clock; equal to
  // `enqueue_time` when unknown.
  base::TimePoint program_start{};
  // When waiting ends: later the call is expired, not run.
  base::TimePoint deadline{};
  // Another program is blocked until this call's program ends.
  bool blocks_parent = false;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_QUEUED_CALL_H_
