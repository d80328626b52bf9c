#include "held/job_scheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "held/decision_log.h"
#include "held/held_task_name.h"
#include "held/job_budget.h"
#include "quetzalspindle/step_graph.h"

namespace qs {
namespace {

// A dispatch round ends after this many waiting tasks that found no worker.
constexpr size_t kMaxFailedPlacements = 6;
// So many tasks are sent in one dispatch round. Other events, which renew
// leases, are handled between two rounds.
constexpr size_t kMaxOrdersPerRound = 256;
// A job is assumed to take up to this multiple of its estimated run time,
// including its wait for workers.
constexpr int kEstimateFactor = 2;
constexpr Millis kRestartRetry{1000};  // About the time until a peer is ready.
// How long an evacuation will last is not known.
constexpr Millis kEvacuationRetry{2000};

// A part of the job may have run at another entry, so this does not say that
// nothing ran. It is final: a refusal would be tried again.
constexpr HeldAnswer kCancelledAnswer{HeldState::kFailed, Reason::kCancelled,
                                      Millis(0)};

Millis TimeUntil(Instant now, Instant then) {
  return std::max(Elapsed(now, then), Millis(0));
}

std::string NameOf(Reason reason) { return std::string(ReasonName(reason)); }

// A job is on time if it ends within this time from its arrival.
Millis ObjectiveOf(const QueueDeclaration& queue, Millis critical_path) {
  return std::chrono::duration_cast<Millis>(critical_path *
                                            queue.slack_factor) +
         queue.latency_target;
}

JobState ToJobState(HeldState state) {
  switch (state) {
    case HeldState::kComplete:
      return JobState::kComplete;
    case HeldState::kFailed:
      return JobState::kFailed;
    case HeldState::kRefused:
      break;
  }
  return JobState::kRefused;
}

}  // namespace

JobScheduler::JobScheduler(const JobSchedulerOptions& options,
                           Observer* observer, DecisionLog* log, uint32_t seed,
                           Instant now)
    : options_(options),
      observer_(observer),
      log_(log),
      order_log_(log),
      started_at_(now),
      workers_(options.workers, seed),
      interference_(options.interference),
      crashes_(options.crashes),
      cancels_(options.cancels),
      forecast_(options.forecast, &workers_, &waiting_, &shares_) {
  workers_.SetInterference(&interference_);
}

// Jobs from callers.

void JobScheduler::SetCatalog(std::shared_ptr<const Catalog> catalog,
                              Instant now) {
  catalog_ = std::move(catalog);
  const size_t rejected = shares_.SetWeights(*catalog_);
  if (rejected > 0) {
    observer_->WeightsRejected(rejected);
    log_->Record("weights_rejected",
                 {{"queues", Text(rejected)},
                  {"config_version", Text(catalog_->version)}});
  }
  // Waiting tasks follow the new declaration; running tasks are not affected.
  std::vector<uint64_t> removed;
  for (auto& [number, job] : jobs_) {
    const QueueDeclaration* queue = catalog_->Find(job.spec.queue);
    if (queue == nullptr) {
      removed.push_back(number);
      continue;
    }
    job.service = queue->service;
    job.max_attempts = queue->max_attempts;
  }
  for (const uint64_t number : removed) {
    Job& job = jobs_.at(number);
    if (!job.may_have_run && job.open_runs == 0) {
      GiveUp(&job, Reason::kNoSuchQueue, now);
    }
  }
}

void JobScheduler::OnEvacuations(const Evacuations& evacuations, Instant now) {
  const bool was_known = workers_.evacuations().is_known();
  const bool has_changed = workers_.OnEvacuations(evacuations);
  is_dispatch_due_ = is_dispatch_due_ || has_changed ||
                     was_known != workers_.evacuations().is_known();
  if (!has_changed) return;
  log_->Record("zones_evacuated",
               {{"revision", Text(evacuations.revision())},
                {"zones", evacuations.ToText()},
                {"waiting", Text(waiting_.size() + suspects_.size())},
                {"open_runs", Text(runs_.size())}});
  // Guards refuse what other entries order that have not heard of it.
  for (const auto& [guard, record] : workers_.records()) {
    if (record.is_connected) OutgoingTo(guard);
  }
  RefuseEvacuated(now);
}

bool JobScheduler::IsInEvacuatedZonesOnly(const std::string& service,
                                          const HeldJob& job) const {
  if (!knows_all_workers_ || workers_.evacuations().zones().empty()) {
    return false;
  }
  return AnyStepWithTasks(job, [&](const HeldStep& step) {
    return workers_.CouldRunInEvacuatedZonesOnly(NeedOf(service, step));
  });
}

void JobScheduler::RefuseEvacuated(Instant now) {
  std::vector<uint64_t> refused;
  for (const auto& [number, job] : jobs_) {
    if (!job.may_have_run && job.open_runs == 0 &&
        IsInEvacuatedZonesOnly(job.service, job.spec)) {
      refused.push_back(number);
    }
  }
  for (const uint64_t number : refused) {
    FinishJob(&jobs_.at(number),
              {HeldState::kRefused, Reason::kZonesEvacuated, kEvacuationRetry},
              now);
  }
}

void JobScheduler::OnJob(uint64_t caller, HeldJob job, Instant received,
                         Instant now, MemoryBudget::Share memory) {
  if (cancels_.Contains(job.id)) {
    AnswerCaller(caller, job.id, kCancelledAnswer);
    return;
  }
  if (IsAfterPause(now)) received = std::min(received, HandledUntil(now));
  const auto same = job_by_id_.find(job.id);
  if (same != job_by_id_.end()) {
    // The caller of a held job lost its connection and sent the job again.
    Job& held = jobs_.at(same->second);
    held.callers.push_back(caller);
    job_by_caller_[caller] = held.number;
    log_->Record(
        "job_joined",
        {{"job", job.id}, {"age_ms", Text(Elapsed(held.arrived_at, now))}});
    return;
  }
  const QueueDeclaration* queue =
      catalog_ == nullptr ? nullptr : catalog_->Find(job.queue);
  if (queue == nullptr) {
    const Reason reason =
        catalog_ == nullptr ? Reason::kNoConfiguration : Reason::kNoSuchQueue;
    AnswerCaller(caller, job.id, {HeldState::kRefused, reason, Millis(0)});
    return;
  }
  if (!HasTasks(job)) return CompleteAtOnce(caller, *queue, job, received, now);
  if (RefuseConvicted(caller, job, now)) return;
  const AdmissionVerdict verdict = CheckAdmission(*queue, job, received, now);
  const Reason refusal = verdict.refusal;
  if (refusal == Reason::kNoGuardAvailable) {
    PlacementNeed need;
    need.service = queue->service;
    if (workers_.LacksOffer(need)) wants_more_workers_ = true;
  }
  if (refusal == Reason::kConstraintUnmet) {
    AnswerCaller(caller, job.id, {HeldState::kFailed, refusal, Millis(0)});
  } else if (refusal != Reason::kNone) {
    AnswerCaller(caller, job.id,
                 {HeldState::kRefused, refusal, verdict.retry_after});
  } else {
    Admit(caller, *queue, std::move(job), received, now, std::move(memory));
    Dispatch(now);
  }
}

uint64_t JobScheduler::OnCancel(const std::string& id, CancelOrigin origin,
                                Instant now) {
  const uint64_t number = cancels_.Add(id, origin, now);
  const auto held = job_by_id_.find(id);
  if (held == job_by_id_.end()) return number;
  cancels_.MarkHeld(id);
  Job& job = jobs_.at(held->second);
  log_->Record("job_cancelled",
               {{"job", id},
                {"from", origin == CancelOrigin::kCaller ? "caller" : "entry"},
                {"age_ms", Text(Elapsed(job.arrived_at, now))},
                {"open_tasks", Text(job.open_tasks)},
                {"open_runs", Text(job.open_runs)},
                {"ran", job.may_have_run ? "yes" : "no"}});
  FinishJob(&job, kCancelledAnswer, now);
  return number;
}

bool JobScheduler::RefuseConvicted(uint64_t caller, const HeldJob& job,
                                   Instant now) {
  if (crashes_.is_empty()) return false;
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t index = 0; index < job.steps[step].tasks; ++index) {
      const std::string task = TaskName(job.id, step, index);
      if (crashes_.Judge(task, now) != CrashVerdict::kConvicted) continue;
      log_->Record("job_not_admitted",
                   {{"job", job.id},
                    {"reason", NameOf(Reason::kCrashesWorkers)},
                    {"task", task},
                    {"crashes", crashes_.CrashesUnder(task, now)}});
      AnswerCaller(caller, job.id,
                   {HeldState::kFailed, Reason::kCrashesWorkers, Millis(0)});
      return true;
    }
  }
  return false;
}

AdmissionVerdict JobScheduler::CheckAdmission(const QueueDeclaration& queue,
                                              const HeldJob& job,
                                              Instant received,
                                              Instant now) const {
  const auto refuse = [](Reason reason, Millis retry_after) {
    AdmissionVerdict verdict;
    verdict.refusal = reason;
    verdict.retry_after = retry_after;
    return verdict;
  };
  const Millis critical_path = CriticalPathEstimate(job);
  if (is_stopping_ && now + kEstimateFactor * critical_path > finish_by_) {
    return refuse(Reason::kStopping, kRestartRetry);
  }
  if (jobs_.size() >= options_.max_jobs) {
    return refuse(Reason::kEntryOverloaded, kRestartRetry);
  }
  if (IsImpossible(queue.service, job, now)) {
    return refuse(Reason::kConstraintUnmet, Millis(0));
  }
  if (IsInEvacuatedZonesOnly(queue.service, job)) {
    return refuse(Reason::kZonesEvacuated, kEvacuationRetry);
  }
  // After a power loss of the whole fleet, guards reconnect shortly after the
  // entry starts.
  const bool is_warming_up = now - started_at_ < options_.warm_up;
  const bool knows_evacuations = workers_.evacuations().is_known();
  if (is_warming_up &&
      (!knows_evacuations || !workers_.KnowsService(queue.service))) {
    return {};
  }
  if (!knows_evacuations) {
    return refuse(Reason::kNoConfiguration, kRestartRetry);
  }
  const Millis objective =
      TimeUntil(now, received + ObjectiveOf(queue, critical_path));
  const Instant order_by = now + objective - critical_path +
                           options_.priority_delay * queue.priority;
  const AdmissionInput input =
      forecast_.InputFor(queue, job, objective, order_by, now);
  const AdmissionVerdict verdict = JudgeAdmission(input);
  if (verdict.refusal != Reason::kNone) {
    log_->Record("job_not_admitted",
                 {{"job", job.id},
                  {"queue", queue.name},
                  {"reason", NameOf(verdict.refusal)},
                  {"predicted_wait_ms", Text(verdict.predicted_wait)},
                  {"objective_ms", Text(input.objective)},
                  {"chain_ms", Text(critical_path)},
                  {"work_ahead", Text(input.work_ahead)},
                  {"work_in_all", Text(input.work_total)},
                  {"serving_cpu", std::to_string(input.delivered_cpu)},
                  {"config_version", Text(catalog_->version)}});
  }
  return verdict;
}

bool JobScheduler::IsImpossible(const std::string& service, const HeldJob& job,
                                Instant now) const {
  if (now - started_at_ < options_.warm_up || !knows_all_workers_) return false;
  return workers_.KnowsService(service) && !CouldRunEveryStep(service, job);
}

bool JobScheduler::CouldRunEveryStep(const std::string& service,
                                     const HeldJob& job) const {
  return !AnyStepWithTasks(job, [&](const HeldStep& step) {
    return !workers_.CouldEverRun(NeedOf(service, step));
  });
}

void JobScheduler::SetHasSeenAllWorkers(bool has_seen, Instant now) {
  const bool is_change = has_seen && !knows_all_workers_;
  knows_all_workers_ = has_seen;
  if (!is_change) return;
  RefuseEvacuated(now);
  std::vector<uint64_t> impossible;
  for (const auto& [number, job] : jobs_) {
    if (!job.may_have_run && job.open_runs == 0 &&
        IsImpossible(job.service, job.spec, now)) {
      impossible.push_back(number);
    }
  }
  for (const uint64_t number : impossible) {
    FinishJob(&jobs_.at(number),
              {HeldState::kFailed, Reason::kConstraintUnmet, Millis(0)}, now);
  }
}

bool JobScheduler::HasRunsAt(Incarnation guard) const {
  const auto found = workers_.records().find(guard);
  return found != workers_.records().end() && !found->second.open_runs.empty();
}

void JobScheduler::Admit(uint64_t caller, const QueueDeclaration& queue,
                         HeldJob spec, Instant received, Instant now,
                         MemoryBudget::Share memory) {
  const uint64_t number = next_job_++;
  Job& job = jobs_[number];
  job.number = number;
  job.memory = std::move(memory);
  job.callers.push_back(caller);
  job.service = queue.service;
  job.max_attempts = std::max<uint32_t>(queue.max_attempts, 1);
  job.priority_delay = options_.priority_delay * queue.priority;
  job.arrived_at = received;
  job.critical_path = CriticalPathEstimate(spec);
  job.slack_factor = queue.slack_factor;
  job.after_step = EstimatesAfterSteps(spec);
  const Millis objective = ObjectiveOf(queue, job.critical_path);
  job.on_time_by = received + objective;
  job.caller_deadline = received + spec.caller_timeout;
  job.useful_by = received + std::min(objective * options_.useful_objectives,
                                      spec.caller_timeout);
  job.spec = std::move(spec);
  job.CreateTasks();
  job.check_at = job.Expiry();
  job_checks_.emplace(job.check_at, number);
  job_by_id_[job.spec.id] = number;
  job_by_caller_[caller] = number;
  job.awaits_earlier_runs = leftover_runs_.contains(job.spec.id);
  const HeldStep& first_step = job.spec.steps[job.tasks.front().step];
  log_->Record("job_admitted", {{"job", job.spec.id},
                                {"queue", queue.name},
                                {"tasks", Text(job.tasks.size())},
                                {"rack", first_step.preferred_rack},
                                {"objective_ms", Text(objective)},
                                {"config_version", Text(catalog_->version)}});
  if (!job.awaits_earlier_runs) UnblockSteps(&job, now);
}

void JobScheduler::CompleteAtOnce(uint64_t caller,
                                  const QueueDeclaration& queue,
                                  const HeldJob& job, Instant received,
                                  Instant now) {
  observer_->JobEnded(JobState::kComplete, Elapsed(received, now));
  RecordComplete(job.id, received, received + ObjectiveOf(queue, Millis(0)),
                 now);
  AnswerCaller(caller, job.id,
               {HeldState::kComplete, Reason::kNone, Millis(0)});
}

void JobScheduler::RecordComplete(const std::string& id, Instant arrived_at,
                                  Instant on_time_by, Instant now) {
  log_->Record("job_complete", {{"job", id},
                                {"age_ms", Text(Elapsed(arrived_at, now))},
                                {"late", now > on_time_by ? "yes" : "no"}});
}

void JobScheduler::AnswerCaller(uint64_t caller, const std::string& id,
                                HeldAnswer answer) {
  if (answer.state == HeldState::kRefused) observer_->Refused(answer.reason);
  if (answer.state != HeldState::kComplete) {
    log_->Record(
        "job_answered",
        {{"job", id},
         {"state", std::string(JobStateName(ToJobState(answer.state)))},
         {"reason", NameOf(answer.reason)},
         {"retry_after_ms", Text(answer.retry_after)}});
  }
  actions_.emplace_back(SendHeldAnswer{caller, answer});
}

void JobScheduler::OnCallerLeft(uint64_t caller, Instant now) {
  const auto found = job_by_caller_.find(caller);
  if (found == job_by_caller_.end()) return;
  Job& job = jobs_.at(found->second);
  job_by_caller_.erase(found);
  std::erase(job.callers, caller);
  if (!job.callers.empty()) return;
  log_->Record("caller_left", {{"job", job.spec.id},
                               {"age_ms", Text(Elapsed(job.arrived_at, now))},
                               {"open_runs", Text(job.open_runs)}});
  GiveUp(&job, Reason::kCallerLeft, now);
}

// Tasks and runs.

void JobScheduler::UnblockSteps(Job* job, Instant now) {
  const std::vector<bool> is_unblocked =
      UnblockedSteps(job->spec.steps, job->open_tasks_in_step);
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    const Task& task = job->tasks[i];
    if (task.phase == TaskPhase::kBlocked && is_unblocked[task.step]) {
      Enqueue(job, i, now);
    }
  }
}

CrashVerdict JobScheduler::VerdictOn(const Job& job, const Task& task,
                                     Instant now) const {
  if (crashes_.is_empty()) return CrashVerdict::kSound;
  return crashes_.Judge(TaskName(job.spec.id, task.step, task.index), now);
}

void JobScheduler::Enqueue(Job* job, uint32_t index, Instant now) {
  Task& task = job->tasks[index];
  const CrashVerdict verdict = VerdictOn(*job, task, now);
  if (verdict == CrashVerdict::kOnHold) {
    const std::string name = TaskName(job->spec.id, task.step, task.index);
    task.phase = TaskPhase::kOnHold;
    on_hold_.emplace(job->number, index);
    log_->Record("task_on_hold",
                 {{"task", name},
                  {"attempt", Text(task.attempt)},
                  {"crashes", crashes_.CrashesUnder(name, now)}});
    return;
  }
  task.phase = TaskPhase::kWaiting;
  const TaskId id{job->number, index};
  if (verdict == CrashVerdict::kSound) {
    waiting_.Add(id, job->TermsOf(task), now);
  } else {
    suspects_.emplace(job->LatestStartOf(task), id);
  }
}

void JobScheduler::Dequeue(Job* job, uint32_t index) {
  const TaskId id{job->number, index};
  if (!waiting_.Remove(id)) {
    suspects_.erase({job->LatestStartOf(job->tasks[index]), id});
  }
}

void JobScheduler::RefreshTerms(const Job& job, Instant now) {
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase != TaskPhase::kWaiting) continue;
    waiting_.Update({job.number, i}, job.TermsOf(job.tasks[i]), now);
  }
}

void JobScheduler::GiveWay(Instant now) {
  const std::vector<TaskId> late = waiting_.MarkLate(now);
  for (const TaskId& id : late) {
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end()) continue;
    Job& job = found->second;
    if (job.gives_way) continue;
    job.gives_way = true;
    observer_->JobGaveWay();
    log_->Record("job_gives_way",
                 {{"job", job.spec.id},
                  {"age_ms", Text(Elapsed(job.arrived_at, now))},
                  {"tasks", Text(job.open_tasks)}});
    const Millis wait = forecast_.WaitBehindAll(job.service, now);
    if (now + wait + job.critical_path > job.useful_by) {
      GiveUp(&job, Reason::kWaitedTooLong, now);
    }
  }
}

PlacementNeed JobScheduler::NeedOf(const std::string& service,
                                   const HeldStep& step) {
  PlacementNeed need;
  need.service = service;
  need.resources = step.task_resources;
  need.required_label = step.required_label;
  return need;
}

PlacementNeed JobScheduler::NeedOf(const Job& job, const Task& task,
                                   Instant now) const {
  const HeldStep& step = job.spec.steps[task.step];
  const Millis after = job.after_step[task.step];
  PlacementNeed need;
  need.service = job.service;
  need.resources = step.task_resources;
  need.estimate = step.estimate;
  need.queue = job.spec.queue;
  need.width = step.tasks;
  need.slack_factor = job.slack_factor;
  need.remaining = Elapsed(now, job.on_time_by) - after;
  need.useful = Elapsed(now, job.useful_by) - after;
  need.waited = Elapsed(job.arrived_at, now);
  need.required_label = step.required_label;
  need.preferred_rack = step.preferred_rack;
  need.avoid = task.avoid;
  return need;
}

Instant JobScheduler::HandledUntil(Instant now) const {
  return handled_until_.value_or(now);
}

bool JobScheduler::IsAfterPause(Instant now) const {
  return now - HandledUntil(now) > options_.longest_pause;
}

void JobScheduler::Dispatch(Instant now) {
  is_dispatch_due_ = false;
  if (IsAfterPause(now) || !workers_.evacuations().is_known()) return;
  GiveWay(now);
  SkippedTasks skipped;
  size_t sent = 0;
  while (skipped.tasks.size() < kMaxFailedPlacements) {
    if (sent == kMaxOrdersPerRound) {
      is_dispatch_due_ = true;
      break;
    }
    const std::optional<TaskId> next = waiting_.Next(shares_, skipped, now);
    if (!next) break;
    Job& job = jobs_.at(next->job);
    if (DispatchTask(&job, next->task, false, now)) {
      ++sent;
      continue;
    }
    const bool is_held =
        !job.GivesWay() && workers_.last_choice() == PlacementChoice::kHeld;
    if (is_held) {
      // Tasks that wait for faster workers leave the slower ones to other
      // queues.
      skipped.queues.insert(job.spec.queue);
    } else {
      skipped.tasks.push_back(*next);
    }
  }
  DispatchSuspects(now);
  order_log_.Flush();
}

void JobScheduler::DispatchSuspects(Instant now) {
  if (suspects_.empty()) return;
  const size_t max_runs_alone = MaxRunsAlone();
  size_t failed_placements = 0;
  for (auto item = suspects_.begin();
       item != suspects_.end() && failed_placements < kMaxFailedPlacements &&
       runs_alone_ < max_runs_alone;) {
    const TaskId next = (item++)->second;
    if (!DispatchTask(&jobs_.at(next.job), next.task, true, now)) {
      ++failed_placements;
    }
  }
}

size_t JobScheduler::MaxRunsAlone() const {
  return std::max<size_t>(
      workers_.CountConnected() / options_.workers_per_suspect, 1);
}

WorkerRecord* JobScheduler::PlaceTask(const Job& job, const Task& task,
                                      bool must_run_alone, Instant now,
                                      Incarnation* guard) {
  PlacementNeed need = NeedOf(job, task, now);
  need.urgency_band = job.UrgencyBandOf(task, now);
  const bool may_queue =
      forecast_.MayQueueAtGuards(job.service, need.urgency_band, now);
  const auto choose = [&](bool free_capacity_only) {
    return must_run_alone
               ? workers_.ChooseToRunAlone(need, now, guard)
               : workers_.Choose(need, free_capacity_only, now, guard);
  };
  WorkerRecord* record = choose(!may_queue);
  if (!must_run_alone) observer_->TaskPlaced(workers_.last_choice());
  const bool is_held =
      !must_run_alone && workers_.last_choice() == PlacementChoice::kHeld;
  if (is_held) return nullptr;
  if (record == nullptr && !need.avoid.empty()) {
    // No other worker has free capacity: a guard at which the task failed is
    // better than none.
    need.avoid.clear();
    record = choose(true);
  }
  // Guards without a link to this entry may have a suitable worker.
  if (record == nullptr && workers_.LacksOffer(need)) {
    wants_more_workers_ = true;
  }
  return record;
}

bool JobScheduler::DispatchTask(Job* job, uint32_t index, bool must_run_alone,
                                Instant now) {
  Task& task = job->tasks[index];
  if (job->GivesWay() && !forecast_.MayServeLate(job->service, now)) {
    return false;
  }
  Incarnation guard;
  WorkerRecord* record = PlaceTask(*job, task, must_run_alone, now, &guard);
  if (record == nullptr) return false;
  const HeldStep& step = job->spec.steps[task.step];
  Dequeue(job, index);
  RunOrder order;
  order.number = next_run_++;
  order.task = TaskName(job->spec.id, task.step, task.index);
  order.attempt = task.attempt;
  order.step_tag = static_cast<uint32_t>(job->number << 6U) + task.step;
  order.max_per_worker = step.max_per_worker;
  order.service = job->service;
  order.payload = job->spec.payload;
  if (options_.separates_interfering) order.queue = job->spec.queue;
  order.need = step.task_resources;
  order.estimate = step.estimate;
  // Late tasks go last at the guard, too.
  order.slack = TimeUntil(
      now, job->GivesWay() ? job->caller_deadline
                           : job->LatestStartOf(task) + job->priority_delay);
  order.remaining = TimeUntil(now, job->caller_deadline);
  order.must_run_alone = must_run_alone;
  order.expected = workers_.ExpectedAt(*record, NeedOf(*job, task, now));
  task.phase = TaskPhase::kDispatched;
  task.run = order.number;
  const bool is_first = !job->HasStarted();
  ++job->open_runs;
  if (is_first) RefreshTerms(*job, now);
  shares_.OnDispatched(
      job->spec.queue, TaskWork(step),
      Elapsed(job->arrived_at, job->LatestStartOf(task)) + job->priority_delay,
      now);
  Run& run = runs_[order.number];
  run.job = job->number;
  run.task = index;
  run.guard = guard;
  run.connection = record->connection;
  run.job_id = job->spec.id;
  run.task_name = order.task;
  run.memory = job->memory;
  run.order_bytes = BytesOfOrder(order);
  run.is_alone = must_run_alone;
  if (must_run_alone) {
    ++runs_alone_;
    log_->Record("suspect_dispatched",
                 {{"task", order.task},
                  {"attempt", Text(task.attempt)},
                  {"guard", record->address.ToString()},
                  {"crashes", crashes_.CrashesUnder(order.task, now)}});
  }
  record->open_runs.insert(order.number);
  record->order_bytes += run.order_bytes;
  WorkerTable::OnOrderSent(record, order);
  order_log_.Add(job->spec.id,
                 std::to_string(task.step) + "." + std::to_string(task.index),
                 order, *record, now);
  OutgoingTo(guard)->orders.push_back(std::move(order));
  return true;
}

RunOrders* JobScheduler::OutgoingTo(Incarnation guard) {
  return &outgoing_[guard];
}

void JobScheduler::OnRunEnd(uint64_t number, const RunEnd& end, Instant now) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) return;
  const Run run = found->second;
  WorkerRecord* record = workers_.Find(run.guard);
  if (record != nullptr && record->open_runs.erase(number) > 0) {
    record->order_bytes -= run.order_bytes;
  }
  runs_.erase(found);
  if (run.is_alone) --runs_alone_;
  const bool is_down = end.outcome == RunOutcome::kLost &&
                       end.reason == Reason::kWorkerDown && record != nullptr;
  if (is_down) {
    crashes_.OnRunLost(run.task_name, record->address, run.is_alone, now);
  }
  const auto held = jobs_.find(run.job);
  if (held == jobs_.end()) {
    OnLeftoverRunEnd(run.job_id, now);
    return;
  }
  Job& job = held->second;
  Task& task = job.tasks[run.task];
  assert(task.run == number);
  task.run = 0;
  --job.open_runs;
  if (end.outcome != RunOutcome::kNotStarted) job.may_have_run = true;
  switch (end.outcome) {
    case RunOutcome::kDone:
      observer_->TaskEnded(Outcome::kDone, Reason::kNone);
      observer_->TaskRan(end.run_time);
      if (record != nullptr) {
        workers_.OnRunDone(record, NeedOf(job, task, now), end.run_time, now);
      }
      task.phase = TaskPhase::kDone;
      --job.open_tasks_in_step[task.step];
      if (--job.open_tasks == 0) {
        FinishJob(&job, {HeldState::kComplete, Reason::kNone, Millis(0)}, now);
      } else if (job.open_tasks_in_step[task.step] == 0) {
        UnblockSteps(&job, now);
      }
      return;
    case RunOutcome::kFailed:
      observer_->TaskEnded(Outcome::kFailed, end.reason);
      task.avoid.insert(run.guard);
      ++task.attempt;
      if (++task.failures >= job.max_attempts) {
        FinishJob(&job,
                  {HeldState::kFailed, Reason::kAttemptsExhausted, Millis(0)},
                  now);
        return;
      }
      break;
    case RunOutcome::kNotStarted:
      shares_.OnReturned(job.spec.queue, TaskWork(job.spec.steps[task.step]));
      if (!job.HasStarted()) RefreshTerms(job, now);
      if (end.reason == Reason::kStaleAttempt) {
        // An earlier job with the same id already used this attempt number for
        // the task. Doubling skips the used numbers in few steps.
        task.attempt = task.attempt * 2 + 1;
      } else if (end.reason == Reason::kGrantLost ||
                 end.reason == Reason::kBackendUnreachable) {
        ++task.attempt;
      } else if (end.reason == Reason::kConstraintUnmet) {
        task.avoid.insert(run.guard);
      }
      if (record != nullptr && end.reason == Reason::kGuardFull) {
        workers_.OnGuardFull(record, now);
      } else if (record != nullptr) {
        workers_.OnOrderRefused(record, job.UrgencyBandOf(task, now), now);
      }
      break;
    case RunOutcome::kLost:
      ++task.attempt;
      // A second crash elsewhere says more about the task than one at the same
      // worker.
      if (end.reason == Reason::kRunStalled ||
          end.reason == Reason::kWorkerDown) {
        task.avoid.insert(run.guard);
      }
      break;
  }
  RetryTask(&job, run.task, end.reason, now);
}

void JobScheduler::RetryTask(Job* job, uint32_t index, Reason reason,
                             Instant now) {
  observer_->Retried(reason);
  const Task& task = job->tasks[index];
  if (reason != Reason::kExecutorQueueFull && reason != Reason::kGuardFull) {
    log_->Record("task_retried", {{"job", job->spec.id},
                                  {"task", std::to_string(task.step) + "." +
                                               std::to_string(task.index)},
                                  {"attempt", Text(task.attempt)},
                                  {"failures", Text(task.failures)},
                                  {"reason", NameOf(reason)}});
  }
  Enqueue(job, index, now);
}

void JobScheduler::OnWorkerLoss(Address guard, Incarnation process,
                                const WorkerLoss& loss, Instant now) {
  if (!crashes_.OnWorkerLoss(guard, process, loss, now)) return;
  log_->Record("worker_loss", {{"guard", guard.ToString()},
                               {"started_at", Text(loss.started_at)},
                               {"crashed", loss.has_crashed ? "yes" : "no"},
                               {"tasks", Text(loss.tasks.size())}});
  if (loss.has_crashed) crashes_to_tell_.push_back({guard, loss});
  FollowVerdicts(loss, now);
}

void JobScheduler::OnCrashNotice(const CrashNotice& notice, Instant now) {
  // The guard itself tells of it, in the order of the ends of its runs.
  const bool is_linked = std::any_of(
      workers_.records().begin(), workers_.records().end(),
      [&](const auto& item) {
        return item.second.address == notice.guard && item.second.is_connected;
      });
  if (is_linked || !notice.loss.has_crashed) return;
  crashes_.OnCrashElsewhere(notice.guard, notice.loss, now);
  log_->Record("worker_loss", {{"guard", notice.guard.ToString()},
                               {"started_at", Text(notice.loss.started_at)},
                               {"crashed", "yes"},
                               {"from", "entry"},
                               {"tasks", Text(notice.loss.tasks.size())}});
  FollowVerdicts(notice.loss, now);
}

void JobScheduler::FollowVerdicts(const WorkerLoss& loss, Instant now) {
  for (const auto* tasks : {&loss.tasks, &loss.unconfirmed_tasks}) {
    for (const std::string& task : *tasks) FollowVerdict(task, now);
  }
}

void JobScheduler::FollowVerdict(const std::string& task_name, Instant now) {
  const auto held = job_by_id_.find(JobOf(task_name));
  if (held == job_by_id_.end()) return;
  Job& job = jobs_.at(held->second);
  const auto task = std::find_if(
      job.tasks.begin(), job.tasks.end(), [&](const Task& candidate) {
        return TaskName(job.spec.id, candidate.step, candidate.index) ==
               task_name;
      });
  if (task == job.tasks.end() || task->phase == TaskPhase::kDone) return;
  const auto index = static_cast<uint32_t>(task - job.tasks.begin());
  const CrashVerdict verdict = crashes_.Judge(task_name, now);
  if (verdict == CrashVerdict::kConvicted) {
    log_->Record("job_given_up",
                 {{"job", job.spec.id},
                  {"reason", NameOf(Reason::kCrashesWorkers)},
                  {"age_ms", Text(Elapsed(job.arrived_at, now))},
                  {"task", task_name},
                  {"crashes", crashes_.CrashesUnder(task_name, now)},
                  {"open_runs", Text(job.open_runs)}});
    observer_->TaskEnded(Outcome::kFailed, Reason::kCrashesWorkers);
    FinishJob(&job, {HeldState::kFailed, Reason::kCrashesWorkers, Millis(0)},
              now);
  } else if (task->phase == TaskPhase::kOnHold &&
             verdict != CrashVerdict::kOnHold) {
    on_hold_.erase({job.number, index});
    Enqueue(&job, index, now);
  } else if (task->phase == TaskPhase::kWaiting) {
    Dequeue(&job, index);
    Enqueue(&job, index, now);
  }
}

void JobScheduler::ReleaseHeld(Instant now) {
  std::vector<std::string> names;
  for (const auto& [number, index] : on_hold_) {
    const Job& job = jobs_.at(number);
    const Task& task = job.tasks[index];
    names.push_back(TaskName(job.spec.id, task.step, task.index));
  }
  for (const std::string& name : names) FollowVerdict(name, now);
}

void JobScheduler::StopRun(uint64_t number) {
  Run& run = runs_.at(number);
  if (run.is_stopped || run.is_orphan) return;
  run.is_stopped = true;
  RunOrders* orders = OutgoingTo(run.guard);
  // The guard counts the time by which the run must have ended from the report
  // that the stop echoes. That is not one after the caller left.
  if (orders->stops.empty()) {
    orders->echo = workers_.Find(run.guard)->echo_stamp;
  }
  orders->stops.push_back(number);
}

void JobScheduler::ReleaseRun(uint64_t number, std::string_view evidence,
                              Instant now) {
  const Run& run = runs_.at(number);
  const WorkerRecord* record = workers_.Find(run.guard);
  log_->Record(
      "run_released",
      {{"job", run.job_id},
       {"run", Text(number)},
       {"guard", record != nullptr ? record->address.ToString() : "unknown"},
       {"evidence", std::string(evidence)},
       {"orphan_age_ms",
        run.is_orphan ? Text(Elapsed(run.orphaned_at, now)) : "none"}});
  OnRunEnd(number, {number, RunOutcome::kLost, Reason::kWorkerLost, Millis(0)},
           now);
}

void JobScheduler::OnLeftoverRunEnd(const std::string& id, Instant now) {
  const auto left = leftover_runs_.find(id);
  assert(left != leftover_runs_.end());
  if (--left->second > 0) return;
  leftover_runs_.erase(left);
  const auto next = job_by_id_.find(id);
  if (next == job_by_id_.end()) return;
  Job& job = jobs_.at(next->second);
  if (!job.awaits_earlier_runs) return;
  job.awaits_earlier_runs = false;
  UnblockSteps(&job, now);
  Dispatch(now);
}

// The end of jobs.

void JobScheduler::FinishJob(Job* job, HeldAnswer answer, Instant now) {
  uint32_t leftover = 0;
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    Task& task = job->tasks[i];
    if (task.phase == TaskPhase::kWaiting) Dequeue(job, i);
    if (task.phase == TaskPhase::kOnHold) on_hold_.erase({job->number, i});
    if (task.phase != TaskPhase::kDispatched || task.run == 0) continue;
    StopRun(task.run);
    ++leftover;
  }
  if (leftover > 0) leftover_runs_[job->spec.id] += leftover;
  const Millis age = Elapsed(job->arrived_at, now);
  observer_->JobEnded(ToJobState(answer.state), age);
  for (const uint64_t caller : job->callers) {
    job_by_caller_.erase(caller);
    AnswerCaller(caller, job->spec.id, answer);
  }
  if (answer.state == HeldState::kComplete) {
    RecordComplete(job->spec.id, job->arrived_at, job->on_time_by, now);
  }
  job_by_id_.erase(job->spec.id);
  job_checks_.erase({job->check_at, job->number});
  jobs_.erase(job->number);
}

void JobScheduler::GiveUp(Job* job, Reason reason, Instant now) {
  HeldAnswer answer;
  if (job->may_have_run || job->open_runs > 0) {
    answer.state = HeldState::kFailed;
    answer.reason =
        reason == Reason::kEntrySuspended ? reason : Reason::kGivenUpRunning;
  } else {
    answer.state = HeldState::kRefused;
    answer.reason = reason;
    answer.retry_after = reason == Reason::kWaitedTooLong
                             ? forecast_.RetryAfter(job->service, now)
                             : kRestartRetry;
  }
  log_->Record("job_given_up", {{"job", job->spec.id},
                                {"reason", NameOf(reason)},
                                {"age_ms", Text(Elapsed(job->arrived_at, now))},
                                {"open_tasks", Text(job->open_tasks)},
                                {"open_runs", Text(job->open_runs)},
                                {"ran", job->may_have_run ? "yes" : "no"}});
  FinishJob(job, answer, now);
}

void JobScheduler::GiveUpAll(Reason reason, Instant now) {
  while (!jobs_.empty()) GiveUp(&jobs_.begin()->second, reason, now);
}

void JobScheduler::OnSuspended(Instant now) {
  GiveUpAll(Reason::kEntrySuspended, now);
}

void JobScheduler::BeginStop(Instant finish_by) {
  is_stopping_ = true;
  finish_by_ = finish_by;
}

size_t JobScheduler::CountPendingJobs(const std::string& queue) const {
  size_t count = 0;
  for (const auto& [number, job] : jobs_) {
    const bool is_pending =
        job.spec.queue == queue && !job.may_have_run && job.open_runs == 0;
    count += is_pending ? 1 : 0;
  }
  return count;
}

// Guards.

void JobScheduler::OnGuardUp(Address address, Incarnation guard, Instant now) {
  // The end of the earlier connection may not have been reported.
  OnGuardDown(guard, now);
  WorkerRecord* record = workers_.OnGuardConnected(address, guard, now);
  record->awaits_echo = last_timer_at_.has_value();
  // The guard may have restarted, and other entries may know of none.
  if (workers_.LacksEvacuations(*record)) OutgoingTo(guard);
  log_->Record("guard_up", {{"guard", address.ToString()}});
}

void JobScheduler::OnGuardDown(Incarnation guard, Instant now) {
  WorkerRecord* record = workers_.Find(guard);
  if (record == nullptr || !record->is_connected) return;
  record->is_connected = false;
  outgoing_.erase(guard);
  log_->Record("guard_down",
               {{"guard", record->address.ToString()},
                {"report_age_ms", Text(Elapsed(record->last_report_at, now))},
                {"open_runs", Text(record->open_runs.size())}});
  OrphanRuns(*record, now, now);
}

// The guard stops the runs when its lease for this entry expires. If the guard
// process has ended, or the worker carries out no stop, the worker's lease ends
// them.
void JobScheduler::OrphanRuns(const WorkerRecord& record, Instant since,
                              Instant now) {
  const Instant release_at =
      since + ReleaseAfter(options_.home_lease, options_.worker_lease,
                           options_.lease_slack);
  size_t count = 0;
  for (const uint64_t number : record.open_runs) {
    Run& run = runs_.at(number);
    if (run.is_orphan) continue;
    run.is_orphan = true;
    run.orphaned_at = now;
    run.release_at = release_at;
    ++count;
  }
  if (count == 0) return;
  log_->Record("runs_out_of_reach",
               {{"guard", record.address.ToString()},
                {"runs", Text(count)},
                {"report_age_ms", Text(Elapsed(record.last_report_at, now))},
                {"released_in_ms", Text(TimeUntil(now, release_at))}});
}

void JobScheduler::SettleOrphans(const WorkerRecord& record,
                                 uint32_t earlier_runs, Instant now) {
  std::vector<uint64_t> ended;
  size_t regained = 0;
  for (const uint64_t number : record.open_runs) {
    Run& run = runs_.at(number);
    if (!run.is_orphan) continue;
    if (run.connection == record.connection) {
      // The guard was silent, but the connection lasted, so it will report the
      // end of the run.
      run.is_orphan = false;
      ++regained;
      if (!jobs_.contains(run.job)) StopRun(number);
    } else if (earlier_runs == 0) {
      ended.push_back(number);
    }
  }
  if (regained > 0) {
    log_->Record("runs_regained", {{"guard", record.address.ToString()},
                                   {"runs", Text(regained)}});
  }
  for (const uint64_t number : ended) {
    ReleaseRun(number, "no_earlier_runs", now);
  }
}

void JobScheduler::OnReport(Incarnation guard, const RunReport& report,
                            Instant now) {
  // If the process was suspended, job deadlines may have passed meanwhile. They
  // are handled before the report.
  if (now - jobs_checked_at_ >= options_.job_check_interval) ExpireJobs(now);
  WorkerRecord* record = workers_.Find(guard);
  if (record == nullptr || !record->is_connected) return;
  OnEvacuations(report.evacuations, now);
  NoteSpeed(*record, workers_.OnReport(record, report, now));
  if (!last_timer_at_) record->echo_stamp = record->timer_stamp = report.stamp;
  for (const RunEnd& end : report.ends) OnRunEnd(end.number, end, now);
  for (const WorkerLoss& loss : report.worker_losses) {
    OnWorkerLoss(record->address, guard, loss, now);
  }
  if (options_.separates_interfering) {
    for (const InterferenceSums& sums : report.interference_sums) {
      if (!interference_.OnSums(guard, sums, now)) {
        observer_->InterferenceSumsIgnored();
      }
    }
  }
  SettleOrphans(*record, report.earlier_runs, now);
  std::vector<uint64_t> former_runs;
  if (report.is_settled) {
    // Nothing that an earlier incarnation of this guard started still executes.
    for (const auto& [other, former] : workers_.records()) {
      if (other == guard || former.address != record->address) continue;
      former_runs.insert(former_runs.end(), former.open_runs.begin(),
                         former.open_runs.end());
    }
  }
  for (const uint64_t number : former_runs) {
    ReleaseRun(number, "settled_guard", now);
  }
  if (!record->open_runs.empty()) OutgoingTo(guard);
  is_dispatch_due_ = true;
}

void JobScheduler::NoteSpeed(const WorkerRecord& record, SpeedChange change) {
  if (change == SpeedChange::kNone) return;
  if (change == SpeedChange::kIgnored) {
    observer_->SpeedReportIgnored();
    return;
  }
  const auto percent = [](double factor) {
    return Text(static_cast<uint64_t>(std::lround(factor * 100)));
  };
  log_->Record(
      change == SpeedChange::kBecameSlow ? "worker_slow" : "worker_sound",
      {{"guard", record.address.ToString()},
       {"factor_percent", percent(record.factor)},
       {"others_percent",
        percent(workers_.model().FactorOfOthers(record.guard, record.kind))},
       {"runs", Text(record.report.slowness_runs)}});
}

// Timers and actions.

void JobScheduler::OnTimer(Instant now) {
  if (last_timer_at_ && now - *last_timer_at_ > options_.longest_pause) {
    log_->Record("events_delayed",
                 {{"pause_ms", Text(Elapsed(*last_timer_at_, now))},
                  {"jobs", Text(jobs_.size())}});
  }
  handled_until_ = last_timer_at_.value_or(now);
  last_timer_at_ = now;
  for (auto& [guard, record] : workers_.records()) {
    record.echo_stamp = record.timer_stamp;
    if (record.has_report) record.timer_stamp = record.report.stamp;
    if (record.echo_stamp != 0) record.awaits_echo = false;
  }
  ExpireJobs(now);
  ExpireRuns(now);
  ReleaseHeld(now);
  cancels_.Expire(now);
  RefreshInterference(now);
  for (auto& [guard, record] : workers_.records()) {
    if (record.is_connected && !record.open_runs.empty()) OutgoingTo(guard);
  }
  Dispatch(now);
}

void JobScheduler::ExpireJobs(Instant now) {
  jobs_checked_at_ = now;
  while (!job_checks_.empty() && job_checks_.begin()->first <= now) {
    const uint64_t number = job_checks_.begin()->second;
    job_checks_.erase(job_checks_.begin());
    Job& job = jobs_.at(number);
    const Instant expiry = job.Expiry();
    if (now >= expiry) {
      GiveUp(&job, Reason::kWaitedTooLong, now);
    } else {
      // Open runs may turn out not to have started, which brings the expiry of
      // the job forward.
      job.check_at = std::min(expiry, now + options_.job_check_interval);
      job_checks_.emplace(job.check_at, number);
    }
  }
}

void JobScheduler::RefreshInterference(Instant now) {
  for (const InterferencePair& pair : interference_.Refresh(now)) {
    log_->Record(
        pair.is_believed ? "tasks_interfere" : "tasks_do_not_interfere",
        {{"queue", pair.queue},
         {"neighbour", pair.neighbour},
         {"effect", std::to_string(pair.effect)},
         {"standard_error", std::to_string(pair.standard_error)},
         {"runs", std::to_string(std::lround(pair.runs))}});
    observer_->InterferenceChanged(pair.queue, pair.neighbour,
                                   pair.is_believed ? pair.effect : 0,
                                   pair.standard_error);
  }
}

void JobScheduler::ExpireRuns(Instant now) {
  std::vector<uint64_t> ended;
  for (auto& [guard, record] : workers_.records()) {
    // A guard that is suspended or unreachable stops the runs at the latest
    // when the lease expires that its last report renewed.
    const bool is_silent = record.is_connected &&
                           now - record.last_report_at > options_.home_lease;
    if (is_silent) OrphanRuns(record, record.last_report_at, now);
  }
  for (const auto& [number, run] : runs_) {
    if (run.is_orphan && now >= run.release_at) ended.push_back(number);
  }
  for (const uint64_t number : ended) ReleaseRun(number, "lease_expired", now);
  std::erase_if(workers_.records(), [](const auto& item) {
    return !item.second.is_connected && item.second.open_runs.empty();
  });
}

std::vector<SchedulerAction> JobScheduler::TakeActions(Instant now) {
  if (is_dispatch_due_) Dispatch(now);
  if (outgoing_.empty()) return std::exchange(actions_, {});
  const WorkByUrgency waiting = waiting_.ByUrgency(now);
  for (auto item = outgoing_.begin(); item != outgoing_.end();) {
    auto& [guard, orders] = *item;
    WorkerRecord* record = workers_.Find(guard);
    if (record == nullptr || !record->is_connected) {
      item = outgoing_.erase(item);
      continue;
    }
    const bool has_stops = !orders.stops.empty();
    const bool has_news = has_stops || !orders.orders.empty() ||
                          workers_.LacksEvacuations(*record);
    if (!has_stops) orders.echo = record->echo_stamp;
    // The guard takes an echo of zero for an old one.
    if (orders.echo == 0) {
      ++item;
      continue;
    }
    if (!has_news && now - record->last_echo_at < options_.echo_interval) {
      ++item;
      continue;
    }
    record->last_echo_at = now;
    orders.waiting_work = waiting;
    orders.evacuations = workers_.TakeEvacuationsFor(record);
    orders.wants_running = interference_.has_beliefs();
    actions_.emplace_back(SendOrders{guard, std::move(orders)});
    item = outgoing_.erase(item);
  }
  return std::exchange(actions_, {});
}

}  // namespace qs
