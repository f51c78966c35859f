#ifndef VANILLALEVER_BASE_LOGGING_H_
#define VANILLALEVER_BASE_LOGGING_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace vanillalever::base {

// One key=value pair of a log line. Values with spaces or special characters
// are quoted.
struct LogField {
  std::string_view key;
  std::string value;
};

// Severity of a log line.
enum class LogLevel { kInfo, kWarning, kError };

// Configures logging to standard error, with lines of the form
// "time level event=<event> key=value ...". Call once, before the first
// LogEvent().
void InitLogging(std::string_view process_name);

// Rate limit of InitBoundedLogging() (a token bucket).
struct LogLimits {
  // Sustained rate, and the maximum number of lines in a burst.
  double lines_per_second = 400;
  double burst_lines = 2000;
};

// Like InitLogging(), but writes to standard output and never blocks: lines
// that exceed the limits, or that the reader is too slow to accept, are
// dropped. The number of dropped lines is added to the next line written.
void InitBoundedLogging(std::string_view process_name, LogLimits limits = {});

// Logs a decision or a state change as one line.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_LOGGING_H_
