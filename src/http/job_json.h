#pragma once

#include <string>

#include "http/http_server.h"
#include "quetzalspindle/findings.h"
#include "quetzalspindle/job.h"
#include "quetzalspindle/result.h"

namespace qs {

// Parses the job in a request body. On failure, returns a finding for every
// fault, each with its JSON pointer.
Checked<JobSpec> ParseJob(const std::string& body);

// Encodes the answer as an HTTP response. A refusal becomes an RFC 9457 problem
// document.
HttpResponse AnswerResponse(const std::string& id, const JobAnswer& answer);

// Returns an RFC 9457 problem document with the reason code, and the findings
// if there are any.
HttpResponse ProblemResponse(Reason reason, const Findings& findings = {},
                             Millis retry_after = Millis(0));

}  // namespace qs
