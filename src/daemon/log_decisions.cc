#include "daemon/log_decisions.h"

#include "base/log.h"

namespace qs {

void LogDecisions::OnRecord(std::string_view event,
                            std::initializer_list<Field> fields) {
  Log(LogLevel::kInfo, event, fields);
}

}  // namespace qs
