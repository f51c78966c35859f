#ifndef VANILLALEVER_HTTP_IO_THREADS_H_
#define VANILLALEVER_HTTP_IO_THREADS_H_

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace vanillalever::http {

// An io_context and its thread pool.
class IoThreads {
 public:
  explicit IoThreads(int thread_count);
  // Calls Stop(). Pending handlers are destroyed without being run.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Stops the context and joins the threads. Idempotent.
  void Stop();

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::vector<std::thread> threads_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_IO_THREADS_H_
