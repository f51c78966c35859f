#ifndef VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_
#define VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "vanillalever/base/clock.h"

namespace vanillalever::entry {

// Thread that runs a task at intervals and when woken. For duties that block on
// the platform, which must not delay one another or the timer service.
class PeriodicThread {
 public:
  PeriodicThread(base::Duration interval, std::function<void()> task);
  ~PeriodicThread();

  // Runs the task once more as soon as possible.
  void Wake();
  // Ends the thread after its present task. Idempotent.
  void Stop();

 private:
  void Run();

  const base::Duration interval_;
  const std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool woken_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_
