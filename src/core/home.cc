#include "core/home.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/observer.h"

namespace qs {
namespace {

TaskResult Ended(Outcome outcome, Reason reason) {
  return {outcome, reason, {}};
}

// Upper estimate of what a running job takes: its tables and payloads, and the
// payloads once more in grants on their way.
size_t BytesOf(const JobSpec& job) {
  constexpr size_t kJobBytes = 1024;
  constexpr size_t kTaskBytes = 512;
  size_t bytes = kJobBytes;
  for (const std::string& payload : job.payloads) {
    bytes += kTaskBytes + 2 * payload.size();
  }
  return bytes;
}

}  // namespace

std::unique_ptr<Home> Home::Make(const HomeOptions& options,
                                 std::unique_ptr<PlacementPolicy> policy,
                                 Observer* observer, uint32_t seed) {
  assert(policy != nullptr);
  assert(observer != nullptr);
  return std::unique_ptr<Home>(
      new Home(options, std::move(policy), observer, seed));
}

Home::Home(const HomeOptions& options, std::unique_ptr<PlacementPolicy> policy,
           Observer* observer, uint32_t seed)
    : options_(options),
      observer_(observer),
      executors_({options.self, options.zone, options.queue_per_slot,
                  options.service_retention},
                 std::move(policy), seed),
      minter_(options.id_lifetime),
      job_budget_({options.max_job_bytes, options.max_job_bytes, 0}) {}

// Requests of callers.

MintReply Home::OnMint(const MintRequest& request, Instant now) {
  MintReply reply;
  reply.request = request.request;
  // A job can only be submitted to the home that gave out its id, so a home
  // that would refuse every job gives out no ids.
  reply.reason = HomeRefusal();
  if (reply.reason != Reason::kNone) {
    observer_->Refused(reply.reason);
    return reply;
  }
  reply.count = std::clamp<uint32_t>(request.count, 1, options_.max_mint);
  reply.first = minter_.Mint(reply.count, now);
  reply.lifetime = minter_.lifetime();
  return reply;
}

void Home::OnSubmit(uint64_t session, SubmitRequest request, Instant now) {
  const uint64_t sequence = request.sequence;
  const auto found = jobs_.find(sequence);
  if (found != jobs_.end()) {
    if (found->second.digest != request.job.Digest()) {
      AnswerRefusal(session, request.request, Reason::kContentConflict);
      return;
    }
    AttachWaiter(&found->second, {session, request.request, now + request.wait},
                 now);
    return;
  }
  const Reason missing_reason = MissingJobReason(sequence);
  if (missing_reason != Reason::kNotHandedIn) {
    AnswerRefusal(session, request.request, missing_reason);
    return;
  }
  minter_.MarkUsed(sequence);
  const uint64_t request_number = request.request;
  const Instant reply_at = now + request.wait;
  const Reason refusal = AdmissionRefusal(request.job);
  if (refusal != Reason::kNone) {
    RefusePermanently(sequence, request, refusal, now);
  } else {
    Admit(sequence, std::move(request), now);
  }
  AttachWaiter(&jobs_.at(sequence), {session, request_number, reply_at}, now);
  Dispatch(now);
}

// Returns why this home refuses every job at present, or kNone.
Reason Home::HomeRefusal() const {
  if (stopping_) return Reason::kStopping;
  if (options_.needs_configuration && !is_configured_) {
    return Reason::kNoConfiguration;
  }
  return are_members_known_ ? Reason::kNone : Reason::kWarmingUp;
}

Reason Home::AdmissionRefusal(const JobSpec& job) const {
  const Reason home_refusal = HomeRefusal();
  if (home_refusal != Reason::kNone) return home_refusal;
  const Reason declaration_refusal = DeclarationRefusal(job);
  if (declaration_refusal != Reason::kNone) return declaration_refusal;
  const Reason refusal =
      executors_.RefusalFor(DemandOf(job), are_members_known_);
  if (refusal != Reason::kNone) return refusal;
  if (running_jobs_ >= options_.max_jobs ||
      waiting_tasks_ + job.payloads.size() > options_.max_waiting_tasks) {
    return Reason::kHomeOverloaded;
  }
  switch (job_budget_.Judge(BytesOf(job))) {
    case MemoryBudget::Verdict::kNeverFits:
      return Reason::kJobTooLarge;
    case MemoryBudget::Verdict::kFull:
      return Reason::kHomeOverloaded;
    case MemoryBudget::Verdict::kFits:
      break;
  }
  return Reason::kNone;
}

void Home::SetDeclarations(Declarations declarations) {
  declarations_ = std::move(declarations);
  is_configured_ = true;
}

// Returns why the operators' declarations do not permit a job, or kNone.
Reason Home::DeclarationRefusal(const JobSpec& job) const {
  const size_t tasks = job.payloads.size();
  const auto service = declarations_.services.find(job.service);
  if (service != declarations_.services.end()) {
    const ServiceDeclaration& limits = service->second;
    const bool has_too_many =
        limits.max_tasks_per_job > 0 && tasks > limits.max_tasks_per_job;
    if (has_too_many) return Reason::kTooManyTasks;
    const bool is_too_long =
        limits.max_deadline > Millis(0) && job.deadline > limits.max_deadline;
    if (is_too_long) return Reason::kDeadlineTooLong;
  }
  if (declarations_.teams.empty()) return Reason::kNone;
  const auto team = declarations_.teams.find(job.team);
  if (team == declarations_.teams.end()) return Reason::kUnknownTeam;
  const uint32_t quota = team->second.max_open_tasks;
  if (tasks > quota) return Reason::kOverQuotaForGood;
  const auto open = open_tasks_.find(job.team);
  const size_t held = open == open_tasks_.end() ? 0 : open->second;
  return held + tasks > quota ? Reason::kTeamQuota : Reason::kNone;
}

Demand Home::DemandOf(const JobSpec& job) {
  return {job.service, job.zone, job.worker_kind};
}

void Home::Admit(uint64_t sequence, SubmitRequest request, Instant now) {
  Job& job = jobs_[sequence];
  job.sequence = sequence;
  job.memory = job_budget_.Take(BytesOf(request.job));
  job.digest = request.job.Digest();
  job.spec = std::move(request.job);
  job.tasks.resize(job.spec.payloads.size());
  job.open_tasks = static_cast<uint32_t>(job.tasks.size());
  job.accepted = now;
  job.deadline = now + std::min(job.spec.deadline, options_.max_deadline);
  job.finish_by = job.deadline + options_.final_reply_grace;
  deadlines_.insert({job.deadline, sequence});
  ++running_jobs_;
  waiting_tasks_ += job.tasks.size();
  open_tasks_[job.spec.team] += job.tasks.size();
  Backlog& backlog = backlogs_[DemandOf(job.spec)];
  for (uint32_t task = 0; task < job.tasks.size(); ++task) {
    backlog.Push(job.spec.team, {sequence, task});
  }
}

// Stores the refusal as the final answer for this id. Otherwise a late copy of
// the request could run after the caller received "not run".
void Home::RefusePermanently(uint64_t sequence, const SubmitRequest& request,
                             Reason reason, Instant now) {
  Job& job = jobs_[sequence];
  job.sequence = sequence;
  job.digest = request.job.Digest();
  job.spec.team = request.job.team;
  job.spec.service = request.job.service;
  job.spec.label = request.job.label;
  job.state = JobState::kRefused;
  job.reason = reason;
  job.accepted = now;
  job.ended = now;
  job.delivered = true;
  ended_jobs_.push_back(sequence);
  observer_->Refused(reason);
}

void Home::AnswerRefusal(uint64_t session, uint64_t request, Reason reason) {
  observer_->Refused(reason);
  JobAnswer answer;
  answer.state = JobState::kRefused;
  answer.reason = reason;
  actions_.emplace_back(SendAnswer{session, {request, std::move(answer)}});
}

void Home::OnQuery(uint64_t session, const QueryRequest& request, Instant now) {
  const auto found = jobs_.find(request.sequence);
  if (found != jobs_.end()) {
    AttachWaiter(&found->second, {session, request.request, now + request.wait},
                 now);
    return;
  }
  AnswerRefusal(session, request.request, MissingJobReason(request.sequence));
}

// Returns why no job exists under a sequence.
Reason Home::MissingJobReason(uint64_t sequence) const {
  switch (minter_.StateOf(sequence)) {
    case Minter::IdState::kNeverMinted:
      return Reason::kIdNotMinted;
    case Minter::IdState::kUsed:
      return Reason::kIdRetired;
    case Minter::IdState::kOpen:
      break;
  }
  return Reason::kNotHandedIn;
}

void Home::OnCancel(uint64_t session, const CancelRequest& request,
                    Instant now) {
  const uint64_t sequence = request.sequence;
  if (minter_.StateOf(sequence) == Minter::IdState::kOpen) {
    // No job was submitted yet. Storing the refusal makes sure that a later
    // submission under this id is refused.
    minter_.MarkUsed(sequence);
    RefusePermanently(sequence, {}, Reason::kCancelled, now);
  }
  const auto found = jobs_.find(sequence);
  if (found != jobs_.end() && found->second.state == JobState::kRunning) {
    Job& job = found->second;
    job.finish_by = std::min(job.finish_by, now + options_.final_reply_grace);
    deadlines_.insert({job.finish_by, sequence});
    StopJob(&job, Reason::kCancelled, now);
  }
  OnQuery(session, {request.request, sequence, request.wait}, now);
  Dispatch(now);
}

void Home::OnSessionClosed(uint64_t session) {
  for (auto& [sequence, job] : jobs_) {
    std::erase_if(job.waiters, [&](const Waiter& waiter) {
      return waiter.session == session;
    });
  }
}

void Home::AttachWaiter(Job* job, const Waiter& waiter, Instant now) {
  if (job->state != JobState::kRunning || waiter.reply_at <= now) {
    Deliver(job, waiter);
    return;
  }
  job->waiters.push_back(waiter);
  waiter_timeouts_.insert({waiter.reply_at, job->sequence});
}

void Home::Deliver(Job* job, const Waiter& waiter) {
  if (job->state != JobState::kRunning && !job->delivered) {
    job->delivered = true;
    --undelivered_;
  }
  JobAnswer answer = AnswerOf(*job);
  if (DispositionOf(answer.reason) == Disposition::kTryLater) {
    answer.retry_after = options_.retry_after;
  }
  actions_.emplace_back(
      SendAnswer{waiter.session, {waiter.request, std::move(answer)}});
}

JobAnswer Home::AnswerOf(const Job& job) {
  JobAnswer answer;
  answer.state = job.state;
  answer.reason = job.reason;
  if (job.state == JobState::kRunning) return answer;
  answer.results.reserve(job.tasks.size());
  for (const Task& task : job.tasks) answer.results.push_back(task.result);
  return answer;
}

// Executors.

void Home::OnMember(const MemberRecord& record, bool is_live, Instant now) {
  if (record.role == Role::kGuard) executors_.OnMember(record, is_live, now);
}

void Home::OnExecutorConnected(Address address, Incarnation incarnation,
                               Instant now) {
  const ExecutorEntry* executor = executors_.OnConnected(address, incarnation);
  if (!executor->open_grants.empty()) {
    // Replies may have been lost with the previous connection.
    RequestStatus(incarnation,
                  {executor->open_grants.begin(), executor->open_grants.end()},
                  false);
  }
  Dispatch(now);
}

void Home::OnExecutorDisconnected(Incarnation incarnation, Instant now) {
  ExecutorEntry* executor = executors_.Find(incarnation);
  if (executor == nullptr || !executor->is_connected) return;
  executor->is_connected = false;
  executor->disconnected_at = now;
}

void Home::OnExecutorTerminated(Incarnation incarnation, Instant now) {
  MarkGrantsUnknown(incarnation, Reason::kExecutorLost, now);
  executors_.Erase(incarnation);
  Dispatch(now);
}

void Home::MarkGrantsUnknown(Incarnation incarnation, Reason reason,
                             Instant now) {
  ExecutorEntry* executor = executors_.Find(incarnation);
  if (executor == nullptr) return;
  executor->unsent_grants.clear();
  const std::vector<GrantNumber> open(executor->open_grants.begin(),
                                      executor->open_grants.end());
  for (const GrantNumber number : open) {
    const TaskRef ref = grants_.at(number).task;
    CloseGrant(number);
    EndTask(&jobs_.at(ref.sequence), ref.task, Ended(Outcome::kUnknown, reason),
            now);
  }
}

void Home::OnReplies(Incarnation incarnation, GrantReplies replies,
                     Instant now) {
  ExecutorEntry* executor = executors_.Find(incarnation);
  if (executor == nullptr) return;
  ExecutorTable::OnLoad(executor, replies.load, now);
  for (GrantStatus& status : replies.statuses) {
    OnStatus(incarnation, std::move(status), now);
  }
  // A stopping guard exits once its results are acknowledged. The watermark of
  // this empty request acknowledges those that ended.
  if (replies.load.state == ServingState::kStopping) {
    RequestStatus(incarnation, {}, false);
  }
  Dispatch(now);
}

void Home::OnStatus(Incarnation incarnation, GrantStatus status, Instant now) {
  const auto grant = grants_.find(status.number);
  // A reply to an earlier attempt is ignored; only the open grant matters.
  if (grant == grants_.end() || grant->second.executor != incarnation) return;
  const TaskRef ref = grant->second.task;
  const Instant granted = grant->second.granted;
  Job& job = jobs_.at(ref.sequence);
  Task& task = job.tasks[ref.task];
  if (status.phase != GrantPhase::kEnded) {
    task.reported_running = status.phase == GrantPhase::kRunning;
    return;
  }
  CloseGrant(status.number);
  const bool is_returned = status.result.outcome == Outcome::kNotRun;
  if (is_returned && job.stop_reason == Reason::kNone &&
      status.result.reason != Reason::kDeadlinePassed) {
    ExecutorTable::OnRefusal(executors_.Find(incarnation), now);
    RequeueTask(ref, status.result.reason, now);
    return;
  }
  if (is_returned && job.stop_reason != Reason::kNone) {
    status.result.reason = job.stop_reason;
  }
  if (!is_returned) {
    executors_.OnGrantEnded(executors_.Find(incarnation), now - granted);
  }
  EndTask(&job, ref.task, std::move(status.result), now);
}

void Home::CloseGrant(GrantNumber number) {
  const auto grant = grants_.find(number);
  assert(grant != grants_.end());
  ExecutorEntry* executor = executors_.Find(grant->second.executor);
  if (executor != nullptr) executor->open_grants.erase(number);
  grants_.erase(grant);
}

void Home::RequeueTask(TaskRef ref, Reason reason, Instant /*now*/) {
  Job& job = jobs_.at(ref.sequence);
  Task& task = job.tasks[ref.task];
  task.phase = Phase::kWaiting;
  task.reported_running = false;
  task.grant = 0;
  ++waiting_tasks_;
  observer_->Retried(reason);
  backlogs_[DemandOf(job.spec)].PushFront(job.spec.team, ref);
}

// Grants to executors.

void Home::Dispatch(Instant now) {
  for (auto& [demand, backlog] : backlogs_) {
    while (DispatchNext(demand, &backlog, now)) {
    }
  }
}

// Removes the next task from a backlog and grants it if it still waits. Returns
// false if the backlog is empty or no executor has capacity.
bool Home::DispatchNext(const Demand& demand, Backlog* backlog, Instant now) {
  if (backlog->empty()) return false;
  Incarnation incarnation;
  ExecutorEntry* executor =
      executors_.Choose(demand, stopping_, now, &incarnation);
  if (executor == nullptr) return false;
  const TaskRef ref = backlog->Pop();
  const auto job = jobs_.find(ref.sequence);
  // The backlog still contains tasks that ended while waiting; skip them.
  if (job == jobs_.end()) return true;
  if (job->second.tasks.empty()) return true;
  if (job->second.tasks[ref.task].phase != Phase::kWaiting) return true;
  GrantTo(incarnation, executor, ref, now);
  return true;
}

void Home::GrantTo(Incarnation incarnation, ExecutorEntry* executor,
                   TaskRef ref, Instant now) {
  Job& job = jobs_.at(ref.sequence);
  Task& task = job.tasks[ref.task];
  assert(task.phase == Phase::kWaiting);
  assert(job.stop_reason == Reason::kNone);
  const GrantNumber number = next_grant_++;
  task.phase = Phase::kGranted;
  task.grant = number;
  ++task.attempts;
  --waiting_tasks_;
  grants_[number] = {ref, incarnation, now, now};
  executor->open_grants.insert(number);
  const auto remaining = std::chrono::duration_cast<Millis>(job.deadline - now);
  executor->unsent_grants.push_back({number, std::max(remaining, Millis(1)),
                                     job.spec.service,
                                     job.spec.payloads[ref.task]});
}

GrantNumber Home::WatermarkOf(const ExecutorEntry& executor) const {
  return executor.open_grants.empty() ? next_grant_
                                      : *executor.open_grants.begin();
}

void Home::RequestStatus(Incarnation incarnation,
                         std::vector<GrantNumber> numbers, bool withdraw) {
  const ExecutorEntry* executor = executors_.Find(incarnation);
  if (executor == nullptr) return;
  actions_.emplace_back(SendAsk{
      incarnation,
      {WatermarkOf(*executor), incarnation, withdraw, std::move(numbers)}});
}

std::vector<HomeAction> Home::TakeActions() {
  std::vector<HomeAction> actions;
  // Grants are sent before status requests about them.
  for (auto& [incarnation, executor] : executors_.entries()) {
    if (executor.unsent_grants.empty()) continue;
    actions.emplace_back(
        SendGrants{incarnation,
                   {WatermarkOf(executor), incarnation,
                    std::exchange(executor.unsent_grants, {})}});
  }
  std::move(actions_.begin(), actions_.end(), std::back_inserter(actions));
  actions_.clear();
  return actions;
}

// The end of tasks and jobs.

void Home::EndTask(Job* job, uint32_t index, TaskResult result, Instant now) {
  Task& task = job->tasks[index];
  assert(task.phase != Phase::kEnded);
  if (task.phase == Phase::kWaiting) --waiting_tasks_;
  task.phase = Phase::kEnded;
  task.result = std::move(result);
  --job->open_tasks;
  const auto team = open_tasks_.find(job->spec.team);
  assert(team != open_tasks_.end() && team->second > 0);
  if (--team->second == 0) open_tasks_.erase(team);
  observer_->TaskEnded(task.result.outcome, task.result.reason);
  const bool succeeded = task.result.outcome == Outcome::kDone;
  if (!succeeded && job->reason == Reason::kNone) {
    job->reason = task.result.reason;
  }
  if (job->open_tasks == 0) {
    FinishJob(job, now);
  } else if (!succeeded && job->spec.on_failure == OnFailure::kStop) {
    StopJob(job, Reason::kJobStopped, now);
  }
}

// Ends the waiting tasks of the job as not run. The granted ones are withdrawn
// from their executors and end with the executors' replies.
void Home::StopJob(Job* job, Reason reason, Instant now) {
  if (job->stop_reason != Reason::kNone) return;
  job->stop_reason = reason;
  std::map<Incarnation, std::vector<GrantNumber>> withdrawn;
  for (const Task& task : job->tasks) {
    if (task.phase != Phase::kGranted) continue;
    withdrawn[grants_.at(task.grant).executor].push_back(task.grant);
  }
  for (auto& [executor, numbers] : withdrawn) {
    RequestStatus(executor, std::move(numbers), true);
  }
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    if (job->tasks[i].phase != Phase::kWaiting) continue;
    EndTask(job, i, Ended(Outcome::kNotRun, reason), now);
  }
}

// Ends the granted tasks of the job as unknown: their executors did not report
// an end within `final_reply_grace`.
void Home::AbandonOpenTasks(Job* job, Instant now) {
  const Reason running_reason = job->stop_reason == Reason::kCancelled
                                    ? Reason::kRunningAtCancel
                                    : Reason::kRunningAtDeadline;
  for (uint32_t i = 0; i < job->tasks.size(); ++i) {
    Task& task = job->tasks[i];
    if (task.phase != Phase::kGranted) continue;
    const Reason reason =
        task.reported_running ? running_reason : Reason::kExecutorUnreachable;
    CloseGrant(task.grant);
    EndTask(job, i, Ended(Outcome::kUnknown, reason), now);
  }
}

void Home::FinishJob(Job* job, Instant now) {
  assert(job->state == JobState::kRunning);
  const bool complete = job->reason == Reason::kNone;
  job->state = complete ? JobState::kComplete : JobState::kFailed;
  job->ended = now;
  job->spec.payloads.clear();
  job->spec.payloads.shrink_to_fit();
  for (Task& task : job->tasks) {
    // A failed job returns no task outputs, so that a caller cannot mistake
    // partial results for the complete answer.
    if (!complete) task.result.output = std::string();
    job->answer_bytes += task.result.output.size() + sizeof(Task);
  }
  job->memory.reset();
  --running_jobs_;
  ++undelivered_;
  kept_answer_bytes_ += job->answer_bytes;
  ended_jobs_.push_back(job->sequence);
  observer_->JobEnded(job->state,
                      std::chrono::duration_cast<Millis>(now - job->accepted));
  for (const Waiter& waiter : std::exchange(job->waiters, {})) {
    Deliver(job, waiter);
  }
}

// Timers.

void Home::OnTimer(Instant now) {
  minter_.OnTimer(now);
  executors_.OnTimer(now);
  CheckDeadlines(now);
  CheckWaiters(now);
  CheckExecutors(now);
  RetireAnswers(now);
  Dispatch(now);
}

void Home::CheckDeadlines(Instant now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t sequence = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = jobs_.find(sequence);
    if (found == jobs_.end()) continue;
    Job& job = found->second;
    if (job.state != JobState::kRunning) continue;
    if (now >= job.finish_by) {
      StopJob(&job, Reason::kDeadlinePassed, now);
      if (job.state == JobState::kRunning) {
        AbandonOpenTasks(&job, now);
      }
    } else if (now >= job.deadline) {
      deadlines_.insert({job.finish_by, sequence});
      StopJob(&job, Reason::kDeadlinePassed, now);
    }
  }
}

void Home::CheckWaiters(Instant now) {
  while (!waiter_timeouts_.empty() && waiter_timeouts_.begin()->first <= now) {
    const uint64_t sequence = waiter_timeouts_.begin()->second;
    waiter_timeouts_.erase(waiter_timeouts_.begin());
    const auto found = jobs_.find(sequence);
    if (found == jobs_.end()) continue;
    Job& job = found->second;
    const auto expired = std::stable_partition(
        job.waiters.begin(), job.waiters.end(),
        [&](const Waiter& w) { return w.reply_at > now; });
    const std::vector<Waiter> due(expired, job.waiters.end());
    job.waiters.erase(expired, job.waiters.end());
    for (const Waiter& waiter : due) Deliver(&job, waiter);
  }
}

void Home::CheckExecutors(Instant now) {
  std::vector<Incarnation> lost;
  for (auto& [incarnation, executor] : executors_.entries()) {
    Instant since;
    if (executor.IsUnreachable(&since)) {
      const bool is_overdue =
          now - since >= options_.unreachable_executor_timeout;
      if (is_overdue && !executor.open_grants.empty()) {
        lost.push_back(incarnation);
      }
      continue;
    }
    std::vector<GrantNumber> overdue;
    for (const GrantNumber number : executor.open_grants) {
      OpenGrant& grant = grants_.at(number);
      if (now - grant.last_status_request < options_.status_request_interval) {
        continue;
      }
      grant.last_status_request = now;
      overdue.push_back(number);
    }
    if (!overdue.empty()) RequestStatus(incarnation, std::move(overdue), false);
  }
  for (const Incarnation incarnation : lost) {
    MarkGrantsUnknown(incarnation, Reason::kExecutorUnreachable, now);
  }
}

void Home::RetireAnswers(Instant now) {
  while (!ended_jobs_.empty()) {
    const auto found = jobs_.find(ended_jobs_.front());
    assert(found != jobs_.end());
    const Job& job = found->second;
    const bool is_old = now - job.ended >= options_.answer_retention;
    if (!is_old && kept_answer_bytes_ <= options_.max_answer_bytes) return;
    kept_answer_bytes_ -= job.answer_bytes;
    if (!job.delivered) --undelivered_;
    jobs_.erase(found);
    ended_jobs_.pop_front();
  }
}

// Operators' queries.

std::vector<JobRow> Home::Jobs(Instant now) const {
  std::vector<JobRow> rows;
  rows.reserve(jobs_.size());
  for (const auto& [sequence, job] : jobs_) {
    JobRow row;
    row.sequence = sequence;
    row.team = job.spec.team;
    row.service = job.spec.service;
    row.label = job.spec.label;
    row.state = job.state;
    row.reason = job.reason;
    row.age = std::chrono::duration_cast<Millis>(now - job.accepted);
    row.tasks = static_cast<uint32_t>(job.tasks.size());
    for (const Task& task : job.tasks) {
      row.waiting += task.phase == Phase::kWaiting ? 1 : 0;
      row.granted += task.phase == Phase::kGranted ? 1 : 0;
      if (task.phase != Phase::kEnded) continue;
      row.done += task.result.outcome == Outcome::kDone ? 1 : 0;
      row.failed += task.result.outcome == Outcome::kFailed ? 1 : 0;
      row.not_run += task.result.outcome == Outcome::kNotRun ? 1 : 0;
      row.unknown += task.result.outcome == Outcome::kUnknown ? 1 : 0;
    }
    rows.push_back(std::move(row));
  }
  std::sort(rows.begin(), rows.end(), [](const JobRow& a, const JobRow& b) {
    return a.sequence < b.sequence;
  });
  return rows;
}

std::vector<TaskRow> Home::Tasks(uint64_t sequence) const {
  std::vector<TaskRow> rows;
  const auto found = jobs_.find(sequence);
  if (found == jobs_.end()) return rows;
  const Job& job = found->second;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    const Task& task = job.tasks[i];
    TaskRow row{sequence, i, "waiting", task.result.reason, task.attempts, {}};
    if (task.phase == Phase::kEnded) {
      row.state = OutcomeName(task.result.outcome);
    } else if (task.phase == Phase::kGranted) {
      row.state = task.reported_running ? "running" : "granted";
      const ExecutorEntry* executor =
          executors_.Find(grants_.at(task.grant).executor);
      if (executor != nullptr) row.executor = executor->address;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace qs
