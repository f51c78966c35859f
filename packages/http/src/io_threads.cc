#include "vanillalever/http/io_threads.h"

#include <exception>

#include "vanillalever/base/logging.h"

namespace vanillalever::http {
namespace {

// An exception ends only the task that throws it: the other requests of the
// process go on.
void RunTasks(boost::asio::io_context& context) {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception& error) {
      base::LogEvent(base::LogLevel::kError, "task_failed",
                     {{"error", error.what()}});
    }
  }
}

}  // namespace

IoThreads::IoThreads(int thread_count)
    : context_(thread_count), work_guard_(context_.get_executor()) {
  for (int i = 0; i < thread_count; ++i)
    threads_.emplace_back([this] { RunTasks(context_); });
}

IoThreads::~IoThreads() {
  Stop();
}

void IoThreads::Stop() {
  work_guard_.reset();
  context_.stop();
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

}  // namespace vanillalever::http
