#ifndef VANILLALEVER_BASE_LOGGING_H_
#define VANILLALEVER_BASE_LOGGING_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace vanillalever::base {

// One key=value pair of a log line; values with spaces or quotes are quoted.
struct LogField {
  std::string_view key;
  std::string value;
};

// Severity of a log line.
enum class LogLevel { kInfo, kWarning, kError };

// Sends log lines to standard error in the form
// "time level event=<event> key=value ...". Call once, before the first line.
void InitLogging(std::string_view process_name);

// Limits of the lines that InitBoundedLogging() lets through.
struct LogLimits {
  // Lines a second over a longer time, and the most in a burst.
  double lines_per_second = 400;
  double burst_lines = 2000;
};

// As InitLogging(), to standard output. Never blocks: lines beyond the limits,
// or that the reader does not take, are dropped and counted in a later line.
void InitBoundedLogging(std::string_view process_name, LogLimits limits = {});

// Writes one line for a decision or a change of state.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_LOGGING_H_
