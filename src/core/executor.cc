#include "core/executor.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/observer.h"

namespace qs {
namespace {

TaskResult NotRun(Reason reason) { return {Outcome::kNotRun, reason, {}}; }

// Whether a result speaks against the backend server rather than the task.
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
      // These numbers belong to an earlier run of this guard, whose records are
      // lost. No record is made: this incarnation never starts them.
      Reply(home, {grant.number,
                   GrantPhase::kEnded,
                   {Outcome::kUnknown, Reason::kExecutorLost, {}}});
    }
    return;
  }
  HomeState& state = homes_[home];
  state.cut_off = false;
  RaiseWatermark(&state, batch.watermark);
  for (Grant& grant : batch.grants) {
    Accept(home, &state, std::move(grant), now);
  }
  StartReady(now);
}

void Executor::Accept(Incarnation home, HomeState* state, Grant grant,
                      Instant now) {
  const GrantNumber number = grant.number;
  if (number < state->watermark || number < state->forgotten) return;
  const auto [entry, is_new] = state->records.try_emplace(number);
  if (!is_new) {
    AnswerKnown(home, *entry);
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
  // While stopping, the jobs of this process's own home may still end here.
  if (stopping_ && home != self_) return Reason::kStopping;
  const Reason refusal = RefusalOf(backend_state(now));
  if (refusal != Reason::kNone) return refusal;
  if (!Offers(grant.service)) return Reason::kWrongService;
  // While the breaker is open, one grant at a time comes in as the probe.
  if (breaker_.open() && running_ + queued_ > 0) return Reason::kBreakerOpen;
  const uint32_t slots = announcement_.slots;
  const uint32_t limit = slots + slots * options_.queue_per_slot;
  if (running_ + queued_ >= limit) return Reason::kExecutorQueueFull;
  return Reason::kNone;
}

bool Executor::Offers(const std::string& service) const {
  const auto& services = announcement_.services;
  return std::find(services.begin(), services.end(), service) != services.end();
}

void Executor::RaiseWatermark(HomeState* state, GrantNumber watermark) {
  if (watermark <= state->watermark) return;
  state->watermark = watermark;
  auto entry = state->records.begin();
  while (entry != state->records.end() && entry->first < watermark) {
    // A grant still queued here was given up by its home and must not start.
    if (entry->second.phase == GrantPhase::kQueued) {
      --queued_;
      --state->outstanding;
    }
    // A running one still holds its slot; OnTaskEnded releases that.
    if (entry->second.phase == GrantPhase::kRunning) --state->outstanding;
    entry = state->records.erase(entry);
  }
}

void Executor::AnswerKnown(Incarnation home, const Records::value_type& entry) {
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
  state.cut_off = false;
  RaiseWatermark(&state, ask.watermark);
  for (const GrantNumber number : ask.numbers) {
    if (number < state.watermark) continue;
    if (number < state.forgotten) {
      Reply(home, {number,
                   GrantPhase::kEnded,
                   {Outcome::kUnknown, Reason::kExecutorLost, {}}});
      continue;
    }
    const auto [entry, is_new] = state.records.try_emplace(number);
    state.highest = std::max(state.highest, number);
    Record& record = entry->second;
    if (is_new) {
      // The grant never arrived. The record refuses it if it still comes.
      End(home, number, &record, NotRun(Reason::kGrantLost));
    } else if (ask.withdraw && record.phase == GrantPhase::kQueued) {
      --queued_;
      --state.outstanding;
      End(home, number, &record, NotRun(Reason::kWithdrawn));
    } else {
      AnswerKnown(home, *entry);
    }
  }
  StartReady(now);
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
  JudgeBackend(result, now);
  const auto home = homes_.find(key.home);
  if (home != homes_.end()) {
    const auto entry = home->second.records.find(key.number);
    if (entry != home->second.records.end()) {
      assert(entry->second.phase == GrantPhase::kRunning);
      --home->second.outstanding;
      End(key.home, key.number, &entry->second, std::move(result));
    }
  }
  StartReady(now);
}

void Executor::JudgeBackend(const TaskResult& result, Instant now) {
  const bool was_open = breaker_.open();
  if (IsBackendFault(result.reason)) {
    breaker_.OnFailure(now);
  } else if (result.outcome == Outcome::kNotRun) {
    breaker_.OnProbeUnused();
  } else {
    breaker_.OnSuccess();
  }
  if (breaker_.open()) GiveBackAll(Reason::kBreakerOpen);
  if (breaker_.open() != was_open) observer_->BreakerChanged(breaker_.open());
}

void Executor::GiveBack(HomeState* state, Incarnation home, Reason reason) {
  for (auto& [number, record] : state->records) {
    if (record.phase != GrantPhase::kQueued) continue;
    --queued_;
    --state->outstanding;
    End(home, number, &record, NotRun(reason));
  }
}

void Executor::GiveBackAll(Reason reason) {
  for (auto& [home, state] : homes_) GiveBack(&state, home, reason);
}

void Executor::OnHomeUnreachable(Incarnation home, Instant now) {
  now_ = now;
  const auto found = homes_.find(home);
  if (found == homes_.end() || found->second.cut_off) return;
  found->second.cut_off = true;
  found->second.cut_off_at = now;
}

void Executor::OnHomeTerminated(Incarnation home, Instant now) {
  now_ = now;
  const auto found = homes_.find(home);
  if (found == homes_.end()) return;
  Forget(&found->second, home);
}

// Drops the records of a home. The highest number seen stays, so that a late
// duplicate does not start and a late question is not answered "not run".
void Executor::Forget(HomeState* state, Incarnation home) {
  GiveBack(state, home, Reason::kWithdrawn);
  state->forgotten = std::max(state->forgotten, state->highest + 1);
  state->records.clear();
  state->outstanding = 0;
  replies_.erase(home);
}

void Executor::OnAnnouncement(const Announcement& announcement, Instant now) {
  now_ = now;
  announcement_ = announcement;
  announced_ = true;
  announced_at_ = now;
  if (announcement.draining) GiveBackAll(Reason::kExecutorDraining);
  StartReady(now);
}

void Executor::OnBackendWithdrawn(Instant now) {
  now_ = now;
  announced_ = false;
  GiveBackAll(Reason::kBackendAbsent);
}

void Executor::SetDraining(bool draining, Instant now) {
  now_ = now;
  draining_ = draining;
  if (draining) GiveBackAll(Reason::kExecutorDraining);
}

void Executor::Stop(Instant now) {
  now_ = now;
  stopping_ = true;
  GiveBackAll(Reason::kStopping);
  // Each home acknowledges what it is told again, so that nothing is kept back.
  for (auto& [home, state] : homes_) {
    for (const auto& entry : state.records) AnswerKnown(home, entry);
  }
}

void Executor::OnTimer(Instant now) {
  now_ = now;
  if (state(now) == ServingState::kAbsent) GiveBackAll(Reason::kBackendAbsent);
  for (auto& [home, state] : homes_) {
    if (!state.cut_off) continue;
    const auto cut_off_for = now - state.cut_off_at;
    if (cut_off_for >= options_.unreachable_home_timeout) {
      GiveBack(&state, home, Reason::kWithdrawn);
    }
    if (cut_off_for >= options_.home_forget) Forget(&state, home);
  }
  StartReady(now);
}

void Executor::StartReady(Instant now) {
  while (running_ < announcement_.slots && StartNext(now)) {
  }
}

// Starts the first grant of the queue that is still queued. Returns whether the
// queue may hold another one to start.
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
  if (!announced_ || now - announced_at_ > options_.announcement_ttl) {
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
    return entry.second.records.empty() || entry.second.cut_off;
  });
}

}  // namespace qs
