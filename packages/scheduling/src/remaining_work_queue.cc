#include "vanillalever/scheduling/remaining_work_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RemainingWorkQueue::RemainingWorkQueue(RemainingWorkSettings settings)
    : settings_(settings) {}

RemainingWorkQueue::Rank RemainingWorkQueue::RankOf(
    const QueuedCall& call) const {
  base::Duration age =
      std::clamp(call.enqueue_time - call.program_start, base::Duration(0),
                 settings_.program_age_limit);
  double virtual_time = Seconds(call.enqueue_time.time_since_epoch());
  virtual_time += settings_.seconds_per_token * call.expected_work;
  virtual_time -= settings_.program_age_share * Seconds(age);
  if (call.blocks_parent)
    virtual_time -= Seconds(settings_.parent_credit);
  return {virtual_time, call.id};
}

bool RemainingWorkQueue::IsLong(const QueuedCall& call) const {
  return call.expected_work > settings_.short_work;
}

RemainingWorkQueue::RankedCalls& RemainingWorkQueue::RankedCallsOf(
    const QueuedCall& call) {
  auto priority = static_cast<std::size_t>(call.priority);
  return IsLong(call) ? long_calls_[priority] : short_calls_[priority];
}

std::size_t RemainingWorkQueue::ReservedSlots(std::size_t limit) const {
  double reserved = settings_.reserved_share * static_cast<double>(limit);
  // At least one slot remains for long calls.
  return std::min(static_cast<std::size_t>(std::ceil(reserved)),
                  limit == 0 ? 0 : limit - 1);
}

std::size_t RemainingWorkQueue::FirstWaitingPriority(
    const std::array<RankedCalls, kPriorityCount>& calls) const {
  std::size_t priority = 0;
  while (priority < kPriorityCount && calls[priority].empty())
    ++priority;
  return priority;
}

void RemainingWorkQueue::Push(const QueuedCall& call) {
  table_.Insert(call);
  RankedCallsOf(call).insert(RankOf(call));
}

std::optional<QueuedCall> RemainingWorkQueue::Pop(base::TimePoint now,
                                                  const SlotState& slots) {
  if (slots.running >= slots.limit)
    return std::nullopt;
  std::size_t long_limit = slots.limit - ReservedSlots(slots.limit);
  while (true) {
    std::size_t short_priority = FirstWaitingPriority(short_calls_);
    std::size_t long_priority = slots.running_long < long_limit
                                    ? FirstWaitingPriority(long_calls_)
                                    : kPriorityCount;
    if (short_priority == kPriorityCount && long_priority == kPriorityCount)
      return std::nullopt;
    bool take_long = long_priority < short_priority;
    if (long_priority == short_priority) {
      take_long = *long_calls_[long_priority].begin() <
                  *short_calls_[short_priority].begin();
    }
    RankedCalls& calls =
        take_long ? long_calls_[long_priority] : short_calls_[short_priority];
    std::optional<QueuedCall> call = table_.Take(calls.begin()->second);
    calls.erase(calls.begin());
    if (call->deadline > now)
      return call;
    expired_.push_back(*call);
  }
}

void RemainingWorkQueue::Expire(base::TimePoint now,
                                std::vector<QueuedCall>* expired) {
  expired->insert(expired->end(), expired_.begin(), expired_.end());
  expired_.clear();
  while (std::optional<QueuedCall> call = table_.TakeExpired(now)) {
    RankedCallsOf(*call).erase(RankOf(*call));
    expired->push_back(*call);
  }
}

bool RemainingWorkQueue::Remove(std::uint64_t id) {
  std::optional<QueuedCall> call = table_.Take(id);
  if (!call)
    return false;
  RankedCallsOf(*call).erase(RankOf(*call));
  return true;
}

}  // namespace vanillalever::scheduling
