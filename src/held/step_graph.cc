#include "quetzalspindle/step_graph.h"

namespace qs {
namespace {

Millis EstimateOf(const HeldStep& step) {
  return step.tasks > 0 ? step.estimate : Millis(0);
}

// Calls `handle` with each step that step `i` depends on. Only earlier steps
// can be depended on, so the graph has no cycles.
template <typename Handler>
void ForEachDependency(const std::vector<HeldStep>& steps, size_t i,
                       Handler handle) {
  for (const uint32_t earlier : steps[i].depends_on) {
    if (earlier < i) handle(earlier);
  }
}

}  // namespace

bool HasTasks(const HeldJob& job) {
  return AnyStepWithTasks(job, [](const HeldStep&) { return true; });
}

std::vector<bool> UnblockedSteps(const std::vector<HeldStep>& steps,
                                 const std::vector<uint32_t>& open_tasks) {
  std::vector<bool> is_unblocked(steps.size(), true);
  std::vector<bool> is_done(steps.size());
  for (size_t i = 0; i < steps.size(); ++i) {
    ForEachDependency(steps, i, [&](uint32_t earlier) {
      if (!is_done[earlier]) is_unblocked[i] = false;
    });
    is_done[i] = is_unblocked[i] && open_tasks[i] == 0;
  }
  return is_unblocked;
}

std::vector<const HeldStep*> FirstSteps(const HeldJob& job) {
  std::vector<uint32_t> open_tasks;
  open_tasks.reserve(job.steps.size());
  for (const HeldStep& step : job.steps) open_tasks.push_back(step.tasks);
  const std::vector<bool> is_unblocked = UnblockedSteps(job.steps, open_tasks);
  std::vector<const HeldStep*> first;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    if (is_unblocked[i] && open_tasks[i] > 0) first.push_back(&job.steps[i]);
  }
  return first;
}

Millis CriticalPathEstimate(const HeldJob& job) {
  std::vector<Millis> finish(job.steps.size());
  Millis longest{0};
  for (size_t i = 0; i < job.steps.size(); ++i) {
    Millis start{0};
    ForEachDependency(job.steps, i, [&](uint32_t earlier) {
      start = std::max(start, finish[earlier]);
    });
    finish[i] = start + EstimateOf(job.steps[i]);
    longest = std::max(longest, finish[i]);
  }
  return longest;
}

std::vector<Millis> EstimatesAfterSteps(const HeldJob& job) {
  std::vector<Millis> after(job.steps.size(), Millis(0));
  for (size_t i = job.steps.size(); i-- > 0;) {
    const Millis from_here = EstimateOf(job.steps[i]) + after[i];
    ForEachDependency(job.steps, i, [&](uint32_t earlier) {
      after[earlier] = std::max(after[earlier], from_here);
    });
  }
  return after;
}

}  // namespace qs
