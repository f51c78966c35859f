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
  double rank = Seconds(call.enqueue_time.time_since_epoch());
  rank += settings_.seconds_per_token * call.expected_work;
  rank -= settings_.program_age_share * Seconds(age);
  if (call.blocks_parent)
    rank -= Seconds(settings_.parent_credit);
  return {rank, call.id};
}

bool RemainingWorkQueue::IsLong(const QueuedCall& call) const {
  return call.expected_work > settings_.short_work;
}

RemainingWorkQueue::Order& RemainingWorkQueue::OrderOf(const QueuedCall& call) {
  auto level = static_cast<std::size_t>(call.priority);
  return IsLong(call) ? long_orders_[level] : short_orders_[level];
}

std::size_t RemainingWorkQueue::ReservedSlots(std::size_t limit) const {
  double reserved = settings_.reserved_share * static_cast<double>(limit);
  // One slot at least is left to long calls.
  return std::min(static_cast<std::size_t>(std::ceil(reserved)),
                  limit == 0 ? 0 : limit - 1);
}

std::size_t RemainingWorkQueue::FirstLevel(
    const std::array<Order, kPriorityCount>& orders) const {
  std::size_t level = 0;
  while (level < kPriorityCount && orders[level].empty())
    ++level;
  return level;
}

void RemainingWorkQueue::Push(const QueuedCall& call) {
  table_.Insert(call);
  OrderOf(call).insert(RankOf(call));
}

std::optional<QueuedCall> RemainingWorkQueue::Pop(base::TimePoint now,
                                                  const SlotState& slots) {
  if (slots.running >= slots.limit)
    return std::nullopt;
  std::size_t long_limit = slots.limit - ReservedSlots(slots.limit);
  while (true) {
    std::size_t short_level = FirstLevel(short_orders_);
    std::size_t long_level = slots.running_long < long_limit
                                 ? FirstLevel(long_orders_)
                                 : kPriorityCount;
    if (short_level == kPriorityCount && long_level == kPriorityCount)
      return std::nullopt;
    bool take_long = long_level < short_level;
    if (long_level == short_level) {
      take_long = *long_orders_[long_level].begin() <
                  *short_orders_[short_level].begin();
    }
    Order& order =
        take_long ? long_orders_[long_level] : short_orders_[short_level];
    std::optional<QueuedCall> call = table_.Take(order.begin()->second);
    order.erase(order.begin());
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
    OrderOf(*call).erase(RankOf(*call));
    expired->push_back(*call);
  }
}

bool RemainingWorkQueue::Remove(std::uint64_t id) {
  std::optional<QueuedCall> call = table_.Take(id);
  if (!call)
    return false;
  OrderOf(*call).erase(RankOf(*call));
  return true;
}

}  // namespace vanillalever::scheduling
