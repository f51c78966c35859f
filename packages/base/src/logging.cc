#include "vanillalever/base/logging.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include "bounded_appender.h"

namespace vanillalever::base {
namespace {

log4cplus::Logger& RootLogger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

// Quotes a value if needed. Control characters are replaced by spaces, because
// a line break in a value would start a second log line.
std::string Quote(const std::string& value) {
  bool plain = !value.empty() &&
               value.find_first_of(" \"\\=\n\r\t") == std::string::npos;
  if (plain)
    return value;
  std::string text = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\')
      text += '\\';
    text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return text + "\"";
}

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

void InstallAppender(log4cplus::SharedAppenderPtr appender,
                     std::string_view process_name) {
  log4cplus::Logger& logger = RootLogger();
  logger.removeAllAppenders();
  std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=";
  pattern += process_name;
  pattern += " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger.addAppender(appender);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

}  // namespace

void InitLogging(std::string_view process_name) {
  InstallAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
                      /*logToStdErr=*/true, /*immediateFlush=*/true)),
                  process_name);
}

void InitBoundedLogging(std::string_view process_name, LogLimits limits) {
  InstallAppender(
      log4cplus::SharedAppenderPtr(new BoundedAppender(STDOUT_FILENO, limits)),
      process_name);
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line += event;
  for (const LogField& field : fields) {
    line += " ";
    line += field.key;
    line += "=" + Quote(field.value);
  }
  RootLogger().log(ToLog4cplusLevel(level), line);
}

}  // namespace vanillalever::base
