#include "periodic_thread.h"

#include <utility>

#include "vanillalever/base/error.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::entry {

PeriodicThread::PeriodicThread(base::Duration interval,
                               std::function<void()> task)
    : interval_(interval), task_(std::move(task)), thread_([this] { Run(); }) {}

PeriodicThread::~PeriodicThread() {
  Stop();
}

void PeriodicThread::Wake() {
  {
    std::lock_guard lock(mutex_);
    wake_requested_ = true;
  }
  condition_.notify_all();
}

void PeriodicThread::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  condition_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

void PeriodicThread::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wake_requested_ = false;
    lock.unlock();
    try {
      task_();
    } catch (const std::exception& error) {
      base::LogEvent(base::LogLevel::kError, "task_failed",
                     {{"error", error.what()}});
    }
    lock.lock();
    condition_.wait_for(lock, interval_,
                        [this] { return wake_requested_ || stopping_; });
  }
}

}  // namespace vanillalever::entry
