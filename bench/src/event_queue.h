#ifndef VANILLALEVER_BENCH_EVENT_QUEUE_H_
#define VANILLALEVER_BENCH_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::bench {

// Pending events ordered by time. Events of the same time run in insertion
// order, so that a run is determined by its seed.
class EventQueue {
 public:
  using Action = std::function<void()>;

  void At(base::TimePoint time, Action action) {
    events_.push({std::max(time, now_), next_++, std::move(action)});
  }
  void After(base::Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  // Runs the next event; returns false if there is none.
  bool Step() {
    if (events_.empty())
      return false;
    // top() is const; the action is moved out before the event is popped.
    auto& top = const_cast<Event&>(events_.top());
    now_ = top.time;
    Action action = std::move(top.action);
    events_.pop();
    action();
    return true;
  }

  base::TimePoint now() const { return now_; }

 private:
  struct Event {
    base::TimePoint time{};
    std::uint64_t order = 0;
    Action action;

    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  base::TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_EVENT_QUEUE_H_
