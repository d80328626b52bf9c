#pragma once

#include <map>
#include <string>

#include "held/decision_log.h"
#include "held/worker_table.h"

namespace qs {

// Collects the orders of one dispatch. One line for each job and dispatch keeps
// the log within its budget when jobs are wide.
class OrderLog {
 public:
  explicit OrderLog(DecisionLog* log) : log_(log) {}

  // `task` names the task within its job.
  void Add(const std::string& job, const std::string& task,
           const RunOrder& order, const WorkerRecord& record, Instant now);
  // Logs the orders since the last call.
  void Flush();

 private:
  DecisionLog* log_;
  std::map<std::string, std::string> orders_;  // By the id of their job.
};

}  // namespace qs
