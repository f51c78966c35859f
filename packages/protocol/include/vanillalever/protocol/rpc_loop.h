#ifndef VANILLALEVER_PROTOCOL_RPC_LOOP_H_
#define VANILLALEVER_PROTOCOL_RPC_LOOP_H_

#include <functional>
#include <memory>

namespace vanillalever::protocol {

class RpcLoopImpl;

// Thread that runs the event loop of the RPC library (KJ). Objects of the
// library may only be used on this thread.
class RpcLoop {
 public:
  RpcLoop();
  // Runs the tasks already posted and joins the thread. All servers and clients
  // must be destroyed before.
  ~RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  // Runs `task` on the thread, after the tasks posted before. Does not wait.
  void Post(std::function<void()> task);

  // Runs `task` on the thread and waits for it. Rethrows its exception. Must
  // not be called on the thread itself.
  void Run(const std::function<void()>& task);

  RpcLoopImpl& impl() { return *impl_; }

 private:
  std::unique_ptr<RpcLoopImpl> impl_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_RPC_LOOP_H_
