#include "base/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <mutex>
#include <sstream>

#include "base/line_budget.h"

namespace qs {
namespace {

// Sustained rate that a host's log collector accepts. On-call engineers read
// minutes of logged decisions after an incident.
constexpr uint32_t kLinesPerSecond = 400;
constexpr uint32_t kLinesInBurst = 1200;
// Warnings and errors have a separate budget, so that a flood of decisions does
// not crowd them out.
constexpr uint32_t kUrgentPerSecond = 50;
constexpr uint32_t kUrgentInBurst = 200;
// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kMaxLineBytes = 4000;

struct LineBudgets {
  std::mutex mutex;
  LineBudget decisions{kLinesPerSecond, kLinesInBurst};
  LineBudget urgent{kUrgentPerSecond, kUrgentInBurst};
};

LineBudgets& GetLineBudgets() {
  static LineBudgets budgets;
  return budgets;
}

// Whether standard output accepts a line now without blocking.
bool IsWritable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

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

// Quotes a value that is empty or is not a single word.
std::string Quoted(const std::string& value) {
  const bool is_word =
      !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (is_word) return value;
  std::string out;
  out.reserve(value.size() + 2);
  out.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c == '\n' || c == '\r' ? ' ' : c);
  }
  out.push_back('"');
  return out;
}

// Returns whether a line of this level may be written; if not, it counts as
// dropped. Sets `*dropped` to the number of lines dropped before it.
bool Admit(LogLevel level, uint64_t* dropped) {
  LineBudgets& budgets = GetLineBudgets();
  const std::lock_guard lock(budgets.mutex);
  LineBudget& budget =
      level >= LogLevel::kWarn ? budgets.urgent : budgets.decisions;
  if (!budget.Take(Clock::now())) return false;
  if (!IsWritable()) {
    budget.CountDropped();
    return false;
  }
  *dropped = budget.TakeDropped();
  return true;
}

}  // namespace

void InitLog(const std::string& level, const std::string& process) {
  static const log4cplus::Initializer initializer;
  std::istringstream properties(
      "log4cplus.rootLogger=" + level +
      ", out\n"
      "log4cplus.appender.out=log4cplus::ConsoleAppender\n"
      "log4cplus.appender.out.logToStdErr=false\n"
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
  uint64_t dropped = 0;
  if (!Admit(level, &dropped)) return;
  if (dropped > 0) {
    RootLogger().log(log4cplus::WARN_LOG_LEVEL,
                     "event=log_lines_dropped count=" + std::to_string(dropped),
                     __FILE__, __LINE__);
  }
  std::string line = "event=";
  line.append(event);
  for (const auto& [key, value] : fields) {
    line.push_back(' ');
    line.append(key);
    line.push_back('=');
    line.append(Quoted(value));
  }
  if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
  RootLogger().log(native, line, __FILE__, __LINE__);
}

}  // namespace qs
