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
      available_lines_(limits.burst_lines),
      last_refill_(TimePoint::clock::now()) {
  int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0)
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() {
  destructorImpl();
}

bool BoundedAppender::TakeLineQuota() {
  TimePoint now = TimePoint::clock::now();
  double elapsed_s = std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  available_lines_ =
      std::min(limits_.burst_lines,
               available_lines_ + elapsed_s * limits_.lines_per_second);
  if (available_lines_ < 1)
    return false;
  available_lines_ -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!TakeLineQuota() || !unwritten_.empty()) {
    std::string unwritten;
    unwritten.swap(unwritten_);
    if (!unwritten.empty())
      WriteText(unwritten);
    if (available_lines_ < 1 || !unwritten_.empty()) {
      ++dropped_;
      return;
    }
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  std::string text = line.str();
  if (dropped_ > 0) {
    // Inserted before the line break, as a field of this line.
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
  unwritten_ = text.substr(static_cast<std::size_t>(size));
}

}  // namespace vanillalever::base
