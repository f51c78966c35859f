#include "simulator.h"

namespace vanillalever::faultmatrix {

Duration Simulator::RandomDuration(int low, int high) {
  auto range = static_cast<std::uint64_t>(high - low) + 1;
  return milliseconds(low + static_cast<int>(random_.Below(range)));
}

bool Simulator::RandomChance(int percent) {
  return random_.Below(100) < static_cast<std::uint64_t>(percent);
}

void Simulator::Schedule(Duration delay, std::function<void()> event) {
  events_.emplace(std::make_pair(now_ + delay, next_sequence_++),
                  std::move(event));
}

bool Simulator::RunNext() {
  if (events_.empty())
    return false;
  auto node = events_.extract(events_.begin());
  now_ = node.key().first;
  ++steps_;
  node.mapped()();
  return true;
}

void Process::Schedule(Duration delay, std::function<void()> event) {
  simulator_.Schedule(delay, [this, event = std::move(event)] {
    if (!alive_)
      return;
    if (paused())
      Schedule(paused_until_ - simulator_.now(), event);
    else
      event();
  });
}

void Process::ScheduleEvery(Duration interval,
                            const std::function<void()>& event) {
  Schedule(interval, [this, interval, event] {
    event();
    ScheduleEvery(interval, event);
  });
}

}  // namespace vanillalever::faultmatrix
