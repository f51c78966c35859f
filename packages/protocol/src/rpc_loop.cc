#include "vanillalever/protocol/rpc_loop.h"

#include <exception>
#include <future>
#include <utility>

#include "rpc_loop_impl.h"

namespace vanillalever::protocol {

RpcLoopImpl::RpcLoopImpl() : thread_([this] { Run(); }) {}

RpcLoopImpl::~RpcLoopImpl() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    if (wake_fulfiller_.get() != nullptr)
      wake_fulfiller_->fulfill();
  }
  thread_.join();
}

void RpcLoopImpl::Post(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  if (wake_fulfiller_.get() != nullptr)
    wake_fulfiller_->fulfill();
}

void RpcLoopImpl::Run() {
  auto io = kj::setupAsyncIo();
  io_ = &io;
  while (true) {
    std::vector<std::function<void()>> tasks;
    kj::Promise<void> wake_up = kj::READY_NOW;
    {
      std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
      if (tasks.empty() && stopping_)
        break;
      if (tasks.empty()) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        wake_fulfiller_ = kj::mv(pair.fulfiller);
        wake_up = kj::mv(pair.promise);
      }
    }
    RunTasks(std::move(tasks));
    wake_up.wait(io.waitScope);
  }
  std::lock_guard lock(mutex_);
  wake_fulfiller_ = nullptr;
}

void RpcLoopImpl::RunTasks(std::vector<std::function<void()>> tasks) {
  for (auto& task : tasks) {
    task();
    task = nullptr;
  }
}

RpcLoop::RpcLoop() : impl_(std::make_unique<RpcLoopImpl>()) {}

RpcLoop::~RpcLoop() = default;

void RpcLoop::Post(std::function<void()> task) {
  impl_->Post(std::move(task));
}

void RpcLoop::Run(const std::function<void()>& task) {
  std::promise<void> done;
  impl_->Post([&task, &done] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

}  // namespace vanillalever::protocol
