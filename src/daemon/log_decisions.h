#pragma once

#include "held/decision_log.h"

namespace qs {

// Writes decisions to the process's log.
class LogDecisions final : public DecisionLog {
 private:
  void OnRecord(std::string_view event,
                std::initializer_list<Field> fields) override;
};

}  // namespace qs
