#pragma once

#include <cstddef>
#include <cstdint>

#include "core/memory_budget.h"
#include "quetzalspindle/held_job.h"
#include "quetzalspindle/reason.h"
#include "wire/messages.h"

namespace qs {

// Upper estimates of what a process holds, at its peak, for a job with all its
// tasks and runs, and for a run at its guard. They count what the allocator
// adds, and the copies of the payload that orders and calls take.
size_t BytesOfJob(const HeldJob& job);
size_t BytesOfRun(const RunOrder& order);

// The bytes of an order on its way to a guard.
size_t BytesOfOrder(const RunOrder& order);

struct JobBudgetLimits {
  // Tasks of a job, where a step without tasks counts as one. Bounds the time
  // that a job takes to be admitted or given up.
  uint32_t max_tasks = 0;
  size_t max_bytes = 0;  // Of all jobs of the process.
};

// Decides whether an entry has the memory to hold a job, before it is passed to
// the scheduler. No I/O, no threads.
class JobBudget {
 public:
  struct Admission {
    Reason refusal = Reason::kNone;
    // To be kept for as long as the job or a run of it; null if it is refused.
    MemoryBudget::Share share;
  };

  explicit JobBudget(const JobBudgetLimits& limits);

  Admission Admit(const HeldJob& job);
  size_t bytes() const { return budget_.bytes(); }

 private:
  JobBudgetLimits limits_;
  MemoryBudget budget_;
};

}  // namespace qs
