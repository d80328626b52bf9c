#pragma once

#include <cstdint>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

// What is known of the work before a job, when it arrives.
struct AdmissionInput {
  int64_t serving_cpu = 0;   // Thousandths of a core, all workers.
  uint64_t work_ahead = 0;   // Core-milliseconds that go first.
  uint64_t work_in_all = 0;  // Core-milliseconds that wait anywhere.
  uint64_t job_work = 0;     // Core-milliseconds of the job itself.
  Millis chain{0};           // Estimate of its longest chain of steps.
  Millis objective{0};       // From arrival; later it is late.
  bool has_room = false;     // A worker could start a task now.
};

struct AdmissionVerdict {
  Reason refusal = Reason::kNone;
  Millis predicted_wait{0};
  Millis retry_after{0};  // When the work that waits now will have drained.
};

// Decides at its arrival whether a job can still end in time. A refusal at once
// leaves the caller time to go elsewhere; a job that would end late anyway only
// delays those that would not.
AdmissionVerdict JudgeAdmission(const AdmissionInput& input);

}  // namespace qs
