#include "core/executor.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/observer.h"

namespace qs {
namespace {

TaskResult NotRun(Reason reason) { return {Outcome::kNotRun, reason, {}}; }

// Whether a failure with this reason counts against the backend server rather
// than against the task.
bool IsBackendFault(Reason reason) {
  return reason == Reason::kBackendFailed ||
         reason == Reason::kBackendDisconnected ||
         reason == Reason::kBackendTimeout ||
         reason == Reason::kBackendUnreachable;
}

}  // namespace

Executor::Executor(const ExecutorOptions& options, Incarnation self,
                   Observer* observer)
    : options_(options),
      self_(self),
      observer_(observer),
      breaker_(options.breaker) {}

void Executor::OnGrants(Incarnation home, GrantBatch batch, Instant now) {
  now_ = now;
  if (batch.target != self_) {
    for (const Grant& grant : batch.grants) {
      // The batch was sent to an earlier incarnation of this guard, whose
      // records are lost, so the outcome is unknown. No record is needed here
      // because this incarnation never starts these grants.
      Reply(home, {grant.number,
                   GrantPhase::kEnded,
                   {Outcome::kUnknown, Reason::kExecutorLost, {}}});
    }
    return;
  }
  HomeState& state = homes_[home];
  state.is_unreachable = false;
  RaiseWatermark(&state, batch.watermark);
  for (Grant& grant : batch.grants) {
    Accept(home, &state, std::move(grant), now);
  }
  StartQueued(now);
}

void Executor::Accept(Incarnation home, HomeState* state, Grant grant,
                      Instant now) {
  const GrantNumber number = grant.number;
  if (number < state->watermark || number < state->dropped_below) return;
  const auto [entry, is_new] = state->records.try_emplace(number);
  if (!is_new) {
    ReplyKnownState(home, *entry);
    return;
  }
  state->highest = std::max(state->highest, number);
  Record& record = entry->second;
  record.received = now;
  const Reason refusal = RefusalFor(home, grant, now);
  if (refusal != Reason::kNone) {
    End(home, number, &record, NotRun(refusal));
    return;
  }
  record.deadline = now + grant.remaining;
  record.service = std::move(grant.service);
  record.payload = std::move(grant.payload);
  ++state->outstanding;
  ++queued_;
  queue_.push_back({home, number});
}

Reason Executor::RefusalFor(Incarnation home, const Grant& grant,
                            Instant now) const {
  // While stopping, grants of the home in this process are still accepted, so
  // that its jobs can end.
  if (stopping_ && home != self_) return Reason::kStopping;
  const Reason refusal = RefusalOf(backend_state(now));
  if (refusal != Reason::kNone) return refusal;
  if (!OffersService(grant.service)) return Reason::kWrongService;
  // While the breaker is open, one grant at a time is accepted as the probe.
  if (breaker_.open() && running_ + queued_ > 0) return Reason::kBreakerOpen;
  if (running_ + queued_ >= GrantLimit()) return Reason::kExecutorQueueFull;
  return Reason::kNone;
}

// The number of grants that may be queued or running at once.
uint32_t Executor::GrantLimit() const {
  const uint32_t slots = announcement_.slots;
  return slots + slots * options_.queue_per_slot;
}

bool Executor::OffersService(const std::string& service) const {
  const auto& services = announcement_.services;
  return std::find(services.begin(), services.end(), service) != services.end();
}

void Executor::RaiseWatermark(HomeState* state, GrantNumber watermark) {
  if (watermark <= state->watermark) return;
  state->watermark = watermark;
  auto entry = state->records.begin();
  while (entry != state->records.end() && entry->first < watermark) {
    // The home has closed this grant, so it must not start if still queued.
    if (entry->second.phase == GrantPhase::kQueued) {
      --queued_;
      --state->outstanding;
    }
    // A running task keeps its slot until OnTaskEnded.
    if (entry->second.phase == GrantPhase::kRunning) --state->outstanding;
    entry = state->records.erase(entry);
  }
}

void Executor::ReplyKnownState(Incarnation home,
                               const Records::value_type& entry) {
  const Record& record = entry.second;
  Reply(home, {entry.first, record.phase, record.result});
}

void Executor::OnAsk(Incarnation home, const AskBatch& ask, Instant now) {
  now_ = now;
  if (ask.target != self_) {
    for (const GrantNumber number : ask.numbers) {
      Reply(home, {number,
                   GrantPhase::kEnded,
                   {Outcome::kUnknown, Reason::kExecutorLost, {}}});
    }
    return;
  }
  HomeState& state = homes_[home];
  state.is_unreachable = false;
  RaiseWatermark(&state, ask.watermark);
  for (const GrantNumber number : ask.numbers) {
    if (number < state.watermark) continue;
    if (number < state.dropped_below) {
      Reply(home, {number,
                   GrantPhase::kEnded,
                   {Outcome::kUnknown, Reason::kExecutorLost, {}}});
      continue;
    }
    const auto [entry, is_new] = state.records.try_emplace(number);
    state.highest = std::max(state.highest, number);
    Record& record = entry->second;
    if (is_new) {
      // The grant has not arrived. The record made here refuses it if it
      // arrives later.
      End(home, number, &record, NotRun(Reason::kGrantLost));
    } else if (ask.withdraw && record.phase == GrantPhase::kQueued) {
      --queued_;
      --state.outstanding;
      End(home, number, &record, NotRun(Reason::kWithdrawn));
    } else {
      ReplyKnownState(home, *entry);
    }
  }
  StartQueued(now);
}

void Executor::End(Incarnation home, GrantNumber number, Record* record,
                   TaskResult result) {
  record->phase = GrantPhase::kEnded;
  record->result = std::move(result);
  record->payload.clear();
  record->payload.shrink_to_fit();
  Reply(home, {number, GrantPhase::kEnded, record->result});
}

void Executor::OnTaskEnded(const GrantKey& key, TaskResult result,
                           Instant now) {
  now_ = now;
  assert(running_ > 0);
  --running_;
  UpdateBreaker(result, now);
  const auto home = homes_.find(key.home);
  if (home != homes_.end()) {
    const auto entry = home->second.records.find(key.number);
    if (entry != home->second.records.end()) {
      assert(entry->second.phase == GrantPhase::kRunning);
      --home->second.outstanding;
      End(key.home, key.number, &entry->second, std::move(result));
    }
  }
  StartQueued(now);
}

void Executor::UpdateBreaker(const TaskResult& result, Instant now) {
  const bool was_open = breaker_.open();
  if (IsBackendFault(result.reason)) {
    breaker_.OnFailure(now);
  } else if (result.outcome == Outcome::kNotRun) {
    breaker_.OnProbeUnused();
  } else {
    breaker_.OnSuccess();
  }
  if (breaker_.open()) ReturnAllQueued(Reason::kBreakerOpen);
  if (breaker_.open() != was_open) observer_->BreakerChanged(breaker_.open());
}

void Executor::ReturnQueued(HomeState* state, Incarnation home, Reason reason) {
  for (auto& [number, record] : state->records) {
    if (record.phase != GrantPhase::kQueued) continue;
    --queued_;
    --state->outstanding;
    End(home, number, &record, NotRun(reason));
  }
}

void Executor::ReturnAllQueued(Reason reason) {
  for (auto& [home, state] : homes_) ReturnQueued(&state, home, reason);
}

// Returns the queued grants that the announced capacity no longer admits, so
// that other executors can run them.
void Executor::ReturnExcess() {
  const uint32_t limit = GrantLimit();
  for (auto key = queue_.rbegin(); key != queue_.rend(); ++key) {
    if (queued_ == 0 || running_ + queued_ <= limit) return;
    HomeState& home = homes_.at(key->home);
    const auto entry = home.records.find(key->number);
    if (entry == home.records.end()) continue;
    if (entry->second.phase != GrantPhase::kQueued) continue;
    --queued_;
    --home.outstanding;
    End(key->home, key->number, &entry->second,
        NotRun(Reason::kExecutorQueueFull));
  }
}

void Executor::OnHomeUnreachable(Incarnation home, Instant now) {
  now_ = now;
  const auto found = homes_.find(home);
  if (found == homes_.end() || found->second.is_unreachable) return;
  found->second.is_unreachable = true;
  found->second.unreachable_since = now;
}

void Executor::OnHomeTerminated(Incarnation home, Instant now) {
  now_ = now;
  const auto found = homes_.find(home);
  if (found == homes_.end()) return;
  DropRecords(&found->second, home);
}

// Drops the queued grants, the records and the unsent replies of a home. The
// highest number received is kept in `dropped_below`, so that a late duplicate
// of a grant does not start and a late status request is not answered "not
// run".
void Executor::DropRecords(HomeState* state, Incarnation home) {
  ReturnQueued(state, home, Reason::kWithdrawn);
  state->dropped_below = std::max(state->dropped_below, state->highest + 1);
  state->records.clear();
  state->outstanding = 0;
  replies_.erase(home);
}

void Executor::OnAnnouncement(const Announcement& announcement, Instant now) {
  now_ = now;
  announcement_ = announcement;
  has_announcement_ = true;
  announced_at_ = now;
  if (announcement.draining) ReturnAllQueued(Reason::kExecutorDraining);
  ReturnExcess();
  StartQueued(now);
}

void Executor::OnBackendWithdrawn(Instant now) {
  now_ = now;
  has_announcement_ = false;
  ReturnAllQueued(Reason::kBackendAbsent);
}

void Executor::SetDraining(bool draining, Instant now) {
  now_ = now;
  draining_ = draining;
  if (draining) ReturnAllQueued(Reason::kExecutorDraining);
}

void Executor::Stop(Instant now) {
  now_ = now;
  stopping_ = true;
  ReturnAllQueued(Reason::kStopping);
  // Sends every state again, so that each home acknowledges the results that it
  // has received and this process can exit.
  for (auto& [home, state] : homes_) {
    for (const auto& entry : state.records) ReplyKnownState(home, entry);
  }
}

void Executor::OnTimer(Instant now) {
  now_ = now;
  if (state(now) == ServingState::kAbsent) {
    ReturnAllQueued(Reason::kBackendAbsent);
  }
  for (auto& [home, state] : homes_) {
    if (!state.is_unreachable) continue;
    const auto unreachable_for = now - state.unreachable_since;
    if (unreachable_for >= options_.unreachable_home_timeout) {
      ReturnQueued(&state, home, Reason::kWithdrawn);
    }
    if (unreachable_for >= options_.record_retention) DropRecords(&state, home);
  }
  StartQueued(now);
}

void Executor::StartQueued(Instant now) {
  while (running_ < announcement_.slots && StartNext(now)) {
  }
}

// Starts the first grant in the queue that has neither been returned nor passed
// its deadline. Returns whether it started one.
bool Executor::StartNext(Instant now) {
  while (!queue_.empty()) {
    const GrantKey key = queue_.front();
    const auto home = homes_.find(key.home);
    assert(home != homes_.end());
    const auto entry = home->second.records.find(key.number);
    const bool is_queued = entry != home->second.records.end() &&
                           entry->second.phase == GrantPhase::kQueued;
    if (!is_queued) {
      queue_.pop_front();
      continue;
    }
    Record& record = entry->second;
    if (now >= record.deadline) {
      queue_.pop_front();
      --queued_;
      --home->second.outstanding;
      End(key.home, key.number, &record, NotRun(Reason::kDeadlinePassed));
      continue;
    }
    if (!breaker_.Allow(now)) return false;
    queue_.pop_front();
    --queued_;
    ++running_;
    record.phase = GrantPhase::kRunning;
    observer_->TaskStarted(now - record.received);
    const auto remaining =
        std::chrono::duration_cast<Millis>(record.deadline - now);
    actions_.emplace_back(StartTask{key, announcement_.address, remaining,
                                    record.service, std::move(record.payload)});
    return true;
  }
  return false;
}

void Executor::Reply(Incarnation home, GrantStatus status) {
  replies_[home].push_back(std::move(status));
}

std::vector<ExecutorAction> Executor::TakeActions() {
  Load load = this->load(now_);
  for (auto& [home, statuses] : replies_) {
    const auto found = homes_.find(home);
    load.yours = found == homes_.end() ? 0 : found->second.outstanding;
    actions_.emplace_back(SendReplies{home, {load, std::move(statuses)}});
  }
  replies_.clear();
  return std::exchange(actions_, {});
}

Load Executor::load(Instant now) const {
  return {announcement_.slots, running_, queued_, 0, state(now)};
}

ServingState Executor::state(Instant now) const {
  return stopping_ ? ServingState::kStopping : backend_state(now);
}

ServingState Executor::backend_state(Instant now) const {
  if (draining_) return ServingState::kDraining;
  if (!has_announcement_ || now - announced_at_ > options_.announcement_ttl) {
    return ServingState::kAbsent;
  }
  if (announcement_.draining) return ServingState::kDraining;
  if (breaker_.open() && !breaker_.ProbeDue(now)) {
    return ServingState::kBreakerOpen;
  }
  return ServingState::kServing;
}

bool Executor::AllAcknowledged() const {
  return std::all_of(homes_.begin(), homes_.end(), [](const auto& entry) {
    return entry.second.records.empty() || entry.second.is_unreachable;
  });
}

}  // namespace qs
