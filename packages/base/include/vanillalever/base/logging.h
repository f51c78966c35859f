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

// Writes one line for a change of state. Requests are counted, not logged.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_LOGGING_H_
