#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "quetzalspindle/held_job.h"
#include "quetzalspindle/time.h"

// The order of the steps of a job, and the time that they take.
//
// An empty step, one without tasks, orders other steps and does nothing else:
// it is done as soon as the steps that it depends on are done, takes no time
// and needs no worker, whatever its other fields state. A job without tasks is
// complete when it is submitted.

namespace qs {

bool HasTasks(const HeldJob& job);

// Whether `predicate` holds for some step that has tasks. Only these say which
// workers a job needs.
template <typename Predicate>
bool AnyStepWithTasks(const HeldJob& job, Predicate predicate) {
  return std::any_of(
      job.steps.begin(), job.steps.end(),
      [&](const HeldStep& step) { return step.tasks > 0 && predicate(step); });
}

// Returns, for each step, whether all steps that it depends on are done.
// `open_tasks` holds, for each step, the number of its tasks that are not done.
std::vector<bool> UnblockedSteps(const std::vector<HeldStep>& steps,
                                 const std::vector<uint32_t>& open_tasks);

// The steps with tasks that may start before any task is done. They are those
// of `job`, which must outlive the result.
std::vector<const HeldStep*> FirstSteps(const HeldJob& job);

// Estimated run time of the critical path: the chain of steps, each of which
// depends on the one before, that takes longest.
Millis CriticalPathEstimate(const HeldJob& job);

// Estimated run time, for each step, of the longest chain of steps that starts
// after it.
std::vector<Millis> EstimatesAfterSteps(const HeldJob& job);

}  // namespace qs
