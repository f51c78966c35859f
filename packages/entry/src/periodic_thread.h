#ifndef VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_
#define VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "vanillalever/base/clock.h"

namespace vanillalever::entry {

// Thread that runs a task at intervals and when woken. For tasks that block on
// the platform and must not delay each other or the timer service.
class PeriodicThread {
 public:
  PeriodicThread(base::Duration interval, std::function<void()> task);
  ~PeriodicThread();

  // Runs the task again as soon as possible.
  void Wake();
  // Stops the thread after the current run of the task. Idempotent.
  void Stop();

 private:
  void Run();

  const base::Duration interval_;
  const std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable condition_;
  bool wake_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_PERIODIC_THREAD_H_
