#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace qs {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Sets up the process's log on standard output. `process` stands in every line.
void InitLog(const std::string& level, const std::string& process);

using LogField = std::pair<std::string_view, std::string>;

// Writes one line: time, level, process, event and the fields as key=value.
// Never waits for the reader: a line that the reader or the budget of lines has
// no room for is dropped, and the next line tells how many were.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace qs
