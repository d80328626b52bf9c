#include "held/job_budget.h"

#include <algorithm>
#include <string>

namespace qs {
namespace {

// Of the tables that know a job, and of each of its steps and tasks there. A
// task waits in three ordered tables, or has a run, an order and its frame.
constexpr size_t kJobBytes = 2048;
constexpr size_t kStepBytes = 256;
constexpr size_t kTaskBytes = 1024;
// A run at a guard, in the supervisor and in a call to the worker.
constexpr size_t kRunBytes = 2048;
// The payload of a run at a guard: in the order, in a call and in its encoding.
constexpr size_t kPayloadsOfRun = 3;
constexpr size_t kOrderBytes = 160;  // Its numbers in a frame.
// One ordinary job takes this part of the budget at most.
constexpr size_t kOrdinaryJobs = 64;
constexpr uint32_t kOrdinaryPercent = 50;

MemoryBudgetLimits LimitsOf(const JobBudgetLimits& limits) {
  return {limits.max_bytes, limits.max_bytes / kOrdinaryJobs, kOrdinaryPercent};
}

size_t BytesOfNames(const RunOrder& order) {
  return order.task.size() + order.service.size() + order.queue.size();
}

}  // namespace

size_t BytesOfJob(const HeldJob& job) {
  size_t bytes = kJobBytes + job.payload.size() + job.queue.size();
  for (const HeldStep& step : job.steps) {
    bytes += kStepBytes + step.required_label.size() +
             step.preferred_rack.size() +
             step.depends_on.size() * sizeof(uint32_t);
    bytes += step.tasks * (kTaskBytes + job.payload.size());
  }
  return bytes;
}

size_t BytesOfRun(const RunOrder& order) {
  return kRunBytes + BytesOfNames(order) +
         order.payload.size() * kPayloadsOfRun;
}

size_t BytesOfOrder(const RunOrder& order) {
  return kOrderBytes + BytesOfNames(order) + order.payload.size();
}

JobBudget::JobBudget(const JobBudgetLimits& limits)
    : limits_(limits), budget_(LimitsOf(limits)) {}

JobBudget::Admission JobBudget::Admit(const HeldJob& job) {
  size_t tasks = 0;
  // A step without tasks costs as much time as one with a single task.
  for (const HeldStep& step : job.steps) {
    tasks += std::max<uint32_t>(step.tasks, 1);
  }
  if (tasks > limits_.max_tasks) return {Reason::kTooManyTasks, nullptr};
  const size_t bytes = BytesOfJob(job);
  switch (budget_.Judge(bytes)) {
    case MemoryBudget::Verdict::kNeverFits:
      return {Reason::kJobTooLarge, nullptr};
    case MemoryBudget::Verdict::kFull:
      return {Reason::kEntryOverloaded, nullptr};
    case MemoryBudget::Verdict::kFits:
      break;
  }
  return {Reason::kNone, budget_.Take(bytes)};
}

}  // namespace qs
