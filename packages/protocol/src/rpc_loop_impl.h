#ifndef VANILLALEVER_PROTOCOL_SRC_RPC_LOOP_IMPL_H_
#define VANILLALEVER_PROTOCOL_SRC_RPC_LOOP_IMPL_H_

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <kj/async-io.h>

namespace vanillalever::protocol {

// RPC thread with its event loop and the queue of posted tasks.
class RpcLoopImpl {
 public:
  RpcLoopImpl();
  ~RpcLoopImpl();

  void Post(std::function<void()> task);

  // May only be called on the RPC thread.
  kj::AsyncIoContext& io() { return *io_; }
  kj::Timer& timer() { return io_->provider->getTimer(); }

 private:
  void Run();
  void RunTasks(std::vector<std::function<void()>> tasks);

  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_fulfiller_;
  bool stopping_ = false;
  kj::AsyncIoContext* io_ = nullptr;
  std::thread thread_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_RPC_LOOP_IMPL_H_
