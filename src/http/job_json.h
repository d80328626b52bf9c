#pragma once

#include <string>

#include "http/http_server.h"
#include "quetzalspindle/findings.h"
#include "quetzalspindle/job.h"
#include "quetzalspindle/result.h"

namespace qs {

// The job in a request body. Fails with every fault, each with its JSON
// pointer.
Checked<JobSpec> ParseJob(const std::string& body);

// The response for an answer. A refusal becomes an RFC 9457 problem document.
HttpResponse AnswerResponse(const std::string& id, const JobAnswer& answer);

// An RFC 9457 problem document with our reason code, and the findings if any.
HttpResponse ProblemResponse(Reason reason, const Findings& findings = {},
                             Millis retry_after = Millis(0));

}  // namespace qs
