#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace qs {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Configures logging to standard output. `process` identifies the process in
// every line.
void InitLog(const std::string& level, const std::string& process);

using LogField = std::pair<std::string_view, std::string>;

// Writes one line: time, level, process, event and the fields as key=value.
// Never blocks: a line is dropped if standard output is not writable or the
// rate limit is reached. The next line that is written is preceded by a warning
// with the number of lines dropped.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace qs
