#ifndef VANILLALEVER_BASE_BOUNDED_APPENDER_H_
#define VANILLALEVER_BASE_BOUNDED_APPENDER_H_

#include <cstdint>
#include <string>

#include <log4cplus/appender.h>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::base {

// Writes log lines to a file descriptor without blocking. Lines that exceed the
// rate limit, or that the descriptor does not accept, are dropped and counted.
class BoundedAppender final : public log4cplus::Appender {
 public:
  BoundedAppender(int descriptor, LogLimits limits);
  ~BoundedAppender() override;

  void close() override {}

 private:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;
  // Refills the token bucket and takes one line from it. Returns false if it is
  // empty.
  bool TakeLineQuota();
  void WriteText(const std::string& text);

  const int descriptor_;
  const LogLimits limits_;
  double available_lines_;
  TimePoint last_refill_{};
  std::uint64_t dropped_ = 0;
  // Remainder of a line that was written only in part.
  std::string unwritten_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_BOUNDED_APPENDER_H_
