#pragma once

#include <cstdint>
#include <vector>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

// Work that arrives while a job waits and is dispatched before it.
struct OvertakingWork {
  int64_t cpu = 0;  // Processors that it takes, in millicores.
  Millis lead{0};   // How long after the job it may arrive.
};

// Capacity and backlog at the arrival of a job, and what the job asks for. Work
// is in core-milliseconds and covers this entry, the guards, and what other
// entries report.
struct AdmissionInput {
  int64_t delivered_cpu = 0;   // Cores that the workers deliver, in millicores.
  bool can_start_now = false;  // Its first tasks fit into the room free now.
  uint64_t work_ahead = 0;     // Waits and is dispatched before the job.
  std::vector<OvertakingWork> overtaking;
  uint64_t queue_work = 0;  // Waits in the queue of the job.
  uint64_t work_total = 0;  // Waits in all.
  uint64_t job_work = 0;    // Of the job itself, ahead of its last task.
  double guarantee = 0;     // See FairShares::GuaranteeOf.
  Millis critical_path{0};  // Estimated run time of its longest chain of steps.
  Millis objective{0};      // Time left until the job is late.
};

struct AdmissionVerdict {
  Reason refusal = Reason::kNone;
  Millis predicted_wait{0};
  Millis retry_after{0};  // Time until the work that waits now is done.
};

// Decides at the arrival of a job whether it can end within its objective. A
// job whose tasks find free room is never refused. Any other is expected to be
// on time if the work ahead of it and the work that overtakes it, or that of
// its own queue at the guaranteed share, is done within its slack. An immediate
// refusal leaves the caller time to try elsewhere, and a job that would end
// late anyway would only delay others that can be on time.
AdmissionVerdict JudgeAdmission(const AdmissionInput& input);

// Time until this work is done, zero without workers.
Millis TimeToDo(uint64_t work, int64_t cpu_millis);
// Delay after which a caller may return to a backlog of this work: whole
// seconds, within bounds.
Millis RetryAfterBacklog(uint64_t work, int64_t cpu_millis);

}  // namespace qs
