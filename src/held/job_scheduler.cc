#include "held/job_scheduler.h"

#include <algorithm>
#include <cassert>

#include "held/admission.h"
#include "held/decision_log.h"

namespace qs {
namespace {

// Waiting tasks that are tried in a row without finding a worker.
constexpr int kMaxMisses = 6;
// A run takes up to so many times its estimate, with its wait for a worker.
constexpr int kEstimateFactor = 2;
constexpr Millis kRestartRetry{1000};  // About the time until a peer is ready.

Millis Until(Instant now, Instant then) {
  return std::max(Elapsed(now, then), Millis(0));
}

std::string Name(Reason reason) { return std::string(ReasonName(reason)); }

// From its arrival, a job is on time within this.
Millis ObjectiveOf(const QueueDeclaration& queue, Millis chain) {
  return std::chrono::duration_cast<Millis>(chain * queue.slack_factor) +
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
      started_(now),
      workers_(options.workers, seed) {}

// Callers.

void JobScheduler::SetCatalog(std::shared_ptr<const Catalog> catalog,
                              Instant now) {
  catalog_ = std::move(catalog);
  // Tasks that wait follow the declaration in force; what runs goes on.
  std::vector<uint64_t> removed;
  for (auto& [number, job] : jobs_) {
    const QueueDeclaration* queue = catalog_->Find(job.job.queue);
    if (queue == nullptr) {
      removed.push_back(number);
      continue;
    }
    job.service = queue->service;
    job.max_attempts = queue->max_attempts;
  }
  for (const uint64_t number : removed) {
    Job& job = jobs_.at(number);
    if (!job.may_have_run && job.ordered == 0) {
      GiveUp(&job, Reason::kNoSuchQueue, now);
    }
  }
}

void JobScheduler::OnJob(uint64_t caller, HeldJob job, Instant received,
                         Instant now) {
  const auto same = job_by_id_.find(job.id);
  if (same != job_by_id_.end()) {
    // The same job again: its caller lost the connection and came back here.
    Job& held = jobs_.at(same->second);
    held.callers.push_back(caller);
    job_by_caller_[caller] = held.number;
    log_->Record("job_joined", {{"job", job.id},
                                {"age_ms", Text(Elapsed(held.arrived, now))}});
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
  Millis retry_after{0};
  const Reason refusal = Refusal(*queue, job, received, now, &retry_after);
  if (refusal == Reason::kNoGuardAvailable) {
    PlacementNeed need;
    need.service = queue->service;
    if (workers_.LacksOffer(need)) wants_workers_ = true;
  }
  if (refusal == Reason::kConstraintUnmet) {
    AnswerCaller(caller, job.id, {HeldState::kFailed, refusal, Millis(0)});
  } else if (refusal != Reason::kNone) {
    AnswerCaller(caller, job.id, {HeldState::kRefused, refusal, retry_after});
  } else {
    Admit(caller, *queue, std::move(job), received);
    Dispatch(now);
  }
}

Reason JobScheduler::Refusal(const QueueDeclaration& queue, const HeldJob& job,
                             Instant received, Instant now,
                             Millis* retry_after) const {
  const Millis chain = CriticalPathEstimate(job);
  if (is_stopping_ && now + kEstimateFactor * chain > finish_by_) {
    *retry_after = kRestartRetry;
    return Reason::kStopping;
  }
  if (jobs_.size() >= options_.max_jobs) {
    *retry_after = kRestartRetry;
    return Reason::kEntryOverloaded;
  }
  if (IsImpossible(queue.service, job, now)) return Reason::kConstraintUnmet;
  // After all have lost power, the guards are back a moment later.
  const bool awaits_guards = now - started_ < options_.warm_up &&
                             !workers_.KnowsService(queue.service);
  if (awaits_guards) return Reason::kNone;
  const Millis objective = Until(now, received + ObjectiveOf(queue, chain));
  AdmissionInput input;
  input.serving_cpu = workers_.ServingCpu(queue.service, now);
  input.chain = chain;
  input.objective = objective;
  const Instant turn =
      now + objective - chain + options_.priority_step * queue.priority;
  input.work_ahead = WorkAhead(queue.service, turn, now);
  input.work_in_all = WorkAhead(queue.service, Instant::max(), now);
  for (const HeldStep& step : job.steps) {
    input.job_work += StepWork(step);
  }
  input.has_room = input.work_in_all == 0;
  const AdmissionVerdict verdict = JudgeAdmission(input);
  if (verdict.refusal != Reason::kNone) {
    *retry_after = verdict.retry_after;
    log_->Record("job_not_admitted",
                 {{"job", job.id},
                  {"queue", queue.name},
                  {"reason", Name(verdict.refusal)},
                  {"predicted_wait_ms", Text(verdict.predicted_wait)},
                  {"objective_ms", Text(objective)},
                  {"chain_ms", Text(chain)},
                  {"work_ahead", Text(input.work_ahead)},
                  {"work_in_all", Text(input.work_in_all)},
                  {"serving_cpu", std::to_string(input.serving_cpu)},
                  {"config_version", Text(catalog_->version)}});
  }
  return verdict.refusal;
}

// Whether no worker can run the job, now or later.
bool JobScheduler::IsImpossible(const std::string& service, const HeldJob& job,
                                Instant now) const {
  if (now - started_ < options_.warm_up || !has_seen_all_) return false;
  return workers_.KnowsService(service) && !CouldRunAll(service, job);
}

// Whether for each step a worker that was ever seen could run a task.
bool JobScheduler::CouldRunAll(const std::string& service,
                               const HeldJob& job) const {
  return std::all_of(job.steps.begin(), job.steps.end(),
                     [&](const HeldStep& step) {
                       PlacementNeed need;
                       need.service = service;
                       need.need = step.task_resources;
                       need.required_label = step.required_label;
                       return workers_.CouldEverRun(need);
                     });
}

void JobScheduler::SetHasSeenAllWorkers(bool has_seen, Instant now) {
  const bool is_news = has_seen && !has_seen_all_;
  has_seen_all_ = has_seen;
  if (!is_news) return;
  std::vector<uint64_t> impossible;
  for (const auto& [number, job] : jobs_) {
    if (!job.may_have_run && job.ordered == 0 &&
        IsImpossible(job.service, job.job, now)) {
      impossible.push_back(number);
    }
  }
  for (const uint64_t number : impossible) {
    FinishJob(&jobs_.at(number),
              {HeldState::kFailed, Reason::kConstraintUnmet, Millis(0)}, now);
  }
}

bool JobScheduler::HasRunsAt(Incarnation guard) const {
  const auto found = workers_.entries().find(guard);
  return found != workers_.entries().end() && !found->second.open.empty();
}

void JobScheduler::Admit(uint64_t caller, const QueueDeclaration& queue,
                         HeldJob spec, Instant received) {
  const uint64_t number = next_job_++;
  Job& job = jobs_[number];
  job.number = number;
  job.callers.push_back(caller);
  job.service = queue.service;
  job.max_attempts = std::max<uint32_t>(queue.max_attempts, 1);
  job.priority = queue.priority;
  job.arrived = received;
  job.chain = CriticalPathEstimate(spec);
  const Millis objective = ObjectiveOf(queue, job.chain);
  job.on_time_by = received + objective;
  job.patient_until = received + spec.caller_timeout;
  job.useful_by = received + std::min(objective * options_.useful_objectives,
                                      spec.caller_timeout);
  job.job = std::move(spec);
  for (uint32_t step = 0; step < job.job.steps.size(); ++step) {
    const uint32_t count = job.job.steps[step].tasks;
    job.open_in_step.push_back(count);
    for (uint32_t index = 0; index < count; ++index) {
      Task task;
      task.step = step;
      task.index = index;
      job.tasks.push_back(std::move(task));
    }
  }
  job.open = job.tasks.size();
  job_by_id_[job.job.id] = number;
  job_by_caller_[caller] = number;
  job.awaits_earlier = leftover_runs_.contains(job.job.id);
  log_->Record("job_admitted", {{"job", job.job.id},
                                {"queue", queue.name},
                                {"tasks", Text(job.tasks.size())},
                                {"rack", job.job.steps[0].preferred_rack},
                                {"objective_ms", Text(objective)},
                                {"config_version", Text(catalog_->version)}});
  if (!job.awaits_earlier) UnblockSteps(&job);
}

void JobScheduler::AnswerCaller(uint64_t caller, const std::string& id,
                                HeldAnswer answer) {
  if (answer.state == HeldState::kRefused) observer_->Refused(answer.reason);
  if (answer.state != HeldState::kComplete) {
    log_->Record(
        "job_answered",
        {{"job", id},
         {"state", std::string(JobStateName(ToJobState(answer.state)))},
         {"reason", Name(answer.reason)},
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
  log_->Record("caller_left", {{"job", job.job.id},
                               {"age_ms", Text(Elapsed(job.arrived, now))},
                               {"open_runs", Text(job.ordered)}});
  GiveUp(&job, Reason::kCallerLeft, now);
}

// Tasks.

void JobScheduler::UnblockSteps(Job* job) {
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    if (job->tasks[i].phase != TaskPhase::kBlocked) continue;
    const HeldStep& step = job->job.steps[job->tasks[i].step];
    const bool is_ready = std::all_of(
        step.depends_on.begin(), step.depends_on.end(),
        [&](uint32_t earlier) { return job->open_in_step[earlier] == 0; });
    if (is_ready) Enqueue(job, i);
  }
}

Instant JobScheduler::TurnOf(const Job& job, const Task& task) const {
  return job.on_time_by - job.job.steps[task.step].estimate +
         options_.priority_step * job.priority;
}

void JobScheduler::Enqueue(Job* job, uint32_t index) {
  Task& task = job->tasks[index];
  task.phase = TaskPhase::kWaiting;
  waiting_.insert({TurnOf(*job, task), job->number, index});
}

void JobScheduler::Dequeue(Job* job, uint32_t index) {
  waiting_.erase({TurnOf(*job, job->tasks[index]), job->number, index});
}

uint64_t JobScheduler::WorkBefore(Instant turn) const {
  uint64_t sum = 0;
  for (const Waiting& item : waiting_) {
    if (item.turn > turn) break;
    const Job& job = jobs_.at(item.job);
    sum += TaskWork(job.job.steps[job.tasks[item.task].step]);
  }
  return sum;
}

WorkByUrgency JobScheduler::WaitingWork(Instant now) const {
  WorkByUrgency work{};
  for (const Waiting& item : waiting_) {
    const Job& job = jobs_.at(item.job);
    size_t band = 0;
    while (band < kUrgencyBandLimits.size() &&
           item.turn > now + kUrgencyBandLimits[band]) {
      ++band;
    }
    work[band] += TaskWork(job.job.steps[job.tasks[item.task].step]);
  }
  return work;
}

uint64_t JobScheduler::WorkAhead(const std::string& service, Instant turn,
                                 Instant now) const {
  const WorkByUrgency others = workers_.WaitingWorkOfOthers(now);
  uint64_t sum = WorkBefore(turn) + workers_.QueuedWork(service, now);
  for (size_t band = 0; band < kUrgencyBands; ++band) {
    sum += others[band];
    if (band < kUrgencyBandLimits.size() &&
        turn <= now + kUrgencyBandLimits[band])
      break;
  }
  return sum;
}

PlacementNeed JobScheduler::NeedOf(const Job& job, const Task& task) const {
  const HeldStep& step = job.job.steps[task.step];
  const Millis slack = Elapsed(job.arrived, job.on_time_by) - job.chain;
  return {job.service,         step.task_resources, step.estimate, slack,
          step.required_label, step.preferred_rack, task.avoid};
}

void JobScheduler::Dispatch(Instant now) {
  is_dispatch_due_ = false;
  int misses = 0;
  for (auto item = waiting_.begin();
       item != waiting_.end() && misses < kMaxMisses;) {
    const Waiting next = *item++;
    if (!Order(&jobs_.at(next.job), next.task, now)) ++misses;
  }
}

// Sends one task to a worker. Returns false where none can take it now.
bool JobScheduler::Order(Job* job, uint32_t index, Instant now) {
  Task& task = job->tasks[index];
  PlacementNeed need = NeedOf(*job, task);
  Incarnation guard;
  WorkerEntry* entry = workers_.Choose(need, false, now, &guard);
  if (entry == nullptr && !need.avoid.empty()) {
    // Where the task failed is better than nowhere.
    need.avoid.clear();
    entry = workers_.Choose(need, true, now, &guard);
  }
  if (entry == nullptr) {
    // It may be that another part of the fleet can.
    if (workers_.LacksOffer(need)) wants_workers_ = true;
    return false;
  }
  const HeldStep& step = job->job.steps[task.step];
  Dequeue(job, index);
  RunOrder order;
  order.number = next_run_++;
  order.task = job->job.id + ".0." + std::to_string(task.step) + "." +
               std::to_string(task.index);
  order.attempt = task.attempt;
  order.step_tag = static_cast<uint32_t>(job->number << 6U) + task.step;
  order.max_per_worker = step.max_per_worker;
  order.service = job->service;
  order.payload = job->job.payload;
  order.need = step.task_resources;
  order.estimate = step.estimate;
  order.slack = Until(now, TurnOf(*job, task));
  order.remaining = Until(now, job->patient_until);
  task.phase = TaskPhase::kOrdered;
  task.run = order.number;
  ++job->ordered;
  Run& run = runs_[order.number];
  run.job = job->number;
  run.task = index;
  run.guard = guard;
  run.id = job->job.id;
  entry->open.insert(order.number);
  WorkerTable::OnOrdered(entry, order);
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
  WorkerEntry* entry = workers_.Find(run.guard);
  if (entry != nullptr) entry->open.erase(number);
  runs_.erase(found);
  const auto held = jobs_.find(run.job);
  if (held == jobs_.end()) {
    ReleaseId(run.id, now);
    return;
  }
  Job& job = held->second;
  Task& task = job.tasks[run.task];
  assert(task.run == number);
  task.run = 0;
  --job.ordered;
  if (end.outcome != RunOutcome::kNotStarted) job.may_have_run = true;
  switch (end.outcome) {
    case RunOutcome::kDone:
      observer_->TaskEnded(Outcome::kDone, Reason::kNone);
      observer_->TaskRan(end.run_time);
      task.phase = TaskPhase::kDone;
      --job.open_in_step[task.step];
      if (--job.open == 0) {
        FinishJob(&job, {HeldState::kComplete, Reason::kNone, Millis(0)}, now);
      } else if (job.open_in_step[task.step] == 0) {
        UnblockSteps(&job);
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
      if (end.reason == Reason::kStaleAttempt) {
        // A job with this id ran before; its runs had numbers of their own.
        task.attempt = task.attempt * 2 + 1;
      } else if (end.reason == Reason::kGrantLost ||
                 end.reason == Reason::kBackendUnreachable) {
        ++task.attempt;
      } else if (end.reason == Reason::kConstraintUnmet) {
        task.avoid.insert(run.guard);
      }
      if (entry != nullptr) workers_.OnRefused(entry, now);
      break;
    case RunOutcome::kLost:
      ++task.attempt;
      if (end.reason == Reason::kRunStalled) task.avoid.insert(run.guard);
      break;
  }
  RetryTask(&job, run.task, end.reason);
}

void JobScheduler::RetryTask(Job* job, uint32_t index, Reason reason) {
  observer_->Retried(reason);
  const Task& task = job->tasks[index];
  if (reason != Reason::kExecutorQueueFull) {
    log_->Record("task_retried", {{"job", job->job.id},
                                  {"task", std::to_string(task.step) + "." +
                                               std::to_string(task.index)},
                                  {"attempt", Text(task.attempt)},
                                  {"failures", Text(task.failures)},
                                  {"reason", Name(reason)}});
  }
  Enqueue(job, index);
}

void JobScheduler::StopRun(uint64_t number) {
  Run& run = runs_.at(number);
  if (run.is_stopped || run.is_orphan) return;
  run.is_stopped = true;
  OutgoingTo(run.guard)->stops.push_back(number);
}

// The run has ended for certain, without a word on how.
void JobScheduler::ReleaseRun(uint64_t number, Instant now) {
  OnRunEnd(number, {number, RunOutcome::kLost, Reason::kWorkerLost, Millis(0)},
           now);
}

// A run of an answered job has ended; a job with the same id may wait for it.
void JobScheduler::ReleaseId(const std::string& id, Instant now) {
  const auto left = leftover_runs_.find(id);
  assert(left != leftover_runs_.end());
  if (--left->second > 0) return;
  leftover_runs_.erase(left);
  const auto next = job_by_id_.find(id);
  if (next == job_by_id_.end()) return;
  Job& job = jobs_.at(next->second);
  if (!job.awaits_earlier) return;
  job.awaits_earlier = false;
  UnblockSteps(&job);
  Dispatch(now);
}

// The end of jobs.

void JobScheduler::FinishJob(Job* job, HeldAnswer answer, Instant now) {
  uint32_t leftover = 0;
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    Task& task = job->tasks[i];
    if (task.phase == TaskPhase::kWaiting) Dequeue(job, i);
    if (task.phase != TaskPhase::kOrdered || task.run == 0) continue;
    StopRun(task.run);
    ++leftover;
  }
  if (leftover > 0) leftover_runs_[job->job.id] += leftover;
  const Millis age = Elapsed(job->arrived, now);
  observer_->JobEnded(ToJobState(answer.state), age);
  for (const uint64_t caller : job->callers) {
    job_by_caller_.erase(caller);
    AnswerCaller(caller, job->job.id, answer);
  }
  if (answer.state == HeldState::kComplete) {
    log_->Record("job_complete",
                 {{"job", job->job.id},
                  {"age_ms", Text(age)},
                  {"late", now > job->on_time_by ? "yes" : "no"}});
  }
  job_by_id_.erase(job->job.id);
  jobs_.erase(job->number);
}

// Nothing of the job goes on, or is worth to. What did not run is refused with
// the truth; of the rest only the failure is certain.
void JobScheduler::GiveUp(Job* job, Reason reason, Instant now) {
  HeldAnswer answer;
  if (job->may_have_run || job->ordered > 0) {
    answer.state = HeldState::kFailed;
    answer.reason =
        reason == Reason::kEntrySuspended ? reason : Reason::kGivenUpRunning;
  } else {
    answer.state = HeldState::kRefused;
    answer.reason = reason;
    answer.retry_after = kRestartRetry;
  }
  log_->Record("job_given_up", {{"job", job->job.id},
                                {"reason", Name(reason)},
                                {"age_ms", Text(Elapsed(job->arrived, now))},
                                {"open_tasks", Text(job->open)},
                                {"open_runs", Text(job->ordered)},
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
        job.job.queue == queue && !job.may_have_run && job.ordered == 0;
    count += is_pending ? 1 : 0;
  }
  return count;
}

// Guards.

void JobScheduler::OnGuardUp(Address address, Incarnation guard, Instant now) {
  workers_.OnUp(address, guard, now);
  outgoing_.erase(guard);
  log_->Record("guard_up", {{"guard", address.ToString()}});
}

void JobScheduler::OnGuardDown(Incarnation guard, Instant now) {
  WorkerEntry* entry = workers_.Find(guard);
  if (entry == nullptr || !entry->is_connected) return;
  entry->is_connected = false;
  outgoing_.erase(guard);
  log_->Record("guard_down",
               {{"guard", entry->address.ToString()},
                {"report_age_ms", Text(Elapsed(entry->heard, now))},
                {"open_runs", Text(entry->open.size())}});
  OrphanRuns(*entry, now, now);
}

// The guard stops the runs once it misses this entry; a guard that has ended
// leaves them to the worker's lease.
void JobScheduler::OrphanRuns(const WorkerEntry& entry, Instant since,
                              Instant now) {
  const Instant release_at = since + options_.home_lease +
                             options_.worker_lease + options_.lease_slack;
  size_t count = 0;
  for (const uint64_t number : entry.open) {
    Run& run = runs_.at(number);
    if (run.is_orphan) continue;
    run.is_orphan = true;
    run.release_at = release_at;
    ++count;
  }
  if (count == 0) return;
  log_->Record("runs_out_of_reach",
               {{"guard", entry.address.ToString()},
                {"runs", Text(count)},
                {"report_age_ms", Text(Elapsed(entry.heard, now))},
                {"released_in_ms", Text(Until(now, release_at))}});
}

void JobScheduler::OnReport(Incarnation guard, const RunReport& report,
                            Instant now) {
  // Deadlines that passed while this process stood still go first.
  if (now - jobs_checked_ >= options_.job_check_interval) CheckJobs(now);
  WorkerEntry* entry = workers_.Find(guard);
  if (entry == nullptr || !entry->is_connected) return;
  workers_.OnReport(entry, report, now);
  for (const RunEnd& end : report.ends) OnRunEnd(end.number, end, now);
  std::vector<uint64_t> ended;
  if (report.earlier_runs == 0) {
    for (const uint64_t number : entry->open) {
      if (runs_.at(number).is_orphan) ended.push_back(number);
    }
  }
  if (report.is_settled) {
    // A former run of this guard cannot have left anything behind.
    for (const auto& [other, former] : workers_.entries()) {
      if (other == guard || former.address != entry->address) continue;
      ended.insert(ended.end(), former.open.begin(), former.open.end());
    }
  }
  for (const uint64_t number : ended) ReleaseRun(number, now);
  if (!entry->open.empty()) OutgoingTo(guard);
  is_dispatch_due_ = true;
}

// Time.

void JobScheduler::OnTimer(Instant now) {
  CheckJobs(now);
  CheckRuns(now);
  for (auto& [guard, entry] : workers_.entries()) {
    if (entry.is_connected && !entry.open.empty()) OutgoingTo(guard);
  }
  Dispatch(now);
}

void JobScheduler::CheckJobs(Instant now) {
  jobs_checked_ = now;
  std::vector<uint64_t> over;
  for (const auto& [number, job] : jobs_) {
    // What has run in part is finished for as long as its caller waits.
    const bool has_started = job.may_have_run || job.ordered > 0;
    const bool is_over = has_started ? now >= job.patient_until
                                     : now + job.chain > job.useful_by;
    if (is_over) over.push_back(number);
  }
  for (const uint64_t number : over) {
    GiveUp(&jobs_.at(number), Reason::kWaitedTooLong, now);
  }
}

void JobScheduler::CheckRuns(Instant now) {
  std::vector<uint64_t> ended;
  for (auto& [guard, entry] : workers_.entries()) {
    // A guard that stands still, or that no frame reaches, ends the runs at the
    // latest when the lease of the report that it last sent lapses.
    const bool is_silent =
        entry.is_connected && now - entry.heard > options_.home_lease;
    if (is_silent) OrphanRuns(entry, entry.heard, now);
  }
  for (const auto& [number, run] : runs_) {
    if (run.is_orphan && now >= run.release_at) ended.push_back(number);
  }
  for (const uint64_t number : ended) ReleaseRun(number, now);
  std::erase_if(workers_.entries(), [](const auto& item) {
    return !item.second.is_connected && item.second.open.empty();
  });
}

std::vector<SchedulerAction> JobScheduler::TakeActions(Instant now) {
  if (is_dispatch_due_) Dispatch(now);
  if (outgoing_.empty()) return std::exchange(actions_, {});
  const WorkByUrgency waiting = WaitingWork(now);
  for (auto item = outgoing_.begin(); item != outgoing_.end();) {
    auto& [guard, orders] = *item;
    WorkerEntry* entry = workers_.Find(guard);
    if (entry == nullptr || !entry->is_connected) {
      item = outgoing_.erase(item);
      continue;
    }
    const bool has_news = !orders.orders.empty() || !orders.stops.empty();
    if (!has_news && now - entry->echoed < options_.echo_interval) {
      ++item;
      continue;
    }
    entry->echoed = now;
    orders.echo = entry->report.stamp;
    orders.waiting_work = waiting;
    actions_.emplace_back(SendOrders{guard, std::move(orders)});
    item = outgoing_.erase(item);
  }
  return std::exchange(actions_, {});
}

}  // namespace qs
