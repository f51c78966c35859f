#ifndef VANILLALEVER_ENTRY_SRC_WORKER_POOL_H_
#define VANILLALEVER_ENTRY_SRC_WORKER_POOL_H_

#include <exception>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include "vanillalever/base/logging.h"

namespace vanillalever::entry {

// Thread pool for tasks that block on the platform.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t threads) : pool_(threads) {}
  ~WorkerPool() { Stop(); }

  // An exception of a task is logged and ends only this task.
  template <typename Task>
  void Post(Task task) {
    boost::asio::post(pool_, [task = std::move(task)]() mutable {
      try {
        task();
      } catch (const std::exception& error) {
        base::LogEvent(base::LogLevel::kError, "task_failed",
                       {{"error", error.what()}});
      }
    });
  }

  // Waits for running tasks and discards queued ones. Idempotent.
  void Stop() {
    pool_.stop();
    pool_.join();
  }

 private:
  boost::asio::thread_pool pool_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_WORKER_POOL_H_
