#include "held/run_supervisor.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>

#include "held/announcement_order.h"
#include "held/decision_log.h"
#include "held/job_budget.h"

namespace qs {
namespace {

// A start call that gets no answer is repeated until this many were sent. After
// that, the supervisor waits until the start's deadline has passed.
constexpr uint32_t kMaxStartCalls = 3;
// No start is sent for this long after the worker refused one for lack of
// capacity, since the supervisor's own count does not explain the refusal.
constexpr Millis kCapacityRefusalPause{40};
constexpr Millis kPollRetryDelay{50};
// The worker returns at most this many ends in one answer; further ends may be
// pending then.
constexpr size_t kMaxEndsPerPoll = 500;
// On a slow worker, a run is a straggler when its remaining time exceeds this
// many estimates plus the floor, since a new run on another worker needs about
// one estimate.
constexpr int kStragglerFactor = 2;
constexpr Millis kStragglerFloor{150};
// Runs younger than this, or fewer runs than this, say little about the speed
// of a worker and are not used to estimate it.
constexpr Millis kMinSampleAge{100};
constexpr size_t kMinSamples = 3;
// When the head of the queue does not fit into the free capacity, tasks behind
// it may start first. The search ends when this many tasks behind the head do
// not fit either.
constexpr size_t kLookAhead = 4;
// Announced successors of the worker that are remembered, and for how long.
constexpr size_t kMaxSuccessors = 4;
constexpr Millis kSuccessorLifetime{5000};

Reason ReasonOf(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kFenced:
      return Reason::kFenced;
    case WorkerVerdict::kStaleAttempt:
      return Reason::kStaleAttempt;
    case WorkerVerdict::kTooLate:
      return Reason::kOrderLate;
    case WorkerVerdict::kNoCapacity:
      return Reason::kExecutorQueueFull;
    case WorkerVerdict::kUnhealthy:
      return Reason::kBreakerOpen;
    case WorkerVerdict::kOtherIncarnation:
      return Reason::kBackendAbsent;
    case WorkerVerdict::kRejected:
      return Reason::kBackendRejected;
    case WorkerVerdict::kAccepted:
    case WorkerVerdict::kUnreachable:
    case WorkerVerdict::kNotSent:
    case WorkerVerdict::kNoAnswer:
      break;
  }
  return Reason::kBackendUnreachable;
}

bool HasSameOffer(const WorkerAnnouncement& a, const WorkerAnnouncement& b) {
  return a.service == b.service && a.rack == b.rack && a.labels == b.labels &&
         a.capacity == b.capacity;
}

}  // namespace

std::string_view EndEvidenceName(EndEvidence evidence) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "not_sent",        "start_refused", "end_listed",   "not_listed",
      "deadline_passed", "worker_gone",   "lease_expired"};
  return kNames.at(static_cast<size_t>(evidence));
}

std::string_view WorkerVerdictName(WorkerVerdict verdict) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "accepted",    "fenced",    "stale_attempt", "too_late",
      "no_room",     "unhealthy", "other_life",    "rejected",
      "unreachable", "no_answer", "not_sent"};
  return kNames.at(static_cast<size_t>(verdict));
}

RunSupervisor::RunSupervisor(const RunSupervisorOptions& options,
                             uint64_t fence, DecisionLog* log, Instant now)
    : options_(options),
      fence_(fence),
      log_(log),
      started_(now),
      unsettled_since_(now),
      next_long_poll_at_(now),
      last_answer_(now - options.silent_after),
      last_renewal_(now),
      clock_(options.longest_lease),
      health_(options.health),
      losses_(options.losses, log),
      neighbours_(options.neighbours),
      run_budget_({options.max_run_bytes, options.max_run_bytes, 0}) {
  assert(options.home_lease < options.unstopped_run_limit);
  assert(options.unstopped_run_limit <= kUnstoppedRunLimit);
  assert(options.silent_after <= kOldestClockReading);
  assert(options.renew_until <= options.silent_after);
}

// Events of the worker.

void RunSupervisor::OnAnnouncement(const WorkerAnnouncement& announcement,
                                   Instant now) {
  if (announcement.is_draining) {
    losses_.OnLeave(announcement.incarnation, LossEvidence::kDraining, now);
  }
  if (!worker_) {
    BeginIncarnation(announcement, now);
    return;
  }
  if (worker_->incarnation != announcement.incarnation) {
    AddSuccessor(announcement, now);
    return;
  }
  // A delayed heartbeat carries an older state of the worker.
  const AnnouncementOrder order =
      OrderOf(announcement, *worker_, clock_.At(now));
  if (order == AnnouncementOrder::kOtherWriter) {
    log_->Record(
        "announcement_ignored",
        {{"worker", announcement.incarnation.id},
         {"sequence", Text(announcement.sequence)},
         {"clock", announcement.worker_clock ? Text(*announcement.worker_clock)
                                             : "none"},
         {"reason", "other_writer"}});
  }
  if (order != AnnouncementOrder::kNewer) return;
  const bool began_draining = announcement.is_draining && !worker_->is_draining;
  const bool has_other_capacity = announcement.capacity != worker_->capacity;
  if (!HasSameOffer(announcement, *worker_)) ++offer_version_;
  // A withdrawal without a start time was a late one of an earlier incarnation.
  if (!is_withdrawal_certain_) is_withdrawn_ = false;
  worker_ = announcement;
  if (began_draining) {
    log_->Record("worker_draining", {{"worker", worker_->incarnation.id},
                                     {"sequence", Text(worker_->sequence)},
                                     {"runs", Text(runs_.size())}});
    EndQueuedRuns(Reason::kExecutorDraining);
  }
  if (has_other_capacity) OnCapacityChanged(now);
  MarkLoadChanged();
}

// The announcement may be a late one of an earlier incarnation, come from
// another writer, or be sent while the present incarnation still ends. The
// worker is asked which one it is.
void RunSupervisor::AddSuccessor(const WorkerAnnouncement& announcement,
                                 Instant now) {
  const bool is_known =
      std::erase_if(successors_, [&](const Successor& other) {
        return other.announcement.incarnation == announcement.incarnation;
      }) > 0;
  if (successors_.size() >= kMaxSuccessors) {
    successors_.erase(successors_.begin());
  }
  successors_.push_back({announcement, now});
  if (is_known) return;
  log_->Record("successor_announced",
               {{"worker", announcement.incarnation.id},
                {"started_at", Text(announcement.incarnation.started_at)},
                {"present", worker_->incarnation.id},
                {"present_started_at", Text(worker_->incarnation.started_at)},
                {"runs", Text(runs_.size())}});
  must_poll_now_ = true;
  next_long_poll_at_ = std::min(next_long_poll_at_, now);
}

bool RunSupervisor::IsSuccessor(const WorkerIncarnation& incarnation) const {
  return std::any_of(successors_.begin(), successors_.end(),
                     [&](const Successor& other) {
                       return other.announcement.incarnation == incarnation;
                     });
}

void RunSupervisor::BeginSuccessor(
    const std::function<bool(const WorkerIncarnation&)>& may_follow,
    Instant now) {
  std::erase_if(successors_, [&](const Successor& successor) {
    return now - successor.announced_at > kSuccessorLifetime ||
           !may_follow(successor.announcement.incarnation);
  });
  if (successors_.empty()) return;
  const WorkerAnnouncement next = std::move(successors_.back().announcement);
  successors_.pop_back();
  BeginIncarnation(next, now);
}

void RunSupervisor::OnCapacityChanged(Instant now) {
  log_->Record("capacity_changed",
               {{"worker", worker_->incarnation.id},
                {"cpu_millis", std::to_string(worker_->capacity.cpu_millis)},
                {"memory_mb", std::to_string(worker_->capacity.memory_mb)},
                {"used_cpu_millis", std::to_string(used_.cpu_millis)},
                {"queued", Text(queue_.size())}});
  const std::vector<RunKey> queued = queue_;
  for (const RunKey& key : queued) {
    if (runs_.at(key).order.need.FitsIn(worker_->capacity)) continue;
    EndRun(key, RunOutcome::kNotStarted, Reason::kConstraintUnmet, Millis(0),
           EndEvidence::kNotSent);
  }
  is_capacity_freed_ = true;
  StartReady(now);
}

void RunSupervisor::BeginIncarnation(const WorkerAnnouncement& announcement,
                                     Instant now) {
  worker_ = announcement;
  ++offer_version_;
  last_end_number_ = 0;
  has_answered_ = false;
  next_long_poll_at_ = now;
  // Runs that are kept may be carried out here under a lease of its own.
  last_answer_ = now;
  health_ = WorkerHealth(options_.health);
  // The raised token makes the new incarnation refuse calls that were sent to
  // the former one and arrive late.
  fence_.Raise();
  log_->Record("worker_up",
               {{"worker", worker_->incarnation.id},
                {"started_at", Text(worker_->incarnation.started_at)},
                {"service", worker_->service},
                {"fence", Text(fence_.value())},
                {"runs", Text(runs_.size())}});
  for (auto& [key, run] : runs_) CallStop(&run, now);
  MarkLoadChanged();
}

// The worker ends soon after it has sent its withdrawal. Until then its runs go
// on, so they are tracked until their end is certain.
void RunSupervisor::OnWithdrawn(const WorkerIncarnation& incarnation,
                                Instant now) {
  losses_.OnLeave(incarnation, LossEvidence::kWithdrawn, now);
  const bool is_present =
      worker_ && worker_->incarnation.id == incarnation.id &&
      (incarnation.started_at == 0 ||
       incarnation.started_at == worker_->incarnation.started_at);
  if (!is_present) {
    log_->Record(
        "withdrawal_ignored",
        {{"worker", incarnation.id},
         {"started_at", Text(incarnation.started_at)},
         {"present", Text(worker_ ? worker_->incarnation.started_at : 0)}});
    return;
  }
  log_->Record("worker_withdrawn",
               {{"worker", incarnation.id},
                {"started_at", Text(incarnation.started_at)},
                {"runs", Text(runs_.size())}});
  is_withdrawn_ = true;
  is_withdrawal_certain_ = incarnation.started_at != 0;
  GiveUpWorker(now);
}

// Gives back the queued runs. The worker is forgotten, and not polled any more,
// if no other runs are tracked.
void RunSupervisor::GiveUpWorker(Instant now) {
  EndQueuedRuns(Reason::kBackendAbsent);
  if (runs_.empty()) {
    EndIncarnation({}, now);
    BeginSuccessor([](const WorkerIncarnation&) { return true; }, now);
  }
  CheckWorker(now);
}

// Called when no run of the current incarnation of the worker can still be
// running. A next incarnation with the same id may carry out starts that were
// sent to the current one, until it knows the raised fencing token. Runs with
// such starts are kept and stopped there.
void RunSupervisor::EndIncarnation(std::string_view next_id, Instant now) {
  // An incarnation that never answered got no start.
  if (has_answered_) EndRunsOfIncarnation(next_id, now);
  neighbours_.OnWorkerReplaced();
  worker_.reset();
  has_answered_ = false;
  lease_end_ = Millis(0);
  ++offer_version_;
  clock_.Reset();
  ++worker_generation_;
  long_poll_in_flight_ = false;
  immediate_poll_in_flight_ = false;
  refuses_connections_ = false;
  is_withdrawn_ = false;
  MarkLoadChanged();
}

void RunSupervisor::EndRunsOfIncarnation(std::string_view next_id,
                                         Instant now) {
  SuspectLoss(LossEvidence::kOtherIncarnation, now);
  std::vector<RunKey> ended;
  for (auto& [key, run] : runs_) {
    if (run.open_start_calls == 0 || run.worker_id != next_id) {
      ended.push_back(key);
      continue;
    }
    if (run.phase != Phase::kStopping) {
      run.phase = Phase::kStopping;
      run.stop_reason = LostReason();
      run.stop_began_at = now;
    }
    run.may_have_started = true;
    run.stop_confirmed = false;
    run.start_deadline.reset();
    run.stale_since.reset();
    LimitRun(&run, now);
  }
  for (const RunKey& key : ended) EndLostRun(key, EndEvidence::kWorkerGone);
}

// The worker refuses calls that name another id, so that no start to one can
// still be carried out.
void RunSupervisor::OnFirstAnswer() {
  std::vector<RunKey> ended;
  for (const auto& [key, run] : runs_) {
    if (run.phase != Phase::kQueued &&
        run.worker_id != worker_->incarnation.id) {
      ended.push_back(key);
    }
  }
  for (const RunKey& key : ended) EndLostRun(key, EndEvidence::kWorkerGone);
}

std::optional<Millis> RunSupervisor::LeaseDeadline(Instant now) const {
  const std::optional<Millis> worker_now = clock_.At(now);
  if (!worker_now) return std::nullopt;
  const Millis allowed = Elapsed(now, LeaseLimit(now));
  if (allowed <= Millis(0)) return std::nullopt;
  return *worker_now + allowed;
}

Instant RunSupervisor::LeaseLimit(Instant now) const {
  Instant limit =
      now + std::min(options_.longest_lease, options_.renewed_lease);
  for (const auto& [key, run] : runs_) {
    if (run.must_end_by) limit = std::min(limit, *run.must_end_by);
    const auto session = sessions_.find(run.session);
    assert(run.must_end_by || session != sessions_.end());
    if (session == sessions_.end()) continue;
    limit = std::min(limit,
                     EchoTime(session->second) + options_.unstopped_run_limit);
  }
  return limit;
}

void RunSupervisor::LimitRun(Run* run, Instant since) const {
  const Instant end_by = since + options_.unstopped_run_limit;
  run->must_end_by = std::min(run->must_end_by.value_or(end_by), end_by);
}

void RunSupervisor::NoteRenewal(Millis deadline, Instant now) {
  last_renewal_ = now;
  lease_end_ = std::max(lease_end_, deadline);
}

bool RunSupervisor::DoesLeaseOutlast(Instant limit, Instant now) const {
  const std::optional<Millis> worker_now = clock_.At(now);
  return worker_now && lease_end_ > *worker_now + Elapsed(now, limit);
}

Millis RunSupervisor::LeaseLeft(Instant now) const {
  return lease_end_ - clock_.At(now).value_or(Millis(0));
}

void RunSupervisor::OnFenced(uint64_t refused_fence) {
  if (!fence_.OnRefused(refused_fence)) return;
  log_->Record("fence_raised", {{"refused", Text(refused_fence)},
                                {"fence", Text(fence_.value())}});
}

// Events of the homes.

void RunSupervisor::OnSessionUp(uint64_t session, Incarnation home,
                                Instant now) {
  // The home may reconnect before the end of its older connection is noticed.
  // The runs of that session are stopped, and the session is removed so that
  // its unread frames are ignored.
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    if (entry->second.home == home) {
      LimitRunsOfSession(entry->first, EchoTime(entry->second));
      StopRunsOfHome(home, Reason::kHomeSilent, now);
      entry = sessions_.erase(entry);
    } else {
      ++entry;
    }
  }
  HomeSession& state = sessions_[session];
  state.home = home;
  state.must_report_now = true;
}

void RunSupervisor::OnSessionDown(uint64_t session, Instant now) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  const Incarnation home = found->second.home;
  LimitRunsOfSession(session, EchoTime(found->second));
  sessions_.erase(found);
  StopRunsOfHome(home, Reason::kHomeSilent, now);
}

void RunSupervisor::OnOrders(uint64_t session, RunOrders orders, Instant now) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  HomeSession& home = found->second;
  // The lease may have lapsed since the last timer event. A newer echo does not
  // revive what the home counts as ended.
  CheckHome(session, home, now);
  if (orders.echo >= home.echo) {
    home.echo = orders.echo;
    home.has_echo = true;
  }
  home.waiting_work = orders.waiting_work;
  home.waiting_work_received_at = now;
  home.wants_running = orders.wants_running;
  home.known_evacuations =
      std::max(home.known_evacuations, orders.evacuations.revision());
  OnEvacuations(orders.evacuations);
  for (RunOrder& order : orders.orders) {
    AcceptOrder(session, &home, std::move(order), now);
    // Starts a run that fits before the next order is checked, so that it does
    // not count as queued there.
    StartReady(now);
  }
  for (const uint64_t number : orders.stops) {
    const auto run = runs_.find({home.home, number});
    if (run == runs_.end()) continue;
    // The order may have been held up; the home sent it after the report that
    // it echoes.
    LimitRun(&run->second, std::min(now, TimeOfStamp(orders.echo)));
    StopRun(&run->second, Reason::kWithdrawn, now);
  }
  StartReady(now);
}

void RunSupervisor::OnEvacuations(const Evacuations& evacuations) {
  const std::set<std::string> former = evacuations_.zones();
  if (!evacuations_.AdoptIfNewer(evacuations)) return;
  if (evacuations_.zones() == former) return;
  const size_t orders = queue_.size() + waiting_.size();
  log_->Record(
      "zones_evacuated",
      {{"revision", Text(evacuations_.revision())},
       {"zones", evacuations_.ToText()},
       {"own_zone", evacuations_.Contains(options_.zone) ? "yes" : "no"},
       {"orders", Text(orders)},
       {"runs", Text(runs_.size() - orders)}});
  const Reason refusal = ZoneRefusal();
  if (refusal != Reason::kNone) EndQueuedRuns(refusal);
  for (auto& [session, home] : sessions_) {
    if (home.known_evacuations < evacuations_.revision()) {
      home.must_report_now = true;
    }
  }
}

Reason RunSupervisor::ZoneRefusal() const {
  if (!evacuations_.is_known()) return Reason::kNoConfiguration;
  return evacuations_.Contains(options_.zone) ? Reason::kZoneEvacuated
                                              : Reason::kNone;
}

void RunSupervisor::AcceptOrder(uint64_t session, HomeSession* home,
                                RunOrder order, Instant now) {
  const RunKey key{home->home, order.number};
  if (order.number <= home->seen_order || runs_.contains(key)) return;
  home->seen_order = order.number;
  const bool must_wait = HasRunOf(order.task);
  Reason refusal = RefusalFor(order, now);
  // An order that is refused is sent elsewhere, where it would start while the
  // present run goes on.
  if (must_wait && (refusal == Reason::kExecutorQueueFull ||
                    refusal == Reason::kGuardFull)) {
    refusal = Reason::kNone;
  }
  if (refusal == Reason::kNone && !IsHomeLeaseValid(*home, now)) {
    refusal = Reason::kHomeSilent;
  }
  if (refusal == Reason::kNone && order.max_per_worker > 0 &&
      CountRunsOfStep(home->home, order.step_tag) >= order.max_per_worker) {
    refusal = Reason::kConstraintUnmet;
  }
  if (refusal != Reason::kNone) {
    home->ends.push_back(
        {order.number, RunOutcome::kNotStarted, refusal, Millis(0)});
    home->must_report_now = true;
    log_->Record("run_refused", {{"task", order.task},
                                 {"attempt", Text(order.attempt)},
                                 {"session", Text(session)},
                                 {"reason", std::string(ReasonName(refusal))}});
    return;
  }
  Run run;
  run.memory = run_budget_.Take(BytesOfRun(order));
  run.key = key;
  run.session = session;
  run.received_at = now;
  run.start_by = now + order.slack;
  run.useful_by = now + order.remaining;
  run.is_stale = run_by_task_.contains({order.task, order.attempt});
  run.order = std::move(order);
  Run* accepted = &runs_.emplace(key, std::move(run)).first->second;
  if (!must_wait) {
    Enqueue(accepted);
    TrimQueue();
    return;
  }
  waiting_.push_back(key);
  log_->Record("order_waits", {{"task", accepted->order.task},
                               {"attempt", Text(accepted->order.attempt)},
                               {"session", Text(session)},
                               {"reason", "earlier_run"}});
}

bool RunSupervisor::HasRunOf(const std::string& task) const {
  const auto first = run_by_task_.lower_bound({task, 0});
  return first != run_by_task_.end() && first->first.first == task;
}

// A run that must be alone goes last. No order is accepted after it, so that
// none delays it, and none waits until it has ended.
void RunSupervisor::Enqueue(Run* run) {
  run_by_task_[{run->order.task, run->order.attempt}] = run->key;
  MarkLoadChanged();
  if (run->order.must_run_alone) {
    lone_run_ = run->key;
    queue_.push_back(run->key);
    return;
  }
  const auto place =
      std::upper_bound(queue_.begin(), queue_.end(), run->start_by,
                       [this](Instant start_by, const RunKey& other) {
                         return start_by < runs_.at(other).start_by;
                       });
  queue_.insert(place, run->key);
}

void RunSupervisor::QueueWaiting() {
  const std::vector<RunKey> waiting = waiting_;
  for (const RunKey& key : waiting) {
    Run& run = runs_.at(key);
    if (HasRunOf(run.order.task)) continue;
    if (run.order.must_run_alone && lone_run_) continue;
    if (run.is_stale) {
      EndRun(key, RunOutcome::kNotStarted, Reason::kStaleAttempt, Millis(0),
             EndEvidence::kNotSent);
      continue;
    }
    // The capacity may have shrunk while the order waited.
    if (worker_ && !run.order.need.FitsIn(worker_->capacity)) {
      EndRun(key, RunOutcome::kNotStarted, Reason::kConstraintUnmet, Millis(0),
             EndEvidence::kNotSent);
      continue;
    }
    std::erase(waiting_, key);
    Enqueue(&run);
  }
}

Reason RunSupervisor::RefusalFor(const RunOrder& order, Instant now) const {
  const Reason refusal = RefusalOf(state(now));
  if (refusal != Reason::kNone) return refusal;
  if (ZoneRefusal() != Reason::kNone) return ZoneRefusal();
  if (order.service != worker_->service) return Reason::kWrongService;
  if (!order.need.FitsIn(worker_->capacity)) return Reason::kConstraintUnmet;
  if (lone_run_) return Reason::kExecutorQueueFull;
  if (!HasMemoryFor(order)) return Reason::kGuardFull;
  const bool starts_now = queue_.empty() && HasRoomFor(order);
  if (starts_now) return Reason::kNone;
  // While the breaker is open, an order is accepted only if it can start now,
  // as the probe.
  if (health_.is_open()) return Reason::kBreakerOpen;
  const int64_t limit =
      worker_->capacity.cpu_millis * options_.queue_percent / 100;
  // Less urgent runs give way in the queue.
  return QueuedCpu(now + order.slack) >= limit ? Reason::kExecutorQueueFull
                                               : Reason::kNone;
}

bool RunSupervisor::HasMemoryFor(const RunOrder& order) const {
  return runs_.size() < options_.max_runs &&
         run_budget_.Judge(BytesOfRun(order)) == MemoryBudget::Verdict::kFits;
}

void RunSupervisor::TrimQueue() {
  const int64_t limit =
      worker_->capacity.cpu_millis * options_.queue_percent / 100;
  while (!queue_.empty()) {
    const RunKey last = queue_.back();
    const Run& run = runs_.at(last);
    if (lone_run_ == last) return;
    if (QueuedCpu() - run.order.need.cpu_millis < limit) return;
    EndRun(last, RunOutcome::kNotStarted, Reason::kExecutorQueueFull, Millis(0),
           EndEvidence::kNotSent);
  }
}

bool RunSupervisor::HasRoomFor(const RunOrder& order) const {
  if (order.must_run_alone && HasStartedRuns()) return false;
  if (lone_run_ && runs_.at(*lone_run_).phase != Phase::kQueued) return false;
  return order.need.FitsIn(FreeCapacity());
}

Resources RunSupervisor::FreeCapacity() const {
  Resources room = worker_->capacity;
  room -= used_;
  return room;
}

uint32_t RunSupervisor::CountRunsOfStep(Incarnation home,
                                        uint32_t step_tag) const {
  uint32_t count = 0;
  for (auto run = runs_.lower_bound({home, 0});
       run != runs_.end() && run->first.home == home; ++run) {
    if (run->second.order.step_tag == step_tag) ++count;
  }
  return count;
}

bool RunSupervisor::IsHomeLeaseValid(const HomeSession& home,
                                     Instant now) const {
  if (!home.has_echo) return false;
  return ReportStamp(now) <=
         home.echo + static_cast<uint64_t>(options_.home_lease.count());
}

Instant RunSupervisor::EchoTime(const HomeSession& home) const {
  return home.has_echo ? TimeOfStamp(home.echo) : started_;
}

Instant RunSupervisor::TimeOfStamp(uint64_t stamp) const {
  return started_ + Millis(stamp) - Millis(1);
}

uint64_t RunSupervisor::ReportStamp(Instant now) const {
  // Stamps begin at one, because an echo of zero means "no report received
  // yet".
  return static_cast<uint64_t>(Elapsed(started_, now).count()) + 1;
}

// Starting.

void RunSupervisor::StartReady(Instant now) {
  QueueWaiting();
  if (ZoneRefusal() != Reason::kNone) return;
  if (!worker_ || now < capacity_refused_until_) return;
  if (state(now) != ServingState::kServing) return;
  size_t passed_over = 0;
  for (size_t i = 0; i < queue_.size() && passed_over <= kLookAhead;) {
    Run& run = runs_.at(queue_[i]);
    const auto home = sessions_.find(run.session);
    if (home == sessions_.end() || !IsHomeLeaseValid(home->second, now)) {
      ++i;  // CheckHomes ends the run as not started.
      continue;
    }
    if (DoesLeaseOutlast(EchoTime(home->second) + options_.unstopped_run_limit,
                         now)) {
      ++i;
      continue;
    }
    if (!HasRoomFor(run.order)) {
      // Smaller tasks must not delay a large one past the time by which it must
      // start.
      if (now >= run.start_by) return;
      ++passed_over;
      ++i;
      continue;
    }
    if (!health_.Allow(now)) return;
    queue_.erase(queue_.begin() + static_cast<ptrdiff_t>(i));
    used_ += run.order.need;
    run.phase = Phase::kStarting;
    CallStart(&run, now);
    MarkLoadChanged();
  }
}

void RunSupervisor::CallStart(Run* run, Instant now) {
  const Millis deadline = LeaseDeadline(now).value_or(Millis(0));
  assert(worker_.has_value());
  // A later call may have an earlier deadline if the lease must not be extended
  // any more.
  run->start_deadline =
      std::max(run->start_deadline.value_or(deadline), deadline);
  run->start_sent_at = now;
  ++run->start_calls;
  ++run->open_start_calls;
  run->worker_id = worker_->incarnation.id;
  NoteRenewal(deadline, now);
  actions_.emplace_back(
      SendStart{run->key, worker_generation_,
                StartCall{worker_->incarnation, fence_.value(), run->order.task,
                          run->order.attempt, run->order.payload, deadline}});
}

void RunSupervisor::OnStartReply(const SendStart& start,
                                 const WorkerReply& reply, Instant now) {
  if (start.worker_generation != worker_generation_) return;
  const bool fits_clock = FitsWorkerClock(reply.worker_clock, now);
  clock_.Update(reply.worker_clock, now);
  const auto found = runs_.find(start.key);
  if (found == runs_.end()) return;
  Run& run = found->second;
  if (reply.verdict != WorkerVerdict::kNoAnswer &&
      (reply.verdict != WorkerVerdict::kAccepted || fits_clock)) {
    --run.open_start_calls;
  }
  switch (reply.verdict) {
    case WorkerVerdict::kAccepted:
      run.may_have_started = true;
      if (run.phase == Phase::kStarting) {
        run.phase = Phase::kRunning;
        run.run_started_at = now;
        run.confirmed_at = now;
        NoteStarted(&run, now);
      }
      return;
    case WorkerVerdict::kNoAnswer:
      run.may_have_started = true;
      if (run.phase != Phase::kStarting) return;
      // The capacity may have shrunk since the first call.
      if (run.start_calls < kMaxStartCalls && used_.FitsIn(worker_->capacity) &&
          ZoneRefusal() == Reason::kNone) {
        CallStart(&run, now);
      }
      return;
    case WorkerVerdict::kUnreachable:
    case WorkerVerdict::kNotSent:
      if (run.may_have_started) return;
      break;
    default:
      break;
  }
  // An earlier call of the same start may have been carried out, so this
  // refusal does not prove that the run did not start. A stale attempt proves
  // that it is over, but not how it ended: the next poll tells that.
  if (run.may_have_started) {
    if (reply.verdict != WorkerVerdict::kStaleAttempt) return;
    if (!run.stale_since) run.stale_since = now;
    must_poll_now_ = true;
    return;
  }
  log_->Record("start_refused",
               {{"task", run.order.task},
                {"attempt", Text(run.order.attempt)},
                {"verdict", std::string(WorkerVerdictName(reply.verdict))},
                {"fence", Text(start.call.fence)},
                {"deadline", Text(start.call.deadline)}});
  if (reply.verdict == WorkerVerdict::kFenced) OnFenced(start.call.fence);
  if (reply.verdict == WorkerVerdict::kNoCapacity) {
    capacity_refused_until_ = now + kCapacityRefusalPause;
  }
  if (reply.verdict == WorkerVerdict::kUnhealthy) {
    health_.OnUnhealthy(now);
  } else {
    health_.OnInconclusive();
  }
  EndRun(start.key, RunOutcome::kNotStarted, ReasonOf(reply.verdict), Millis(0),
         EndEvidence::kStartRefused);
  StartReady(now);
}

void RunSupervisor::NoteStarted(Run* run, Instant now) {
  LogStarted(*run, now);
  if (!options_.observes_neighbours || !worker_ || run->order.queue.empty()) {
    return;
  }
  run->observed = next_observed_++;
  const int64_t capacity =
      std::max<int64_t>(worker_->capacity.cpu_millis, kCpuMillisPerCore);
  neighbours_.OnRunStarted(run->observed, run->order.queue,
                           static_cast<double>(run->order.need.cpu_millis) /
                               static_cast<double>(capacity),
                           now);
}

void RunSupervisor::LogStarted(const Run& run, Instant now) const {
  const auto home = sessions_.find(run.session);
  log_->Record(
      "run_started",
      {{"task", run.order.task},
       {"attempt", Text(run.order.attempt)},
       {"home", Text(run.key.home.value)},
       {"run", Text(run.key.number)},
       {"order_age_ms", Text(Elapsed(run.received_at, now))},
       {"start_calls", Text(run.start_calls)},
       {"echo_age_ms", home == sessions_.end()
                           ? "none"
                           : Text(Elapsed(EchoTime(home->second), now))},
       {"lease_left_ms", Text(LeaseLeft(now))}});
}

// Stopping.

void RunSupervisor::StopRun(Run* run, Reason reason, Instant now) {
  if (run->phase == Phase::kQueued) {
    EndRun(run->key, RunOutcome::kNotStarted, reason, Millis(0),
           EndEvidence::kNotSent);
    return;
  }
  if (run->phase == Phase::kStopping) return;
  run->phase = Phase::kStopping;
  run->stop_reason = reason;
  run->stop_began_at = now;
  CallStop(run, now);
}

void RunSupervisor::CallStop(Run* run, Instant now) {
  run->stop_sent_at = now;
  ++run->stop_calls;
  if (run->stop_calls > 1) {
    log_->Record("stop_unanswered",
                 {{"task", run->order.task},
                  {"attempt", Text(run->order.attempt)},
                  {"reason", std::string(ReasonName(run->stop_reason))},
                  {"stop_age_ms", Text(Elapsed(run->stop_began_at, now))},
                  {"calls", Text(run->stop_calls)},
                  {"lease_left_ms", Text(LeaseLeft(now))}});
  }
  actions_.emplace_back(SendStop{
      worker_generation_, StopCall{worker_->incarnation, fence_.value(),
                                   run->order.task, run->order.attempt}});
}

void RunSupervisor::OnStopReply(const SendStop& stop, const WorkerReply& reply,
                                Instant now) {
  if (stop.worker_generation != worker_generation_) return;
  clock_.Update(reply.worker_clock, now);
  if (reply.verdict != WorkerVerdict::kAccepted) return;
  const auto key = run_by_task_.find({stop.call.task, stop.call.attempt});
  if (key == run_by_task_.end()) return;
  Run& run = runs_.at(key->second);
  if (run.phase != Phase::kStopping || run.stop_confirmed) return;
  run.stop_confirmed = true;
  run.stop_confirmed_at = now;
}

void RunSupervisor::StopRunsOfHome(Incarnation home, Reason reason,
                                   Instant now) {
  std::vector<RunKey> keys;
  for (auto run = runs_.lower_bound({home, 0});
       run != runs_.end() && run->first.home == home; ++run) {
    if (run->second.phase != Phase::kStopping) keys.push_back(run->first);
  }
  if (keys.empty()) return;
  log_->Record("home_runs_stopped",
               {{"home", Text(home.value)},
                {"runs", Text(keys.size())},
                {"reason", std::string(ReasonName(reason))},
                {"lease_left_ms", Text(LeaseLeft(now))}});
  for (const RunKey& key : keys) StopRun(&runs_.at(key), reason, now);
}

void RunSupervisor::LimitRunsOfSession(uint64_t session, Instant since) {
  for (auto& [key, run] : runs_) {
    if (run.session == session) LimitRun(&run, since);
  }
}

void RunSupervisor::EndQueuedRuns(Reason reason) {
  std::vector<RunKey> queued = queue_;
  queued.insert(queued.end(), waiting_.begin(), waiting_.end());
  for (const RunKey& key : queued) {
    EndRun(key, RunOutcome::kNotStarted, reason, Millis(0),
           EndEvidence::kNotSent);
  }
}

// Ends of runs.

// Takes the key by value, because callers pass a reference into the maps that
// this function erases from.
void RunSupervisor::EndRun(RunKey key, RunOutcome outcome, Reason reason,
                           Millis run_time, EndEvidence evidence) {
  const auto found = runs_.find(key);
  assert(found != runs_.end());
  const Run& run = found->second;
  if (run.phase == Phase::kQueued) {
    std::erase(queue_, key);
    std::erase(waiting_, key);
  } else {
    used_ -= run.order.need;
    is_capacity_freed_ = true;
  }
  NoteEndOfLostRun(run, evidence);
  if (run.observed != 0) {
    neighbours_.OnRunEnded(run.observed, outcome == RunOutcome::kDone, run_time,
                           run.order.ExpectedOrEstimate(),
                           run.run_started_at + run_time);
  }
  const auto open = run_by_task_.find({run.order.task, run.order.attempt});
  if (open != run_by_task_.end() && open->second == key) {
    run_by_task_.erase(open);
  }
  if (lone_run_ == key) lone_run_.reset();
  for (auto& [session, home] : sessions_) {
    if (home.home != key.home) continue;
    home.ends.push_back({key.number, outcome, reason, run_time});
    home.must_report_now = true;
  }
  log_->Record("run_ended",
               {{"task", run.order.task},
                {"attempt", Text(run.order.attempt)},
                {"home", Text(key.home.value)},
                {"run", Text(key.number)},
                {"outcome", std::string(RunOutcomeName(outcome))},
                {"reason", std::string(ReasonName(reason))},
                {"run_ms", Text(run_time)},
                {"evidence", std::string(EndEvidenceName(evidence))},
                {"start_calls", Text(run.start_calls)},
                {"stop_calls", Text(run.stop_calls)},
                {"stop_confirmed", run.stop_confirmed ? "yes" : "no"}});
  runs_.erase(found);
  MarkLoadChanged();
}

void RunSupervisor::SuspectLoss(LossEvidence evidence, Instant now) {
  if (!worker_ || !has_answered_ || HasLeaseExpired(now)) return;
  if (worker_->is_draining || is_withdrawn_) return;
  std::vector<LossRecorder::LostRun> runs;
  for (const auto& [key, run] : runs_) {
    if (run.phase == Phase::kQueued) continue;
    runs.push_back(
        {{run.order.task, run.order.attempt}, run.confirmed_at != Instant()});
  }
  losses_.Suspect(worker_->incarnation, runs, evidence, now);
}

void RunSupervisor::NoteEndOfLostRun(const Run& run, EndEvidence evidence) {
  const TaskAttempt task{run.order.task, run.order.attempt};
  switch (evidence) {
    case EndEvidence::kNotSent:
      return;
    case EndEvidence::kStartRefused:
      losses_.RemoveRun(task);
      return;
    case EndEvidence::kEndListed:
      if (WasOnNoOther(run)) {
        losses_.RemoveRun(task);
        return;
      }
      [[fallthrough]];
    case EndEvidence::kNotListed:
    case EndEvidence::kDeadlinePassed:
      // What another incarnation does not list, or carried out from a further
      // copy of the start, may have been on the lost one.
      if (worker_ && losses_.IsSuspected(worker_->incarnation)) {
        losses_.RemoveRun(task);
        return;
      }
      break;
    case EndEvidence::kWorkerGone:
    case EndEvidence::kLeaseExpired:
      break;
  }
  losses_.OnRunEnded(task);
}

bool RunSupervisor::WasOnNoOther(const Run& run) {
  return run.start_calls == 1 && run.confirmed_at == Instant();
}

Reason RunSupervisor::LostReason() const {
  return worker_ && losses_.IsSuspected(worker_->incarnation)
             ? Reason::kWorkerDown
             : Reason::kWorkerLost;
}

void RunSupervisor::EndLostRun(RunKey key, EndEvidence evidence) {
  const Run& run = runs_.at(key);
  const bool has_started = run.phase == Phase::kRunning ||
                           run.may_have_started || run.start_calls > 0;
  if (has_started) health_.OnInconclusive();
  EndRun(key, has_started ? RunOutcome::kLost : RunOutcome::kNotStarted,
         has_started ? LostReason() : Reason::kBackendAbsent, Millis(0),
         evidence);
}

// An incarnation of the worker has a clock of its own, so a reading that does
// not fit the estimate is from another one.
bool RunSupervisor::FitsWorkerClock(const std::optional<Millis>& reading,
                                    Instant now) const {
  const std::optional<Millis> estimate = clock_.At(now);
  if (!estimate || !reading) return false;
  const Millis difference = *reading - *estimate;
  return difference <= options_.longest_lease &&
         -difference <= options_.longest_lease;
}

void RunSupervisor::OnPollReply(const SendPoll& hold, const PollReply& reply,
                                Instant sent, Instant now) {
  if (hold.worker_generation != worker_generation_) return;
  (hold.is_immediate ? immediate_poll_in_flight_ : long_poll_in_flight_) =
      false;
  switch (reply.verdict) {
    case WorkerVerdict::kAccepted:
      break;
    case WorkerVerdict::kFenced:
      OnFenced(hold.call.fence);
      next_long_poll_at_ = now;
      return;
    case WorkerVerdict::kUnreachable:
      OnConnectionRefused(now);
      return;
    case WorkerVerdict::kOtherIncarnation:
      // The known incarnation has ended, and its runs with it.
      log_->Record("worker_gone",
                   {{"worker", worker_->incarnation.id},
                    {"verdict", std::string(WorkerVerdictName(reply.verdict))},
                    {"answer_age_ms", Text(Elapsed(last_answer_, now))},
                    {"runs", Text(runs_.size())}});
      EndIncarnation({}, now);
      BeginSuccessor(
          [&hold](const WorkerIncarnation& next) {
            return next != hold.call.incarnation;
          },
          now);
      return;
    case WorkerVerdict::kNoAnswer:
      last_lost_poll_ = now;
      next_long_poll_at_ = std::max(now, long_poll_sent_at_ + kPollRetryDelay);
      return;
    default:
      next_long_poll_at_ = now + kPollRetryDelay;
      return;
  }
  const uint64_t present = worker_->incarnation.started_at;
  const WorkerIncarnation answering{hold.call.incarnation.id, reply.started_at};
  const bool is_other = reply.started_at != 0 && reply.started_at != present &&
                        (present != 0 || IsSuccessor(answering));
  if (is_other) {
    log_->Record("worker_gone", {{"worker", worker_->incarnation.id},
                                 {"started_at", Text(present)},
                                 {"now_started_at", Text(reply.started_at)},
                                 {"runs", Text(runs_.size())}});
    // The answer is to a call that named the id.
    EndIncarnation(answering.id, now);
    BeginSuccessor(
        [&answering](const WorkerIncarnation& next) {
          return next == answering;
        },
        now);
    return;
  }
  // The announcement may have lacked the start time.
  if (present == 0) worker_->incarnation.started_at = reply.started_at;
  clock_.Update(reply.worker_clock, now);
  fence_.OnAccepted();
  last_answer_ = now;
  if (!has_answered_) OnFirstAnswer();
  has_answered_ = true;
  refuses_connections_ = false;
  next_long_poll_at_ = now;
  for (const PollReply::Ended& ended : reply.ended) OnEnded(ended, now);
  ReconcileRunning(reply, sent, now);
  if (reply.ended.size() < kMaxEndsPerPoll) EndMissingRuns(reply, sent, now);
  losses_.OnAnswer(reply.started_at, sent, now);
  StartReady(now);
}

// A fault of the network may refuse connections while the worker goes on, so
// that this proves the end of no run. The worker's lease limits the runs,
// unless another incarnation is known before.
void RunSupervisor::OnConnectionRefused(Instant now) {
  if (!refuses_connections_) {
    log_->Record("worker_unreachable",
                 {{"worker", worker_->incarnation.id},
                  {"answer_age_ms", Text(Elapsed(last_answer_, now))},
                  {"runs", Text(runs_.size())}});
  }
  refuses_connections_ = true;
  SuspectLoss(LossEvidence::kConnectionRefused, now);
  next_long_poll_at_ = now + kPollRetryDelay;
  GiveUpWorker(now);
}

void RunSupervisor::OnEnded(const PollReply::Ended& ended, Instant now) {
  if (ended.number <= last_end_number_) return;
  last_end_number_ = ended.number;
  last_end_ = now;
  const auto key = run_by_task_.find({ended.task, ended.attempt});
  // The run was started by an earlier process of this guard.
  if (key == run_by_task_.end()) return;
  const Run& run = runs_.at(key->second);
  const Instant began =
      run.run_started_at == Instant() ? run.start_sent_at : run.run_started_at;
  const Millis run_time = Elapsed(began, now);
  switch (ended.ending) {
    case RunEnding::kDone:
      health_.OnDone(run_time, run.order.ExpectedOrEstimate());
      EndRun(key->second, RunOutcome::kDone, Reason::kNone, run_time,
             EndEvidence::kEndListed);
      return;
    case RunEnding::kFailed:
      health_.OnFailed(now);
      EndRun(key->second, RunOutcome::kFailed, Reason::kBackendFailed, run_time,
             EndEvidence::kEndListed);
      return;
    case RunEnding::kInterrupted:
      break;
  }
  const Reason reason = run.stop_reason == Reason::kNone
                            ? Reason::kRunInterrupted
                            : run.stop_reason;
  if (reason == Reason::kRunStalled) {
    health_.OnStalled(run_time, run.order.ExpectedOrEstimate(), now);
  } else {
    health_.OnInconclusive();
  }
  EndRun(key->second, RunOutcome::kLost, reason, run_time,
         EndEvidence::kEndListed);
}

// Compares the runs that the worker lists with the runs known here. Marks runs
// as started, and stops unknown runs and stragglers.
void RunSupervisor::ReconcileRunning(const PollReply& reply, Instant sent,
                                     Instant now) {
  bool knows_all_runs = true;
  for (const PollReply::Running& row : reply.running) {
    const auto key = run_by_task_.find({row.task, row.attempt});
    if (key == run_by_task_.end()) {
      knows_all_runs = false;
      // A newer answer may have overtaken this one and reported the end of the
      // run.
      if (sent <= last_end_) continue;
      // An earlier process of this guard started the run, or the worker carried
      // out a delayed start call.
      log_->Record("foreign_run_stopped",
                   {{"task", row.task}, {"attempt", Text(row.attempt)}});
      actions_.emplace_back(SendStop{
          worker_generation_, StopCall{worker_->incarnation, fence_.value(),
                                       row.task, row.attempt}});
      continue;
    }
    Run& run = runs_.at(key->second);
    if (WasOnNoOther(run) && !losses_.IsSuspected(worker_->incarnation)) {
      losses_.RemoveRun(key->first);
    }
    run.may_have_started = true;
    if (run.phase == Phase::kStarting) {
      run.phase = Phase::kRunning;
      run.run_started_at = run.start_sent_at;
      run.confirmed_at = now;
      NoteStarted(&run, now);
    }
    if (run.phase == Phase::kRunning && IsStraggler(&run, row.percent, now)) {
      log_->Record("run_stalled",
                   {{"task", row.task},
                    {"attempt", Text(row.attempt)},
                    {"percent", Text(row.percent)},
                    {"run_ms", Text(Elapsed(run.run_started_at, now))},
                    {"estimate_ms", Text(run.order.estimate)}});
      StopRun(&run, Reason::kRunStalled, now);
    }
  }
  UpdateSlowness(reply, now);
  if (knows_all_runs && !is_settled_) {
    is_settled_ = true;
    MarkLoadChanged();
  }
}

// Estimates the worker's speed from the progress of its current runs, because
// few runs end on a worker that has become slow.
void RunSupervisor::UpdateSlowness(const PollReply& reply, Instant now) {
  std::vector<double> ratios;
  for (const PollReply::Running& row : reply.running) {
    const auto key = run_by_task_.find({row.task, row.attempt});
    if (key == run_by_task_.end()) continue;
    const Run& run = runs_.at(key->second);
    const Millis elapsed = Elapsed(run.run_started_at, now);
    if (run.phase != Phase::kRunning || elapsed < kMinSampleAge) continue;
    const auto projected = static_cast<double>(elapsed.count()) * 100 /
                           std::max<double>(row.percent, 1);
    const Millis expected = run.order.ExpectedOrEstimate();
    ratios.push_back(projected / static_cast<double>(
                                     std::max<int64_t>(expected.count(), 1)));
  }
  if (ratios.size() < kMinSamples) return;
  const auto middle =
      ratios.begin() + static_cast<ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  health_.OnProgress(*middle, now);
}

// Returns whether a new run on another worker would probably end sooner.
// Estimates are rough, so a long run time alone does not make a straggler: the
// run must make no progress, or its worker must be slow overall.
bool RunSupervisor::IsStraggler(Run* run, uint32_t percent, Instant now) const {
  if (percent != run->percent || run->progressed_at == Instant()) {
    run->percent = percent;
    run->progressed_at = now;
  }
  if (now - run->progressed_at >=
      std::max(options_.stalled_after, run->order.estimate / 2)) {
    return true;
  }
  if (health_.slowness() < options_.slow_worker_percent) return false;
  const Millis elapsed = Elapsed(run->run_started_at, now);
  if (elapsed < run->order.estimate + kStragglerFloor) return false;
  const int64_t done = std::clamp<int64_t>(percent, 1, 100);
  const Millis left = elapsed * (100 - done) / done;
  return left > kStragglerFactor * run->order.estimate + kStragglerFloor;
}

// Ends runs that the answer does not list as running. Their ends were not
// reported either, because reported ends were handled before.
void RunSupervisor::EndMissingRuns(const PollReply& reply, Instant sent,
                                   Instant now) {
  std::set<TaskAttempt> listed;
  for (const PollReply::Running& row : reply.running) {
    listed.insert({row.task, row.attempt});
  }
  struct Missing {
    RunKey key;
    RunOutcome outcome;
    EndEvidence evidence;
  };
  std::vector<Missing> missing;
  for (const auto& [key, run] : runs_) {
    if (run.phase == Phase::kQueued) continue;
    if (listed.contains({run.order.task, run.order.attempt})) continue;
    // A clock that is far ahead of the worker's time proves nothing.
    const bool is_over_deadline = reply.worker_clock && run.start_deadline &&
                                  *reply.worker_clock > *run.start_deadline &&
                                  clock_.Agrees(*reply.worker_clock, now);
    const bool is_stale = run.stale_since && *run.stale_since < sent;
    if (run.phase == Phase::kRunning) {
      // The worker may have compiled the answer before it carried out the
      // start, even if the poll was sent after the start call. Only a poll that
      // was sent after the start was confirmed proves that the run is over.
      if (run.confirmed_at < sent) {
        missing.push_back({key, RunOutcome::kLost, EndEvidence::kNotListed});
      }
    } else if (run.phase == Phase::kStopping) {
      const bool is_refused =
          is_stale || (run.stop_confirmed && run.stop_confirmed_at < sent);
      if (is_refused || is_over_deadline) {
        missing.push_back(
            {key,
             run.may_have_started ? RunOutcome::kLost : RunOutcome::kNotStarted,
             is_refused ? EndEvidence::kNotListed
                        : EndEvidence::kDeadlinePassed});
      }
    } else if (is_stale) {
      missing.push_back(
          {key, RunOutcome::kNotStarted, EndEvidence::kStartRefused});
    } else if (is_over_deadline) {
      // The worker refuses every copy of the start from now on.
      missing.push_back(
          {key, RunOutcome::kNotStarted, EndEvidence::kDeadlinePassed});
    }
  }
  for (const auto& [key, outcome, evidence] : missing) {
    const Reason stop_reason = runs_.at(key).stop_reason;
    Reason reason = stop_reason;
    if (reason == Reason::kNone && outcome == RunOutcome::kLost) {
      reason = Reason::kRunInterrupted;
    } else if (reason == Reason::kNone) {
      reason = evidence == EndEvidence::kStartRefused ? Reason::kStaleAttempt
                                                      : Reason::kGrantLost;
    }
    health_.OnInconclusive();
    EndRun(key, outcome, reason, Elapsed(runs_.at(key).received_at, now),
           evidence);
  }
}

// Timers.

void RunSupervisor::OnSuspended(Instant now) {
  // The worker may have been suspended as well, so that its clock is behind the
  // estimate.
  clock_.Reset();
  // The worker's leases may not have expired meanwhile.
  last_renewal_ = now;
  unsettled_since_ = now;
  for (auto& [session, home] : sessions_) {
    LimitRunsOfSession(session, EchoTime(home));
    home.has_echo = false;
    StopRunsOfHome(home.home, Reason::kHomeSilent, now);
  }
}

void RunSupervisor::Stop() {
  is_stopping_ = true;
  EndQueuedRuns(Reason::kStopping);
  MarkLoadChanged();
}

void RunSupervisor::OnTimer(Instant now) {
  CheckHomes(now);
  CheckWorker(now);
  losses_.Expire(now);
  CheckRuns(now);
  StartReady(now);
}

void RunSupervisor::CheckHomes(Instant now) {
  for (const auto& [session, home] : sessions_) {
    CheckHome(session, home, now);
  }
}

void RunSupervisor::CheckHome(uint64_t session, const HomeSession& home,
                              Instant now) {
  if (IsHomeLeaseValid(home, now)) return;
  LimitRunsOfSession(session, EchoTime(home));
  StopRunsOfHome(home.home, Reason::kHomeSilent, now);
}

// When no renewal was sent for this long, the leases have expired and the
// worker has ended its runs.
Millis RunSupervisor::LeaseDuration() const {
  return OnSlowestClock(options_.longest_lease) + kWorkerDelay;
}

bool RunSupervisor::HasLeaseExpired(Instant now) const {
  return now - last_renewal_ > LeaseDuration() &&
         now - last_answer_ > options_.silent_after;
}

void RunSupervisor::CheckWorker(Instant now) {
  if (!is_settled_ && now - unsettled_since_ > LeaseDuration()) {
    // The leases of all runs that an earlier process of this guard started have
    // expired.
    is_settled_ = true;
    MarkLoadChanged();
  }
  if (!runs_.empty() && HasLeaseExpired(now)) {
    log_->Record("worker_silent",
                 {{"worker", worker_ ? worker_->incarnation.id : ""},
                  {"answer_age_ms", Text(Elapsed(last_answer_, now))},
                  {"renewal_age_ms", Text(Elapsed(last_renewal_, now))},
                  {"runs", Text(runs_.size())}});
    while (!runs_.empty()) {
      EndLostRun(runs_.begin()->first, EndEvidence::kLeaseExpired);
    }
  }
  const ServingState present = state(now);
  if (present != reported_state_) {
    log_->Record("worker_state",
                 {{"from", std::string(ServingStateName(reported_state_))},
                  {"to", std::string(ServingStateName(present))},
                  {"answer_age_ms", Text(Elapsed(last_answer_, now))}});
    reported_state_ = present;
    if (present == ServingState::kAbsent ||
        present == ServingState::kBreakerOpen) {
      EndQueuedRuns(RefusalOf(present));
    }
    for (auto& [session, home] : sessions_) home.must_report_now = true;
  }
}

void RunSupervisor::CheckRuns(Instant now) {
  std::vector<RunKey> expired;
  for (auto& [key, run] : runs_) {
    if (run.phase == Phase::kQueued && now >= run.useful_by) {
      expired.push_back(key);
    } else if (run.phase == Phase::kStopping && !run.stop_confirmed &&
               worker_ && now - run.stop_sent_at >= options_.stop_retry) {
      CallStop(&run, now);
    }
  }
  for (const RunKey& key : expired) {
    EndRun(key, RunOutcome::kNotStarted, Reason::kDeadlinePassed, Millis(0),
           EndEvidence::kNotSent);
  }
}

ServingState RunSupervisor::state(Instant now) const {
  if (is_stopping_) return ServingState::kStopping;
  if (!worker_) return ServingState::kAbsent;
  // Runs of an earlier process of this guard may still occupy capacity that is
  // not included in `used_`.
  if (!is_settled_) return ServingState::kAbsent;
  // The announcement may be a late one of an earlier incarnation, and starts
  // would be carried out by the present one.
  if (!has_answered_) return ServingState::kAbsent;
  // No deadline can be given to a start.
  if (!clock_.At(now)) return ServingState::kAbsent;
  if (refuses_connections_ || is_withdrawn_) return ServingState::kAbsent;
  if (now - last_answer_ > options_.silent_after) return ServingState::kAbsent;
  // The worker does not carry out a stop, so its lease is about to expire.
  if (LeaseLimit(now) < now + options_.shortest_lease) {
    return ServingState::kAbsent;
  }
  if (worker_->is_draining) return ServingState::kDraining;
  if (health_.is_open() && !health_.ProbeDue(now)) {
    return ServingState::kBreakerOpen;
  }
  return ServingState::kServing;
}

// Reports.

void RunSupervisor::MarkLoadChanged() {
  for (auto& [session, home] : sessions_) home.has_load_change = true;
}

// An entry reports its waiting work only along with orders and echoes.
bool RunSupervisor::IsWaitingWorkFresh(const HomeSession& home,
                                       Instant now) const {
  return now - home.waiting_work_received_at <= options_.waiting_work_lifetime;
}

// Schedules an immediate report to some entries after capacity became free.
// With short tasks, other entries would have taken that capacity before the
// next regular report, which is up to 100 ms later. Entries with waiting tasks
// come first, so that an entry with a backlog soon gets a report of free
// capacity from some guard.
void RunSupervisor::ReportFreedCapacity(Instant now) {
  if (!is_capacity_freed_ || !queue_.empty()) return;
  is_capacity_freed_ = false;
  if (state(now) != ServingState::kServing) return;
  std::vector<HomeSession*> homes;
  for (auto& [session, home] : sessions_) {
    if (!home.must_report_now) homes.push_back(&home);
  }
  const auto has_work = [&](const HomeSession& home) {
    return IsWaitingWorkFresh(home, now) &&
           home.waiting_work != WorkByUrgency{};
  };
  const size_t count = std::min(options_.freed_capacity_notices, homes.size());
  std::partial_sort(homes.begin(),
                    homes.begin() + static_cast<ptrdiff_t>(count), homes.end(),
                    [&](const HomeSession* a, const HomeSession* b) {
                      const bool a_has_work = has_work(*a);
                      const bool b_has_work = has_work(*b);
                      if (a_has_work != b_has_work) return a_has_work;
                      return a->last_report_at < b->last_report_at;
                    });
  for (size_t i = 0; i < count; ++i) homes[i]->must_report_now = true;
}

int64_t RunSupervisor::QueuedCpu(Instant start_by) const {
  int64_t sum = 0;
  for (const RunKey& key : queue_) {
    const Run& run = runs_.at(key);
    if (run.start_by <= start_by) sum += run.order.need.cpu_millis;
  }
  return sum;
}

WorkByUrgency RunSupervisor::QueuedByUrgency(Instant now) const {
  WorkByUrgency work{};
  for (const RunKey& key : queue_) {
    const Run& run = runs_.at(key);
    work[UrgencyBandOf(run.start_by, now)] +=
        TaskWork(run.order.need, run.order.estimate);
  }
  return work;
}

RunReport RunSupervisor::MakeReport(uint64_t session, HomeSession* home,
                                    Instant now) const {
  RunReport report;
  report.stamp = ReportStamp(now);
  report.seen_order = home->seen_order;
  report.is_settled = is_settled_;
  report.state = state(now);
  report.has_offer = home->sent_offer_version != offer_version_;
  home->sent_offer_version = offer_version_;
  if (report.has_offer) report.zone = options_.zone;
  if (report.has_offer && worker_) {
    report.service = worker_->service;
    report.rack = worker_->rack;
    report.labels = worker_->labels;
    report.capacity = worker_->capacity;
  }
  // No other run can start until a run that must be alone has ended.
  report.used = lone_run_ && worker_ ? worker_->capacity : used_;
  report.queued_by_urgency = QueuedByUrgency(now);
  for (const uint64_t work : report.queued_by_urgency) {
    report.queued_work += work;
  }
  report.linked_entries = static_cast<uint32_t>(sessions_.size());
  for (const auto& [number, other] : sessions_) {
    if (!IsWaitingWorkFresh(other, now)) continue;
    ++report.telling_entries;
    for (size_t band = 0; band < kUrgencyBands; ++band) {
      report.waiting_work[band] += other.waiting_work[band];
    }
  }
  report.slowness = health_.slowness();
  report.slowness_runs = health_.slowness_runs();
  report.ends = std::exchange(home->ends, {});
  report.worker_losses = losses_.ResolvedAfter(home->told_losses);
  home->told_losses = losses_.last_number();
  if (home->known_evacuations < evacuations_.revision()) {
    home->known_evacuations = evacuations_.revision();
    report.evacuations = evacuations_;
  }
  if (options_.observes_neighbours && now >= home->next_sums_at) {
    report.interference_sums = neighbours_.NextSums(&home->told_queue, now);
    if (!report.interference_sums.empty()) {
      home->next_sums_at = now + options_.neighbour_interval;
    }
  }
  if (home->wants_running) report.running = neighbours_.running();
  for (auto run = runs_.lower_bound({home->home, 0});
       run != runs_.end() && run->first.home == home->home; ++run) {
    if (run->second.session != session) ++report.earlier_runs;
  }
  return report;
}

PollCall RunSupervisor::NextPoll(Millis wait, Instant now) {
  PollCall call{worker_->incarnation, fence_.value(), last_end_number_,
                std::nullopt, wait};
  // A call to an unresponsive worker may be carried out late. It must not renew
  // the leases of runs that this guard has given up by then.
  const bool is_silent =
      refuses_connections_ || now - last_answer_ > options_.renew_until;
  if (is_silent || !has_answered_) call.wait = Millis(0);
  if (!runs_.empty() && !is_silent) {
    call.deadline = LeaseDeadline(now);
    if (call.deadline) NoteRenewal(*call.deadline, now);
  }
  return call;
}

void RunSupervisor::OnStartsAwaitPoll() { must_poll_now_ = true; }

bool RunSupervisor::NeedsImmediatePoll(Instant now) const {
  if (immediate_poll_in_flight_) return false;
  if (must_poll_now_ && !successors_.empty()) return true;
  if (!HasStartedRuns()) return false;
  if (must_poll_now_) return true;
  const bool lost_recently = now - last_lost_poll_ < options_.loss_window;
  const Millis after = lost_recently ? options_.immediate_poll_after_loss
                                     : options_.immediate_poll_after;
  return now - long_poll_sent_at_ >= after &&
         now - immediate_poll_sent_at_ >= after;
}

std::vector<SupervisorAction> RunSupervisor::TakeActions(Instant now) {
  if (worker_ && !long_poll_in_flight_ && now >= next_long_poll_at_) {
    long_poll_in_flight_ = true;
    long_poll_sent_at_ = now;
    const Millis wait =
        runs_.empty() ? options_.idle_poll_wait : options_.poll_wait;
    actions_.emplace_back(
        SendPoll{worker_generation_, false, NextPoll(wait, now)});
  } else if (worker_ && NeedsImmediatePoll(now)) {
    immediate_poll_in_flight_ = true;
    must_poll_now_ = false;
    immediate_poll_sent_at_ = now;
    actions_.emplace_back(
        SendPoll{worker_generation_, true, NextPoll(Millis(0), now)});
  }
  ReportFreedCapacity(now);
  for (auto& [session, home] : sessions_) {
    const auto age = now - home.last_report_at;
    const bool is_due =
        home.must_report_now || home.told_losses < losses_.last_number() ||
        (home.has_load_change && age >= options_.report_interval) ||
        age >= options_.heartbeat_interval;
    if (!is_due) continue;
    home.must_report_now = false;
    home.has_load_change = false;
    home.last_report_at = now;
    actions_.emplace_back(SendReport{session, MakeReport(session, &home, now)});
  }
  return std::exchange(actions_, {});
}

}  // namespace qs
