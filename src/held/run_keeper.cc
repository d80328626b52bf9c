#include "held/run_keeper.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>

#include "held/decision_log.h"

namespace qs {
namespace {

// A worker's clock may run 2 % slow, so its lease lasts that much longer.
constexpr double kSlowestClock = 0.98;
// For the way of a call to the worker, and the worker's own delay.
constexpr Millis kLeaseSlack{60};
// Calls of one start that got no answer, before it is left to its deadline.
constexpr uint32_t kMaxStartCalls = 3;
// After a refusal for want of room that the own count does not explain.
constexpr Millis kRoomPause{40};
constexpr Millis kHoldRetry{50};
// Ends that the worker returns in one answer; more may be pending.
constexpr size_t kMaxEndsPerHold = 500;
// A run is a straggler when what it still needs exceeds this many estimates,
// since a fresh start elsewhere needs about one.
constexpr int kStragglerFactor = 2;
constexpr Millis kStragglerFloor{150};
// Runs that are younger, or fewer, say little on the speed of a worker.
constexpr Millis kShortestSample{100};
constexpr int kMinSamples = 3;
// Tasks behind the head of the queue that may fill room it does not fit in.
constexpr size_t kLookAhead = 4;

Reason ReasonOf(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kFenced:
      return Reason::kFenced;
    case WorkerVerdict::kStaleAttempt:
      return Reason::kStaleAttempt;
    case WorkerVerdict::kTooLate:
      return Reason::kOrderLate;
    case WorkerVerdict::kNoRoom:
      return Reason::kExecutorQueueFull;
    case WorkerVerdict::kUnhealthy:
      return Reason::kBreakerOpen;
    case WorkerVerdict::kOtherLife:
      return Reason::kBackendAbsent;
    case WorkerVerdict::kRejected:
      return Reason::kBackendRejected;
    case WorkerVerdict::kAccepted:
    case WorkerVerdict::kUnreachable:
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

std::string_view WorkerVerdictName(WorkerVerdict verdict) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "accepted",  "fenced",     "stale_attempt", "too_late",    "no_room",
      "unhealthy", "other_life", "rejected",      "unreachable", "no_answer"};
  return kNames.at(static_cast<size_t>(verdict));
}

RunKeeper::RunKeeper(const RunKeeperOptions& options, uint64_t fence,
                     DecisionLog* log, Instant now)
    : options_(options),
      fence_(fence),
      log_(log),
      started_(now),
      hold_not_before_(now),
      last_answer_(now - options.silent_after),
      last_renewal_(now),
      clock_(options.longest_lease),
      health_(options.health) {}

// The worker.

void RunKeeper::OnAnnouncement(const WorkerAnnouncement& announcement,
                               Instant now) {
  if (!worker_ || worker_->life != announcement.life) {
    const bool is_older =
        worker_ && announcement.life.started_at < worker_->life.started_at;
    if (is_older) {
      log_->Note("announcement_ignored",
                 {{"worker", announcement.life.id},
                  {"started_at", Text(announcement.life.started_at)},
                  {"present", Text(worker_->life.started_at)},
                  {"reason", "older_life"}});
      return;
    }
    BeginLife(announcement, now);
    return;
  }
  // A heartbeat that was held up carries an older state.
  if (announcement.sequence <= worker_->sequence) return;
  const bool began_draining = announcement.is_draining && !worker_->is_draining;
  if (!HasSameOffer(announcement, *worker_)) ++offer_version_;
  worker_ = announcement;
  clock_.Update(announcement.worker_clock, now);
  if (began_draining) {
    log_->Note("worker_draining", {{"worker", worker_->life.id},
                                   {"sequence", Text(worker_->sequence)},
                                   {"runs", Text(runs_.size())}});
    GiveBackQueued(Reason::kExecutorDraining);
  }
  MarkStale();
}

void RunKeeper::BeginLife(const WorkerAnnouncement& announcement, Instant now) {
  LoseLife(Reason::kWorkerLost);
  worker_ = announcement;
  ++offer_version_;
  last_seen_ = 0;
  clock_.Update(announcement.worker_clock, now);
  hold_not_before_ = now;
  last_answer_ = now;
  health_ = WorkerHealth(options_.health);
  // A late order of the former life must not reach the new one.
  fence_.Raise();
  log_->Note("worker_up", {{"worker", worker_->life.id},
                           {"started_at", Text(worker_->life.started_at)},
                           {"service", worker_->service},
                           {"fence", Text(fence_.value())}});
  MarkStale();
}

void RunKeeper::OnWithdrawn(const std::string& worker_id) {
  if (!worker_ || worker_->life.id != worker_id) return;
  log_->Note("worker_withdrawn",
             {{"worker", worker_id}, {"runs", Text(runs_.size())}});
  LoseLife(Reason::kWorkerLost);
}

// Nothing of the present life goes on.
void RunKeeper::LoseLife(Reason reason) {
  EndAll(reason);
  worker_.reset();
  ++offer_version_;
  clock_.Reset();
  ++life_ticket_;
  hold_in_flight_ = false;
  look_in_flight_ = false;
  MarkStale();
}

std::optional<Millis> RunKeeper::LeaseDeadline(Instant now) const {
  const std::optional<Millis> worker_now = clock_.At(now);
  if (!worker_now) return std::nullopt;
  return *worker_now + options_.longest_lease;
}

void RunKeeper::OnFenced(uint64_t refused_fence) {
  if (!fence_.OnRefused(refused_fence)) return;
  log_->Note("fence_raised", {{"refused", Text(refused_fence)},
                              {"fence", Text(fence_.value())}});
}

// Homes.

void RunKeeper::OnSessionUp(uint64_t session, Incarnation home, Instant now) {
  // Frames of an older connection of the same home may still be unread.
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    if (entry->second.home == home) {
      StopRunsOf(home, Reason::kHomeSilent, now);
      entry = sessions_.erase(entry);
    } else {
      ++entry;
    }
  }
  HomeSession& state = sessions_[session];
  state.home = home;
  state.is_dirty = true;
}

void RunKeeper::OnSessionDown(uint64_t session, Instant now) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  const Incarnation home = found->second.home;
  sessions_.erase(found);
  StopRunsOf(home, Reason::kHomeSilent, now);
}

void RunKeeper::OnOrders(uint64_t session, RunOrders orders, Instant now) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  HomeSession& home = found->second;
  if (orders.echo >= home.echo) {
    home.echo = orders.echo;
    home.has_echo = true;
  }
  home.waiting_work = orders.waiting_work;
  home.waiting_told = now;
  for (RunOrder& order : orders.orders) {
    Accept(session, &home, std::move(order), now);
    // At once, so that what fits is not counted as waiting for the next one.
    StartReady(now);
  }
  for (const uint64_t number : orders.stops) {
    const auto run = runs_.find({home.home, number});
    if (run != runs_.end()) StopRun(&run->second, Reason::kWithdrawn, now);
  }
  StartReady(now);
}

void RunKeeper::Accept(uint64_t session, HomeSession* home, RunOrder order,
                       Instant now) {
  const RunKey key{home->home, order.number};
  if (order.number <= home->seen_order || runs_.contains(key)) return;
  home->seen_order = order.number;
  Reason refusal = RefusalFor(order, now);
  if (refusal == Reason::kNone && !HomeLeaseHolds(*home, now)) {
    refusal = Reason::kHomeSilent;
  }
  if (refusal == Reason::kNone && order.max_per_worker > 0 &&
      CountOfStep(home->home, order.step_tag) >= order.max_per_worker) {
    refusal = Reason::kConstraintUnmet;
  }
  if (refusal == Reason::kNone &&
      by_task_.contains({order.task, order.attempt})) {
    refusal = Reason::kStaleAttempt;
  }
  if (refusal != Reason::kNone) {
    home->ends.push_back(
        {order.number, RunOutcome::kNotStarted, refusal, Millis(0)});
    home->is_dirty = true;
    log_->Note("run_refused", {{"task", order.task},
                               {"attempt", Text(order.attempt)},
                               {"session", Text(session)},
                               {"reason", std::string(ReasonName(refusal))}});
    return;
  }
  Run run;
  run.key = key;
  run.session = session;
  run.received = now;
  run.start_by = now + order.slack;
  run.useful_by = now + order.remaining;
  run.order = std::move(order);
  by_task_[{run.order.task, run.order.attempt}] = key;
  const auto place =
      std::upper_bound(queue_.begin(), queue_.end(), run.start_by,
                       [this](Instant start_by, const RunKey& other) {
                         return start_by < runs_.at(other).start_by;
                       });
  queue_.insert(place, key);
  runs_.emplace(key, std::move(run));
  MarkStale();
}

Reason RunKeeper::RefusalFor(const RunOrder& order, Instant now) const {
  const Reason refusal = RefusalOf(state(now));
  if (refusal != Reason::kNone) return refusal;
  if (order.service != worker_->service) return Reason::kWrongService;
  if (!order.need.FitsIn(worker_->capacity)) return Reason::kConstraintUnmet;
  const bool starts_now = queue_.empty() && order.need.FitsIn(FreeRoom());
  if (starts_now) return Reason::kNone;
  // While the breaker is open, one run at a time comes in as the probe.
  if (health_.is_open()) return Reason::kBreakerOpen;
  const int64_t limit =
      worker_->capacity.cpu_millis * options_.queue_percent / 100;
  return QueuedCpu() >= limit ? Reason::kExecutorQueueFull : Reason::kNone;
}

Resources RunKeeper::FreeRoom() const {
  Resources room = worker_->capacity;
  room -= used_;
  return room;
}

uint32_t RunKeeper::CountOfStep(Incarnation home, uint32_t step_tag) const {
  uint32_t count = 0;
  for (auto run = runs_.lower_bound({home, 0});
       run != runs_.end() && run->first.home == home; ++run) {
    if (run->second.order.step_tag == step_tag) ++count;
  }
  return count;
}

bool RunKeeper::HomeLeaseHolds(const HomeSession& home, Instant now) const {
  if (!home.has_echo) return false;
  return Stamp(now) <=
         home.echo + static_cast<uint64_t>(options_.home_lease.count());
}

uint64_t RunKeeper::Stamp(Instant now) const {
  // Zero stands for "no report yet".
  return static_cast<uint64_t>(Elapsed(started_, now).count()) + 1;
}

// Starting.

void RunKeeper::StartReady(Instant now) {
  if (!worker_ || now < room_refused_until_) return;
  if (state(now) != ServingState::kServing) return;
  size_t passed_over = 0;
  for (size_t i = 0; i < queue_.size() && passed_over <= kLookAhead;) {
    Run& run = runs_.at(queue_[i]);
    const auto home = sessions_.find(run.session);
    if (home == sessions_.end() || !HomeLeaseHolds(home->second, now)) {
      ++i;  // CheckHomes gives it back.
      continue;
    }
    if (!run.order.need.FitsIn(FreeRoom())) {
      // A large task at the head must not starve behind small ones.
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
    MarkStale();
  }
}

void RunKeeper::CallStart(Run* run, Instant now) {
  const std::optional<Millis> deadline = LeaseDeadline(now);
  assert(worker_.has_value());
  run->start_deadline = deadline.value_or(Millis(0));
  run->start_sent = now;
  ++run->start_calls;
  last_renewal_ = now;
  actions_.emplace_back(MakeStart{
      run->key, life_ticket_,
      StartCall{worker_->life, fence_.value(), run->order.task,
                run->order.attempt, run->order.payload, *run->start_deadline}});
}

void RunKeeper::OnStartReply(const MakeStart& start, const WorkerReply& reply,
                             Instant now) {
  if (start.ticket != life_ticket_) return;
  clock_.Update(reply.worker_clock, now);
  const auto found = runs_.find(start.key);
  if (found == runs_.end()) return;
  Run& run = found->second;
  switch (reply.verdict) {
    case WorkerVerdict::kAccepted:
      run.may_have_started = true;
      if (run.phase == Phase::kStarting) {
        run.phase = Phase::kRunning;
        run.started = now;
        run.confirmed = now;
      }
      return;
    case WorkerVerdict::kNoAnswer:
      run.may_have_started = true;
      if (run.phase != Phase::kStarting) return;
      if (run.start_calls < kMaxStartCalls) CallStart(&run, now);
      return;
    case WorkerVerdict::kUnreachable:
      if (run.may_have_started) return;
      break;
    default:
      break;
  }
  // An earlier call of the same start may have been carried out.
  if (run.may_have_started && reply.verdict != WorkerVerdict::kStaleAttempt) {
    return;
  }
  log_->Note("start_refused",
             {{"task", run.order.task},
              {"attempt", Text(run.order.attempt)},
              {"verdict", std::string(WorkerVerdictName(reply.verdict))},
              {"fence", Text(start.call.fence)},
              {"deadline", Text(start.call.deadline)}});
  if (reply.verdict == WorkerVerdict::kFenced) OnFenced(start.call.fence);
  if (reply.verdict == WorkerVerdict::kNoRoom) {
    room_refused_until_ = now + kRoomPause;
  }
  if (reply.verdict == WorkerVerdict::kUnhealthy) {
    health_.OnUnhealthy(now);
  } else {
    health_.OnInconclusive();
  }
  End(start.key, RunOutcome::kNotStarted, ReasonOf(reply.verdict), Millis(0));
  StartReady(now);
}

// Stopping.

void RunKeeper::StopRun(Run* run, Reason reason, Instant now) {
  if (run->phase == Phase::kQueued) {
    End(run->key, RunOutcome::kNotStarted, reason, Millis(0));
    return;
  }
  if (run->phase == Phase::kStopping) return;
  run->phase = Phase::kStopping;
  run->stop_reason = reason;
  CallStop(run, now);
}

void RunKeeper::CallStop(Run* run, Instant now) {
  run->stop_sent = now;
  actions_.emplace_back(
      MakeStop{life_ticket_, StopCall{worker_->life, fence_.value(),
                                      run->order.task, run->order.attempt}});
}

void RunKeeper::OnStopReply(const MakeStop& stop, const WorkerReply& reply,
                            Instant now) {
  if (stop.ticket != life_ticket_) return;
  clock_.Update(reply.worker_clock, now);
  if (reply.verdict != WorkerVerdict::kAccepted) return;
  const auto key = by_task_.find({stop.call.task, stop.call.attempt});
  if (key == by_task_.end()) return;
  Run& run = runs_.at(key->second);
  if (run.phase != Phase::kStopping || run.stop_confirmed) return;
  run.stop_confirmed = true;
  run.stop_confirmed_at = now;
}

void RunKeeper::StopRunsOf(Incarnation home, Reason reason, Instant now) {
  std::vector<RunKey> keys;
  for (auto run = runs_.lower_bound({home, 0});
       run != runs_.end() && run->first.home == home; ++run) {
    if (run->second.phase != Phase::kStopping) keys.push_back(run->first);
  }
  if (keys.empty()) return;
  log_->Note("home_runs_stopped",
             {{"home", Text(home.value)},
              {"runs", Text(keys.size())},
              {"reason", std::string(ReasonName(reason))}});
  for (const RunKey& key : keys) StopRun(&runs_.at(key), reason, now);
}

void RunKeeper::GiveBackQueued(Reason reason) {
  const std::vector<RunKey> queued = queue_;
  for (const RunKey& key : queued) {
    End(key, RunOutcome::kNotStarted, reason, Millis(0));
  }
}

// Ends.

// The key is a copy, as callers have it from what is removed here.
void RunKeeper::End(RunKey key, RunOutcome outcome, Reason reason,
                    Millis run_time) {
  const auto found = runs_.find(key);
  assert(found != runs_.end());
  const Run& run = found->second;
  if (run.phase == Phase::kQueued) {
    std::erase(queue_, key);
  } else {
    used_ -= run.order.need;
    is_room_freed_ = true;
  }
  by_task_.erase({run.order.task, run.order.attempt});
  for (auto& [session, home] : sessions_) {
    if (home.home != key.home) continue;
    home.ends.push_back({key.number, outcome, reason, run_time});
    home.is_dirty = true;
  }
  if (outcome != RunOutcome::kDone) {
    log_->Note("run_ended", {{"task", run.order.task},
                             {"attempt", Text(run.order.attempt)},
                             {"outcome", std::string(RunOutcomeName(outcome))},
                             {"reason", std::string(ReasonName(reason))},
                             {"run_ms", Text(run_time)}});
  }
  runs_.erase(found);
  MarkStale();
}

void RunKeeper::EndAll(Reason reason) {
  while (!runs_.empty()) {
    const Run& run = runs_.begin()->second;
    const bool has_started = run.phase == Phase::kRunning ||
                             run.may_have_started || run.start_calls > 0;
    End(run.key, has_started ? RunOutcome::kLost : RunOutcome::kNotStarted,
        has_started ? reason : Reason::kBackendAbsent, Millis(0));
  }
}

void RunKeeper::OnHoldReply(const MakeHold& hold, const HoldReply& reply,
                            Instant sent, Instant now) {
  if (hold.ticket != life_ticket_) return;
  (hold.is_look ? look_in_flight_ : hold_in_flight_) = false;
  switch (reply.verdict) {
    case WorkerVerdict::kAccepted:
      break;
    case WorkerVerdict::kFenced:
      OnFenced(hold.call.fence);
      hold_not_before_ = now;
      return;
    case WorkerVerdict::kOtherLife:
    case WorkerVerdict::kUnreachable:
      // Nobody listens there: the worker's process has ended and runs nothing.
      log_->Note("worker_gone",
                 {{"worker", worker_->life.id},
                  {"verdict", std::string(WorkerVerdictName(reply.verdict))},
                  {"answer_age_ms", Text(Elapsed(last_answer_, now))},
                  {"runs", Text(runs_.size())}});
      LoseLife(Reason::kWorkerLost);
      return;
    case WorkerVerdict::kNoAnswer:
      hold_lost_ = now;
      hold_not_before_ = now;
      return;
    default:
      hold_not_before_ = now + kHoldRetry;
      return;
  }
  const uint64_t present = worker_->life.started_at;
  if (reply.started_at != 0 && present != 0 && reply.started_at != present) {
    log_->Note("worker_gone", {{"worker", worker_->life.id},
                               {"started_at", Text(present)},
                               {"now_started_at", Text(reply.started_at)},
                               {"runs", Text(runs_.size())}});
    LoseLife(Reason::kWorkerLost);
    return;
  }
  clock_.Update(reply.worker_clock, now);
  fence_.OnAccepted();
  last_answer_ = now;
  hold_not_before_ = now;
  for (const HoldReply::Ended& ended : reply.ended) OnEnded(ended, now);
  JudgeRunning(reply, sent, now);
  if (reply.ended.size() < kMaxEndsPerHold) ForgetMissing(reply, sent, now);
  StartReady(now);
}

void RunKeeper::OnEnded(const HoldReply::Ended& ended, Instant now) {
  if (ended.number <= last_seen_) return;
  last_seen_ = ended.number;
  last_end_ = now;
  const auto key = by_task_.find({ended.task, ended.attempt});
  if (key == by_task_.end()) return;  // Of a former run of this guard.
  const Run& run = runs_.at(key->second);
  const Instant began = run.started == Instant() ? run.start_sent : run.started;
  const Millis run_time = Elapsed(began, now);
  switch (ended.ending) {
    case RunEnding::kDone:
      health_.OnDone(run_time, run.order.estimate);
      End(key->second, RunOutcome::kDone, Reason::kNone, run_time);
      return;
    case RunEnding::kFailed:
      health_.OnFailed(now);
      End(key->second, RunOutcome::kFailed, Reason::kBackendFailed, run_time);
      return;
    case RunEnding::kInterrupted:
      break;
  }
  const Reason reason = run.stop_reason == Reason::kNone
                            ? Reason::kRunInterrupted
                            : run.stop_reason;
  if (reason == Reason::kRunStalled) {
    health_.OnStalled(run_time, run.order.estimate, now);
  } else {
    health_.OnInconclusive();
  }
  End(key->second, RunOutcome::kLost, reason, run_time);
}

// What the worker runs, against what this guard believes.
void RunKeeper::JudgeRunning(const HoldReply& reply, Instant sent,
                             Instant now) {
  bool is_clean = true;
  for (const HoldReply::Running& row : reply.running) {
    const auto key = by_task_.find({row.task, row.attempt});
    if (key == by_task_.end()) {
      is_clean = false;
      // An answer that was overtaken lists what has ended since.
      if (sent <= last_end_) continue;
      // Ordered by a former run of this guard, or carried out late.
      log_->Note("foreign_run_stopped",
                 {{"task", row.task}, {"attempt", Text(row.attempt)}});
      actions_.emplace_back(MakeStop{
          life_ticket_,
          StopCall{worker_->life, fence_.value(), row.task, row.attempt}});
      continue;
    }
    Run& run = runs_.at(key->second);
    run.may_have_started = true;
    if (run.phase == Phase::kStarting) {
      run.phase = Phase::kRunning;
      run.started = run.start_sent;
      run.confirmed = now;
    }
    if (run.phase == Phase::kRunning && IsStraggler(&run, row.percent, now)) {
      log_->Note("run_stalled", {{"task", row.task},
                                 {"attempt", Text(row.attempt)},
                                 {"percent", Text(row.percent)},
                                 {"run_ms", Text(Elapsed(run.started, now))},
                                 {"estimate_ms", Text(run.order.estimate)}});
      StopRun(&run, Reason::kRunStalled, now);
    }
  }
  JudgeSpeed(reply, now);
  if (is_clean && !is_settled_) {
    is_settled_ = true;
    MarkStale();
  }
}

// A worker that turned slow ends little, so its speed is read off what it runs.
void RunKeeper::JudgeSpeed(const HoldReply& reply, Instant now) {
  double sum = 0;
  int count = 0;
  for (const HoldReply::Running& row : reply.running) {
    const auto key = by_task_.find({row.task, row.attempt});
    if (key == by_task_.end()) continue;
    const Run& run = runs_.at(key->second);
    const Millis elapsed = Elapsed(run.started, now);
    if (run.phase != Phase::kRunning || elapsed < kShortestSample) continue;
    const auto projected = static_cast<double>(elapsed.count()) * 100 /
                           std::max<double>(row.percent, 1);
    sum += projected / static_cast<double>(
                           std::max<int64_t>(run.order.estimate.count(), 1));
    ++count;
  }
  if (count >= kMinSamples) health_.OnProgress(sum / count, now);
}

// Whether a fresh start elsewhere would end sooner. A run that takes long is no
// straggler by itself, since estimates are rough: it must stand still, or its
// worker must be slow in all that it runs.
bool RunKeeper::IsStraggler(Run* run, uint32_t percent, Instant now) const {
  if (percent != run->percent || run->progressed == Instant()) {
    run->percent = percent;
    run->progressed = now;
  }
  if (now - run->progressed >=
      std::max(options_.stalled_after, run->order.estimate / 2)) {
    return true;
  }
  if (health_.slowness() < options_.slow_worker_percent) return false;
  const Millis elapsed = Elapsed(run->started, now);
  if (elapsed < run->order.estimate + kStragglerFloor) return false;
  const int64_t done = std::clamp<int64_t>(percent, 1, 100);
  const Millis left = elapsed * (100 - done) / done;
  return left > kStragglerFactor * run->order.estimate + kStragglerFloor;
}

// A run that is listed neither as running nor as ended is over.
void RunKeeper::ForgetMissing(const HoldReply& reply, Instant sent,
                              Instant now) {
  std::set<TaskRun> listed;
  for (const HoldReply::Running& row : reply.running) {
    listed.insert({row.task, row.attempt});
  }
  std::vector<std::pair<RunKey, RunOutcome>> missing;
  for (const auto& [key, run] : runs_) {
    if (run.phase == Phase::kQueued) continue;
    if (listed.contains({run.order.task, run.order.attempt})) continue;
    const bool is_over_deadline = reply.worker_clock && run.start_deadline &&
                                  *reply.worker_clock > *run.start_deadline;
    if (run.phase == Phase::kRunning) {
      // An answer may tell of a moment before the start, though it was asked
      // for after the start was sent.
      if (run.confirmed < sent) missing.emplace_back(key, RunOutcome::kLost);
    } else if (run.phase == Phase::kStopping) {
      const bool is_refused =
          run.stop_confirmed && run.stop_confirmed_at < sent;
      if (is_refused || is_over_deadline) {
        missing.emplace_back(key, run.may_have_started
                                      ? RunOutcome::kLost
                                      : RunOutcome::kNotStarted);
      }
    } else if (run.start_calls >= kMaxStartCalls && is_over_deadline) {
      missing.emplace_back(key, RunOutcome::kNotStarted);
    }
  }
  for (const auto& [key, outcome] : missing) {
    const Reason stop_reason = runs_.at(key).stop_reason;
    const Reason reason =
        stop_reason != Reason::kNone ? stop_reason : Reason::kRunInterrupted;
    health_.OnInconclusive();
    End(key, outcome,
        outcome == RunOutcome::kNotStarted && stop_reason == Reason::kNone
            ? Reason::kGrantLost
            : reason,
        Elapsed(runs_.at(key).received, now));
  }
}

// Time.

void RunKeeper::OnSuspended(Instant now) {
  for (auto& [session, home] : sessions_) {
    home.has_echo = false;
    StopRunsOf(home.home, Reason::kHomeSilent, now);
  }
}

void RunKeeper::Stop() {
  is_stopping_ = true;
  GiveBackQueued(Reason::kStopping);
  MarkStale();
}

void RunKeeper::OnTimer(Instant now) {
  CheckHomes(now);
  CheckWorker(now);
  CheckRuns(now);
  StartReady(now);
}

void RunKeeper::CheckHomes(Instant now) {
  for (auto& [session, home] : sessions_) {
    if (HomeLeaseHolds(home, now)) continue;
    StopRunsOf(home.home, Reason::kHomeSilent, now);
  }
}

// After so long without a renewal, a worker has ended what it ran.
Millis RunKeeper::LeaseLife() const {
  return std::chrono::ceil<Millis>(options_.longest_lease / kSlowestClock) +
         kLeaseSlack;
}

void RunKeeper::CheckWorker(Instant now) {
  if (!is_settled_ && now - started_ > LeaseLife()) {
    // Whatever a former run of this guard had started has lapsed.
    is_settled_ = true;
    MarkStale();
  }
  if (worker_ && !runs_.empty() && now - last_renewal_ > LeaseLife() &&
      now - last_answer_ > options_.silent_after) {
    log_->Note("worker_silent",
               {{"worker", worker_->life.id},
                {"answer_age_ms", Text(Elapsed(last_answer_, now))},
                {"renewal_age_ms", Text(Elapsed(last_renewal_, now))},
                {"runs", Text(runs_.size())}});
    EndAll(Reason::kWorkerLost);
  }
  const ServingState present = state(now);
  if (present != reported_state_) {
    log_->Note("worker_state",
               {{"from", std::string(ServingStateName(reported_state_))},
                {"to", std::string(ServingStateName(present))},
                {"answer_age_ms", Text(Elapsed(last_answer_, now))}});
    reported_state_ = present;
    if (present == ServingState::kAbsent ||
        present == ServingState::kBreakerOpen) {
      GiveBackQueued(RefusalOf(present));
    }
    for (auto& [session, home] : sessions_) home.is_dirty = true;
  }
}

void RunKeeper::CheckRuns(Instant now) {
  std::vector<RunKey> useless;
  for (auto& [key, run] : runs_) {
    if (run.phase == Phase::kQueued && now >= run.useful_by) {
      useless.push_back(key);
    } else if (run.phase == Phase::kStopping && !run.stop_confirmed &&
               now - run.stop_sent >= options_.stop_retry) {
      CallStop(&run, now);
    }
  }
  for (const RunKey& key : useless) {
    End(key, RunOutcome::kNotStarted, Reason::kDeadlinePassed, Millis(0));
  }
}

ServingState RunKeeper::state(Instant now) const {
  if (is_stopping_) return ServingState::kStopping;
  if (!worker_) return ServingState::kAbsent;
  // Runs of a former self still take room that is not known here.
  if (!is_settled_) return ServingState::kAbsent;
  if (now - last_answer_ > options_.silent_after) return ServingState::kAbsent;
  if (worker_->is_draining) return ServingState::kDraining;
  if (health_.is_open() && !health_.ProbeDue(now)) {
    return ServingState::kBreakerOpen;
  }
  return ServingState::kServing;
}

// Reports.

void RunKeeper::MarkStale() {
  for (auto& [session, home] : sessions_) home.is_stale = true;
}

// An entry tells it only along with orders and echoes.
bool RunKeeper::IsWorkFresh(const HomeSession& home, Instant now) const {
  return now - home.waiting_told <= options_.waiting_lifetime;
}

// Where tasks are short, a report each 100 ms tells of room that others have
// taken since. An entry with tasks that wait hears of each room from some
// guard.
void RunKeeper::TellOfRoom(Instant now) {
  if (!is_room_freed_ || !queue_.empty()) return;
  is_room_freed_ = false;
  if (state(now) != ServingState::kServing) return;
  std::vector<HomeSession*> homes;
  for (auto& [session, home] : sessions_) {
    if (!home.is_dirty) homes.push_back(&home);
  }
  const auto has_work = [&](const HomeSession& home) {
    return IsWorkFresh(home, now) && home.waiting_work != WorkByBand{};
  };
  const size_t count = std::min(options_.room_told, homes.size());
  std::partial_sort(homes.begin(),
                    homes.begin() + static_cast<ptrdiff_t>(count), homes.end(),
                    [&](const HomeSession* a, const HomeSession* b) {
                      const bool a_has_work = has_work(*a);
                      const bool b_has_work = has_work(*b);
                      if (a_has_work != b_has_work) return a_has_work;
                      return a->reported < b->reported;
                    });
  for (size_t i = 0; i < count; ++i) homes[i]->is_dirty = true;
}

int64_t RunKeeper::QueuedCpu() const {
  int64_t sum = 0;
  for (const RunKey& key : queue_) sum += runs_.at(key).order.need.cpu_millis;
  return sum;
}

uint64_t RunKeeper::QueuedWork() const {
  int64_t sum = 0;
  for (const RunKey& key : queue_) {
    const RunOrder& order = runs_.at(key).order;
    sum += order.need.cpu_millis * order.estimate.count();
  }
  return static_cast<uint64_t>(sum / kCpuMillisPerCore);
}

RunReport RunKeeper::MakeReport(uint64_t session, HomeSession* home,
                                Instant now) const {
  RunReport report;
  report.stamp = Stamp(now);
  report.seen_order = home->seen_order;
  report.is_settled = is_settled_;
  report.state = state(now);
  report.has_offer = home->told_offer != offer_version_;
  home->told_offer = offer_version_;
  if (report.has_offer) report.zone = options_.zone;
  if (report.has_offer && worker_) {
    report.service = worker_->service;
    report.rack = worker_->rack;
    report.labels = worker_->labels;
    report.capacity = worker_->capacity;
  }
  report.used = used_;
  report.queued_work = QueuedWork();
  report.linked_entries = static_cast<uint32_t>(sessions_.size());
  for (const auto& [number, other] : sessions_) {
    if (!IsWorkFresh(other, now)) continue;
    ++report.telling_entries;
    for (size_t band = 0; band < kWorkBands; ++band) {
      report.waiting_work[band] += other.waiting_work[band];
    }
  }
  report.slowness = health_.slowness();
  report.ends = std::exchange(home->ends, {});
  for (auto run = runs_.lower_bound({home->home, 0});
       run != runs_.end() && run->first.home == home->home; ++run) {
    if (run->second.session != session) ++report.earlier_runs;
  }
  return report;
}

HoldCall RunKeeper::NextHold(Millis wait, Instant now) {
  HoldCall call{worker_->life, fence_.value(), last_seen_, std::nullopt, wait};
  // A call that is carried out late would renew what was given up.
  const bool is_silent = now - last_answer_ > options_.renew_until;
  if (is_silent) call.wait = Millis(0);
  if (!runs_.empty() && !is_silent) {
    call.deadline = LeaseDeadline(now);
    last_renewal_ = now;
  }
  return call;
}

bool RunKeeper::NeedsLook(Instant now) const {
  if (look_in_flight_ || runs_.size() == queue_.size()) return false;
  const bool has_lost = now - hold_lost_ < options_.loss_memory;
  const Millis after =
      has_lost ? options_.look_after_loss : options_.look_after;
  return now - hold_sent_ >= after && now - look_sent_ >= after;
}

std::vector<KeeperAction> RunKeeper::TakeActions(Instant now) {
  if (worker_ && !hold_in_flight_ && now >= hold_not_before_) {
    hold_in_flight_ = true;
    hold_sent_ = now;
    const Millis wait =
        runs_.empty() ? options_.idle_hold_wait : options_.hold_wait;
    actions_.emplace_back(MakeHold{life_ticket_, false, NextHold(wait, now)});
  } else if (worker_ && NeedsLook(now)) {
    look_in_flight_ = true;
    look_sent_ = now;
    actions_.emplace_back(
        MakeHold{life_ticket_, true, NextHold(Millis(0), now)});
  }
  TellOfRoom(now);
  for (auto& [session, home] : sessions_) {
    const auto age = now - home.reported;
    const bool is_due = home.is_dirty ||
                        (home.is_stale && age >= options_.report_interval) ||
                        age >= options_.beat_interval;
    if (!is_due) continue;
    home.is_dirty = false;
    home.is_stale = false;
    home.reported = now;
    actions_.emplace_back(SendReport{session, MakeReport(session, &home, now)});
  }
  return std::exchange(actions_, {});
}

}  // namespace qs
