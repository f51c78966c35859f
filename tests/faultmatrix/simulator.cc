#include "simulator.h"

namespace vanillalever::faultmatrix {

Duration Simulator::Between(int low, int high) {
  auto range = static_cast<std::uint64_t>(high - low) + 1;
  return milliseconds(low + static_cast<int>(random_.Below(range)));
}

bool Simulator::Chance(int percent) {
  return random_.Below(100) < static_cast<std::uint64_t>(percent);
}

void Simulator::After(Duration delay, std::function<void()> event) {
  events_.emplace(std::make_pair(now_ + delay, next_++), std::move(event));
}

bool Simulator::Step() {
  if (events_.empty())
    return false;
  auto node = events_.extract(events_.begin());
  now_ = node.key().first;
  ++steps_;
  node.mapped()();
  return true;
}

void Host::After(Duration delay, std::function<void()> event) {
  simulator_.After(delay, [this, event = std::move(event)] {
    if (!alive_)
      return;
    if (paused())
      After(paused_until_ - simulator_.now(), event);
    else
      event();
  });
}

void Host::Every(Duration interval, const std::function<void()>& event) {
  After(interval, [this, interval, event] {
    event();
    Every(interval, event);
  });
}

}  // namespace vanillalever::faultmatrix
