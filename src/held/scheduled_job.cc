#include "held/scheduled_job.h"

#include <utility>

namespace qs {

void ScheduledJob::CreateTasks() {
  size_t count = 0;
  for (const HeldStep& step : spec.steps) count += step.tasks;
  tasks.reserve(count);
  open_tasks_in_step.reserve(spec.steps.size());
  for (uint32_t step = 0; step < spec.steps.size(); ++step) {
    open_tasks_in_step.push_back(spec.steps[step].tasks);
    for (uint32_t index = 0; index < spec.steps[step].tasks; ++index) {
      ScheduledTask task;
      task.step = step;
      task.index = index;
      tasks.push_back(std::move(task));
    }
  }
  open_tasks = tasks.size();
}

WaitingTerms ScheduledJob::TermsOf(const ScheduledTask& task) const {
  const Instant latest_start = LatestStartOf(task);
  WaitingTerms terms;
  terms.queue = spec.queue;
  terms.service = service;
  terms.work = TaskWork(spec.steps[task.step]);
  terms.at_risk_from = arrived_at + (latest_start - arrived_at) / 2;
  terms.order_by = latest_start + (HasStarted() ? Millis(0) : priority_delay);
  terms.latest_start = HasStarted() ? Instant::max() : latest_start;
  return terms;
}

size_t ScheduledJob::UrgencyBandOf(const ScheduledTask& task,
                                   Instant now) const {
  return GivesWay() ? kUrgencyBands - 1
                    : qs::UrgencyBandOf(TermsOf(task).order_by, now);
}

}  // namespace qs
