#ifndef VANILLALEVER_FORWARDING_LOOP_TIMER_H_
#define VANILLALEVER_FORWARDING_LOOP_TIMER_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Time and delayed calls of one event loop. Tests replace it to run decisions
// in simulated time. Event loop's thread only.
class LoopTimer : public base::Clock {
 public:
  // Runs `action` once after `delay`, never inside the call.
  virtual void RunAfter(base::Duration delay, std::function<void()> action) = 0;
};

// LoopTimer of an I/O context. Pending calls end with the context.
class AsioLoopTimer final : public LoopTimer {
 public:
  explicit AsioLoopTimer(boost::asio::io_context& context)
      : context_(context) {}

  base::TimePoint now() const override { return base::TimePoint::clock::now(); }

  void RunAfter(base::Duration delay, std::function<void()> action) override {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait(
        [timer, action = std::move(action)](boost::system::error_code error) {
          if (!error)
            action();
        });
  }

 private:
  boost::asio::io_context& context_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_LOOP_TIMER_H_
