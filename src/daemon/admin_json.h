#pragma once

#include <string>
#include <vector>

#include "core/executor.h"
#include "core/home.h"
#include "metrics/metrics.h"

namespace qs {

// The documents with which processes reply to operators' queries. Each is a
// JSON array of flat objects.

std::string JobsDocument(const std::vector<JobRow>& rows, const Address& home,
                         Incarnation incarnation);
std::string TasksDocument(const std::vector<TaskRow>& rows);
std::string BackendDocument(const Executor& executor, const Address& guard,
                            const std::string& zone, Instant now);
std::string ReasonsDocument(const std::vector<Metrics::ReasonCount>& counts,
                            const Address& process);

}  // namespace qs
