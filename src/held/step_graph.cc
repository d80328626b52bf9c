#include "quetzalspindle/step_graph.h"

namespace qs {
namespace {

Millis EstimateOf(const HeldStep& step) {
  return step.tasks > 0 ? step.estimate : Millis(0);
}

}  // namespace

bool HasTasks(const HeldJob& job) {
  return AnyStepWithTasks(job, [](const HeldStep&) { return true; });
}

std::vector<bool> UnblockedSteps(const std::vector<HeldStep>& steps,
                                 const std::vector<uint32_t>& open_tasks) {
  std::vector<bool> is_unblocked;
  std::vector<bool> is_done;
  is_unblocked.reserve(steps.size());
  is_done.reserve(steps.size());
  for (size_t i = 0; i < steps.size(); ++i) {
    const std::vector<uint32_t>& depends_on = steps[i].depends_on;
    is_unblocked.push_back(std::all_of(
        depends_on.begin(), depends_on.end(),
        [&](uint32_t earlier) { return earlier >= i || is_done[earlier]; }));
    is_done.push_back(is_unblocked[i] && open_tasks[i] == 0);
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
  std::vector<Millis> finish;
  finish.reserve(job.steps.size());
  Millis longest{0};
  for (const HeldStep& step : job.steps) {
    Millis start{0};
    for (const uint32_t earlier : step.depends_on) {
      if (earlier < finish.size()) start = std::max(start, finish[earlier]);
    }
    finish.push_back(start + EstimateOf(step));
    longest = std::max(longest, finish.back());
  }
  return longest;
}

std::vector<Millis> EstimatesAfterSteps(const HeldJob& job) {
  std::vector<Millis> after(job.steps.size(), Millis(0));
  for (size_t i = job.steps.size(); i-- > 0;) {
    for (const uint32_t earlier : job.steps[i].depends_on) {
      if (earlier >= i) continue;
      after[earlier] =
          std::max(after[earlier], EstimateOf(job.steps[i]) + after[i]);
    }
  }
  return after;
}

}  // namespace qs
