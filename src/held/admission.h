#pragma once

#include <cstdint>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

// Capacity and backlog at the arrival of a job, and what the job asks for.
struct AdmissionInput {
  int64_t serving_cpu = 0;  // Processors of all workers, in millicores.
  uint64_t work_ahead = 0;  // Waiting work that precedes the job, in core-ms.
  uint64_t work_total = 0;  // Waiting work of all jobs, in core-ms.
  uint64_t job_work = 0;    // Work of the job itself, in core-ms.
  Millis critical_path{0};  // Estimated run time of its longest chain of steps.
  Millis objective{0};      // Time left until the job is late.
  bool has_free_capacity = false;  // No work waits, so a task could start now.
};

struct AdmissionVerdict {
  Reason refusal = Reason::kNone;
  Millis predicted_wait{0};
  Millis retry_after{0};  // Time until the work that waits now is done.
};

// Decides at the arrival of a job whether it can end within its objective. An
// immediate refusal leaves the caller time to try elsewhere, and a job that
// would end late anyway would only delay others that can be on time.
AdmissionVerdict JudgeAdmission(const AdmissionInput& input);

}  // namespace qs
