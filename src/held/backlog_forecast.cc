#include "held/backlog_forecast.h"

#include <algorithm>
#include <numeric>

#include "quetzalspindle/step_graph.h"

namespace qs {
namespace {

uint64_t SumOf(const WorkByUrgency& work) {
  return std::accumulate(work.begin(), work.end(), uint64_t{0});
}

}  // namespace

const BacklogForecast::View& BacklogForecast::ViewOf(const std::string& service,
                                                     Instant now) const {
  View& view = views_[service];
  // Workers that have just connected count at once.
  const bool is_valid =
      view.delivered_cpu > 0 && now - view.at < options_.view_lifetime;
  if (is_valid) return view;
  view.at = now;
  view.delivered_cpu = workers_->DeliveredCpu(service, now);
  view.queued_work = workers_->QueuedWork(service, now);
  view.others = workers_->WaitingWorkOfOthers(now);
  view.used_cpu = 0;
  for (const auto& [guard, record] : workers_->records()) {
    const bool serves = record.is_connected && record.has_report &&
                        record.report.service == service;
    if (serves) view.used_cpu += record.report.used.cpu_millis;
  }
  return view;
}

AdmissionInput BacklogForecast::InputFor(const QueueDeclaration& queue,
                                         const HeldJob& job, Millis objective,
                                         Instant order_by, Instant now) const {
  AdmissionInput input;
  input.delivered_cpu = ViewOf(queue.service, now).delivered_cpu;
  input.critical_path = CriticalPathEstimate(job);
  input.objective = objective;
  input.work_ahead = WorkAhead(queue.service, order_by, now);
  input.overtaking = OvertakingOf(queue.service, Elapsed(now, order_by), now);
  input.work_total = WorkInAll(queue.service, now);
  input.queue_work = QueueWork(queue, now);
  input.guarantee = shares_->GuaranteeOf(queue.name);
  uint64_t last_task_work = 0;
  for (const HeldStep& step : job.steps) {
    input.job_work += StepWork(step);
    if (step.tasks > 0) last_task_work = TaskWork(step);
  }
  // The wait is that of the task that starts last.
  input.job_work -= std::min(input.job_work, last_task_work);
  input.can_start_now =
      input.work_total == 0 ||
      CanStartNow(queue.service, queue.name, job, objective, now);
  return input;
}

Millis BacklogForecast::WaitBehindAll(const std::string& service,
                                      Instant now) const {
  return TimeToDo(WorkAhead(service, Instant::max(), now),
                  ViewOf(service, now).delivered_cpu);
}

Millis BacklogForecast::RetryAfter(const std::string& service,
                                   Instant now) const {
  return RetryAfterBacklog(WorkInAll(service, now),
                           ViewOf(service, now).delivered_cpu);
}

bool BacklogForecast::MayQueueAtGuards(const std::string& service,
                                       size_t urgency_band, Instant now) const {
  if (urgency_band == 0) return true;
  const WorkByUrgency& others = ViewOf(service, now).others;
  return std::all_of(others.begin(),
                     others.begin() + static_cast<ptrdiff_t>(urgency_band),
                     [](uint64_t work) { return work == 0; });
}

bool BacklogForecast::MayServeLate(const std::string& service,
                                   Instant now) const {
  const View& view = ViewOf(service, now);
  return TimeToDo(SumOf(view.others), view.delivered_cpu) <=
         options_.others_backlog;
}

uint64_t BacklogForecast::WorkAhead(const std::string& service,
                                    Instant order_by, Instant now) const {
  const View& view = ViewOf(service, now);
  uint64_t sum = waiting_->WorkBefore(service, order_by) + view.queued_work;
  const size_t last = UrgencyBandOf(order_by, now);
  for (size_t band = 0; band <= last; ++band) sum += view.others[band];
  return sum;
}

uint64_t BacklogForecast::QueueWork(const QueueDeclaration& queue,
                                    Instant now) const {
  const uint64_t own = waiting_->QueueWork(queue.name);
  const uint64_t all = waiting_->OnTimeWork(queue.service);
  const View& view = ViewOf(queue.service, now);
  const uint64_t elsewhere = view.queued_work + SumOf(view.others);
  const double part =
      all == 0 ? 1 : static_cast<double>(own) / static_cast<double>(all);
  return own + static_cast<uint64_t>(static_cast<double>(elsewhere) * part);
}

std::vector<OvertakingWork> BacklogForecast::OvertakingOf(
    const std::string& service, Millis horizon, Instant now) const {
  const auto used = static_cast<double>(ViewOf(service, now).used_cpu);
  std::vector<OvertakingWork> work;
  for (const FairShares::Overtaking& queue :
       shares_->OvertakingOf(horizon, now)) {
    work.push_back({static_cast<int64_t>(used * queue.part), queue.lead});
  }
  return work;
}

uint64_t BacklogForecast::WorkInAll(const std::string& service,
                                    Instant now) const {
  return WorkAhead(service, Instant::max(), now) + waiting_->LateWork(service);
}

bool BacklogForecast::CanStartNow(const std::string& service,
                                  const std::string& queue, const HeldJob& job,
                                  Millis objective, Instant now) const {
  const std::vector<const HeldStep*> first = FirstSteps(job);
  return std::all_of(first.begin(), first.end(), [&](const HeldStep* step) {
    PlacementNeed need;
    need.service = service;
    need.queue = queue;
    need.estimate = step->estimate;
    need.remaining = objective;
    need.resources = step->task_resources;
    need.required_label = step->required_label;
    return workers_->HasRoomFor(need, step->tasks, now);
  });
}

}  // namespace qs
