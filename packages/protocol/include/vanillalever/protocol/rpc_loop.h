#ifndef VANILLALEVER_PROTOCOL_RPC_LOOP_H_
#define VANILLALEVER_PROTOCOL_RPC_LOOP_H_

#include <functional>
#include <memory>

namespace vanillalever::protocol {

class RpcLoopImpl;

// Thread that runs the event loop of the RPC library. Objects of the library
// are used on this thread only.
class RpcLoop {
 public:
  RpcLoop();
  // Runs what was posted before, then ends the thread. Servers and clients must
  // have been destroyed.
  ~RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  // Runs `task` on the thread, after earlier tasks. Does not wait.
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
