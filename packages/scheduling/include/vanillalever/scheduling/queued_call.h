#ifndef VANILLALEVER_SCHEDULING_QUEUED_CALL_H_
#define VANILLALEVER_SCHEDULING_QUEUED_CALL_H_

#include <cstddef>
#include <cstdint>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Priority of a call; lower values run first.
enum class Priority : std::uint8_t { kHigh, kNormal, kLow };

inline constexpr std::size_t kPriorityCount = 3;

// A call waiting at a sidecar.
struct QueuedCall {
  // Unique among the calls of one queue.
  std::uint64_t id = 0;
  Priority priority = Priority::kNormal;
  // Expected remaining work of the call (work tokens).
  double expected_work = 0;
  base::TimePoint enqueue_time{};
  // When the call's program started, on this process's clock; equal to
  // `enqueue_time` when unknown.
  base::TimePoint program_start{};
  // From this time on a waiting call expires without having run.
  base::TimePoint deadline{};
  // A parent program is blocked until this call's program ends.
  bool blocks_parent = false;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_QUEUED_CALL_H_
