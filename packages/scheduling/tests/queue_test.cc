#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/scheduling/engine_priority.h"
#include "vanillalever/scheduling/fifo_queue.h"
#include "vanillalever/scheduling/remaining_work_queue.h"

namespace vanillalever::scheduling {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr SlotState kIdle{.limit = 8, .running = 0, .running_long = 0};

QueuedCall Call(std::uint64_t id, double work, base::TimePoint at = kStart) {
  return {.id = id,
          .expected_work = work,
          .enqueue_time = at,
          .program_start = at,
          .deadline = at + seconds(1000)};
}

std::uint64_t PopId(RequestQueue& queue,
                    base::TimePoint now = kStart,
                    SlotState slots = kIdle) {
  std::optional<QueuedCall> call = queue.Pop(now, slots);
  return call ? call->id : 0;
}

// Guards against a queue that runs, loses or reports twice an expired call.
TEST_CASE("expired calls are reported once and never run") {
  QueueKind kind = GENERATE(QueueKind::kFifo, QueueKind::kRemainingWork);
  auto queue = MakeRequestQueue(kind);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    QueuedCall call = Call(id, 10);
    call.deadline = kStart + seconds(static_cast<int>(id));
    queue->Push(call);
  }
  CHECK(queue->Remove(3));
  CHECK_FALSE(queue->Remove(3));
  CHECK(PopId(*queue, kStart + milliseconds(2500)) == 4);
  std::vector<QueuedCall> expired;
  queue->Expire(kStart + milliseconds(2500), &expired);
  CHECK(expired.size() == 2);
  CHECK(queue->size() == 0);
  CHECK(queue->queued_work() == 0);
  queue->Expire(kStart + seconds(100), &expired);
  CHECK(expired.size() == 2);
}

// Guards against a queue that starts more calls than the limit.
TEST_CASE("a full server starts nothing") {
  QueueKind kind = GENERATE(QueueKind::kFifo, QueueKind::kRemainingWork);
  auto queue = MakeRequestQueue(kind);
  queue->Push(Call(1, 10));
  CHECK(PopId(*queue, kStart, {.limit = 4, .running = 4}) == 0);
  CHECK(PopId(*queue) == 1);
}

// Guards against long calls that delay short calls or calls of higher priority.
TEST_CASE("priority comes first, then remaining work") {
  RemainingWorkQueue queue;
  queue.Push(Call(1, 50000));
  queue.Push(Call(2, 100));
  QueuedCall important = Call(3, 90000);
  important.priority = Priority::kHigh;
  queue.Push(important);
  CHECK(PopId(queue) == 3);
  CHECK(PopId(queue) == 2);
  CHECK(PopId(queue) == 1);
}

// Guards against starvation of long calls by a stream of short ones.
TEST_CASE("waiting time offsets expected work") {
  RemainingWorkSettings settings;
  settings.seconds_per_token = 0.001;
  RemainingWorkQueue queue(settings);
  queue.Push(Call(1, 10000));
  queue.Push(Call(2, 100, kStart + seconds(9)));
  queue.Push(Call(3, 100, kStart + seconds(11)));
  CHECK(PopId(queue) == 2);
  CHECK(PopId(queue) == 1);
  CHECK(PopId(queue) == 3);
}

// Guards against short calls that wait because long calls occupy all slots.
TEST_CASE("long calls do not use the reserved slots") {
  RemainingWorkSettings settings;
  settings.reserved_share = 0.25;
  RemainingWorkQueue queue(settings);
  CHECK(queue.ReservedSlots(8) == 2);
  CHECK(queue.ReservedSlots(1) == 0);
  queue.Push(Call(1, 50000));
  SlotState slots{.limit = 8, .running = 6, .running_long = 6};
  CHECK(PopId(queue, kStart, slots) == 0);
  queue.Push(Call(2, 100));
  CHECK(PopId(queue, kStart, slots) == 2);
  slots.running_long = 5;
  CHECK(PopId(queue, kStart, slots) == 1);
}

// Guards against a long recomputed prompt that delays short prompts in the
// engine, and against engine priorities of different call priorities that
// overlap.
TEST_CASE("engine priority orders by priority, then by prompt to compute") {
  CHECK(EnginePriority(Priority::kNormal, 600) <
        EnginePriority(Priority::kNormal, 20000));
  CHECK(EnginePriority(Priority::kNormal, 1e9) <
        EnginePriority(Priority::kLow, 0));
  CHECK(EnginePriority(Priority::kHigh, 1e9) <
        EnginePriority(Priority::kNormal, -5));
}

// Guards against calls of older programs, or calls that block a parent program,
// that wait behind calls of new programs with equal work.
TEST_CASE("with equal work the older program and the blocked parent go first") {
  RemainingWorkQueue queue;
  QueuedCall new_program = Call(1, 1000);
  QueuedCall old_program = Call(2, 1000);
  old_program.program_start = kStart - seconds(30);
  QueuedCall child = Call(3, 1000);
  child.blocks_parent = true;
  queue.Push(new_program);
  queue.Push(child);
  queue.Push(old_program);
  CHECK(PopId(queue) == 2);
  CHECK(PopId(queue) == 3);
  CHECK(PopId(queue) == 1);
}

}  // namespace
}  // namespace vanillalever::scheduling
