#include "bounded_appender.h"

#include <algorithm>
#include <sstream>

#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace vanillalever::base {

BoundedAppender::BoundedAppender(int descriptor, LogLimits limits)
    : descriptor_(descriptor),
      limits_(limits),
      allowance_(limits.burst_lines),
      refilled_(TimePoint::clock::now()) {
  int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0)
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() {
  destructorImpl();
}

bool BoundedAppender::TakeAllowance() {
  TimePoint now = TimePoint::clock::now();
  double passed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  allowance_ = std::min(limits_.burst_lines,
                        allowance_ + passed * limits_.lines_per_second);
  if (allowance_ < 1)
    return false;
  allowance_ -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!TakeAllowance() || !rest_.empty()) {
    std::string rest;
    rest.swap(rest_);
    if (!rest.empty())
      WriteText(rest);
    if (allowance_ < 1 || !rest_.empty()) {
      ++dropped_;
      return;
    }
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  std::string text = line.str();
  if (dropped_ > 0) {
    // Ahead of the line break, so that the count belongs to a whole line.
    text.insert(text.size() - 1, " dropped_lines=" + std::to_string(dropped_));
    dropped_ = 0;
  }
  WriteText(text);
}

void BoundedAppender::WriteText(const std::string& text) {
  ssize_t size = ::write(descriptor_, text.data(), text.size());
  if (size < 0) {
    ++dropped_;
    return;
  }
  rest_ = text.substr(static_cast<std::size_t>(size));
}

}  // namespace vanillalever::base
