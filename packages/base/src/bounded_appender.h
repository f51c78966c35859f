#ifndef VANILLALEVER_BASE_BOUNDED_APPENDER_H_
#define VANILLALEVER_BASE_BOUNDED_APPENDER_H_

#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::base {

// Writes log lines to a descriptor without blocking. Lines beyond a rate, or
// that the descriptor does not take, are dropped and counted.
class BoundedAppender final : public log4cplus::Appender {
 public:
  BoundedAppender(int descriptor, LogLimits limits);
  ~BoundedAppender() override;

  void close() override {}

 private:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;
  // Takes one line from the allowance of the rate.
  bool TakeAllowance();
  void WriteText(const std::string& text);

  const int descriptor_;
  const LogLimits limits_;
  double allowance_;
  TimePoint refilled_{};
  std::uint64_t dropped_ = 0;
  // Rest of a line of which the descriptor took only a part.
  std::string rest_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_BOUNDED_APPENDER_H_
