#include "vanillalever/base/timer_service.h"

#include <utility>

namespace vanillalever::base {

TimerService::Subscription::Subscription(Subscription&& other) noexcept
    : service_(std::exchange(other.service_, nullptr)), id_(other.id_) {}

TimerService::Subscription& TimerService::Subscription::operator=(
    Subscription&& other) noexcept {
  if (this != &other) {
    Cancel();
    service_ = std::exchange(other.service_, nullptr);
    id_ = other.id_;
  }
  return *this;
}

TimerService::Subscription::~Subscription() {
  Cancel();
}

void TimerService::Subscription::Cancel() {
  if (TimerService* service = std::exchange(service_, nullptr))
    service->Remove(id_);
}

TimerService::TimerService() : thread_([this] { Run(); }) {}

TimerService::~TimerService() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

TimerService::Subscription TimerService::Every(Duration interval,
                                               Callback callback) {
  return Add(interval, interval, std::move(callback));
}

TimerService::Subscription TimerService::After(Duration delay,
                                               Callback callback) {
  return Add(delay, Duration(0), std::move(callback));
}

TimerService::Subscription TimerService::Add(Duration delay,
                                             Duration interval,
                                             Callback callback) {
  std::lock_guard lock(mutex_);
  std::uint64_t id = next_id_++;
  schedule_.emplace(std::chrono::steady_clock::now() + delay,
                    ScheduledCallback{id, interval, std::move(callback)});
  changed_.notify_all();
  return {this, id};
}

void TimerService::Remove(std::uint64_t id) {
  std::unique_lock lock(mutex_);
  std::erase_if(schedule_,
                [id](const auto& item) { return item.second.id == id; });
  if (running_id_ != id)
    return;
  running_cancelled_ = true;
  if (std::this_thread::get_id() == thread_.get_id())
    return;
  changed_.wait(lock, [this, id] { return running_id_ != id; });
}

void TimerService::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (schedule_.empty()) {
      changed_.wait(lock);
      continue;
    }
    TimePoint now = std::chrono::steady_clock::now();
    if (TimePoint due = schedule_.begin()->first; due > now) {
      changed_.wait_until(lock, due);
      continue;
    }
    ScheduledCallback current =
        std::move(schedule_.extract(schedule_.begin()).mapped());
    running_id_ = current.id;
    running_cancelled_ = false;
    lock.unlock();
    current.callback(now);
    lock.lock();
    bool repeat = current.interval > Duration(0) && !running_cancelled_;
    running_id_ = 0;
    if (repeat)
      schedule_.emplace(now + current.interval, std::move(current));
    changed_.notify_all();
  }
}

}  // namespace vanillalever::base
