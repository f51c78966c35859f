#ifndef VANILLALEVER_BASE_TIMER_SERVICE_H_
#define VANILLALEVER_BASE_TIMER_SERVICE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "vanillalever/base/clock.h"

namespace vanillalever::base {

// Runs callbacks periodically or after a delay, on one thread. Callbacks must
// be short and post longer work to an executor. Thread-safe.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  // Cancels its callback on destruction. When the destructor or Cancel() has
  // returned, the callback is not running and will not be called again. When
  // called from the callback itself, they return while it is still running.
  class Subscription {
   public:
    Subscription() = default;
    Subscription(TimerService* service, std::uint64_t id)
        : service_(service), id_(id) {}
    Subscription(Subscription&& other) noexcept;
    Subscription& operator=(Subscription&& other) noexcept;
    ~Subscription();
    void Cancel();

   private:
    TimerService* service_ = nullptr;
    std::uint64_t id_ = 0;
  };

  TimerService();
  ~TimerService();

  // Calls `callback` every `interval`, for the first time after one interval.
  // Intervals missed because of a delay are skipped.
  [[nodiscard]] Subscription Every(Duration interval, Callback callback);

  // Calls `callback` once after `delay`.
  [[nodiscard]] Subscription After(Duration delay, Callback callback);

 private:
  struct ScheduledCallback {
    std::uint64_t id = 0;
    // Zero for a one-shot callback.
    Duration interval{0};
    Callback callback;
  };

  Subscription Add(Duration delay, Duration interval, Callback callback);
  void Remove(std::uint64_t id);
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<TimePoint, ScheduledCallback> schedule_;
  std::uint64_t next_id_ = 1;
  // Id of the running callback; zero if none is running.
  std::uint64_t running_id_ = 0;
  // Set if the running callback was cancelled, so that it is not rescheduled.
  bool running_cancelled_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_TIMER_SERVICE_H_
