#include "base/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <sstream>

namespace qs {
namespace {

log4cplus::Logger& RootLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// Quotes a value that holds more than one word.
std::string Quoted(const std::string& value) {
  const bool is_word =
      !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (is_word) return value;
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' || c == '\r' ? ' ' : c;
  }
  return out + "\"";
}

}  // namespace

void InitLog(const std::string& level, const std::string& process) {
  static const log4cplus::Initializer initializer;
  std::istringstream properties(
      "log4cplus.rootLogger=" + level +
      ", out\n"
      "log4cplus.appender.out=log4cplus::ConsoleAppender\n"
      "log4cplus.appender.out.logToStdErr=true\n"
      "log4cplus.appender.out.ImmediateFlush=true\n"
      "log4cplus.appender.out.layout=log4cplus::PatternLayout\n"
      "log4cplus.appender.out.layout.ConversionPattern="
      "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" +
      process + " %m%n\n");
  log4cplus::PropertyConfigurator(properties).configure();
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  const log4cplus::LogLevel native = ToLog4cplus(level);
  if (!RootLogger().isEnabledFor(native)) return;
  std::string line = "event=" + std::string(event);
  for (const auto& [key, value] : fields) {
    line += " " + std::string(key) + "=" + Quoted(value);
  }
  RootLogger().log(native, line, __FILE__, __LINE__);
}

}  // namespace qs
