#include "vanillalever/http/io_threads.h"

namespace vanillalever::http {

IoThreads::IoThreads(int thread_count)
    : context_(thread_count), work_guard_(context_.get_executor()) {
  for (int i = 0; i < thread_count; ++i)
    threads_.emplace_back([this] { context_.run(); });
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
