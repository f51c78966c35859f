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

// Runs callbacks at fixed intervals on one thread. Callbacks must be short and
// hand longer work to an executor. Thread-safe.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  // Ends its callback when destroyed. After the destructor returns the callback
  // is not running and is not called again, unless it is destroyed from inside
  // the callback.
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

  // Calls `callback` every `interval`, first one interval from now. A late
  // callback is not repeated for the intervals it missed.
  [[nodiscard]] Subscription Every(Duration interval, Callback callback);

  // Calls `callback` once after `delay`.
  [[nodiscard]] Subscription After(Duration delay, Callback callback);

 private:
  struct Entry {
    std::uint64_t id = 0;
    // Zero for a callback that runs once.
    Duration interval{0};
    Callback callback;
  };

  Subscription Add(Duration delay, Duration interval, Callback callback);
  void Remove(std::uint64_t id);
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<TimePoint, Entry> entries_;
  std::uint64_t next_id_ = 1;
  // Identifier of the callback that runs now; zero when none runs.
  std::uint64_t running_id_ = 0;
  // Set when the running callback was cancelled, so that it is not rescheduled.
  bool running_cancelled_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_TIMER_SERVICE_H_
