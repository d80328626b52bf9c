#include "held/crash_ledger.h"

namespace qs {

void CrashLedger::OnRunLost(const std::string& task, Address guard,
                            bool was_alone, Instant now) {
  Add(task, guard, now)->was_alone = was_alone;
}

void CrashLedger::OnWorkerLoss(Address guard, const WorkerLoss& loss,
                               Instant now) {
  const Outcome outcome =
      loss.has_crashed ? Outcome::kCrashed : Outcome::kRefuted;
  for (const std::string& task : loss.tasks) {
    Resolve(task, guard, loss, outcome, now);
  }
  for (const std::string& task : loss.unconfirmed_tasks) {
    Resolve(task, guard, loss,
            loss.has_crashed ? Outcome::kPerhapsThere : outcome, now);
  }
}

void CrashLedger::Resolve(const std::string& task, Address guard,
                          const WorkerLoss& loss, Outcome outcome,
                          Instant now) {
  Loss* resolved = nullptr;
  Loss* refuted = nullptr;
  if (const auto found = losses_of_task_.find(task);
      found != losses_of_task_.end()) {
    for (const uint64_t number : found->second) {
      Loss& known = losses_.at(number);
      if (known.guard != guard) continue;
      if (known.outcome == Outcome::kUnresolved) {
        if (resolved == nullptr) resolved = &known;
        continue;
      }
      if (known.started_at != loss.started_at) continue;
      // A crash is final, and this is the same. A worker that went on after a
      // loss can still crash.
      if (known.outcome != Outcome::kRefuted) return;
      refuted = &known;
    }
  }
  if (resolved == nullptr) resolved = refuted;
  if (resolved == nullptr) resolved = Add(task, guard, now);
  resolved->outcome = outcome;
  resolved->started_at = loss.started_at;
  resolved->was_alone = loss.task_count() == 1;
}

CrashLedger::Loss* CrashLedger::Add(const std::string& task, Address guard,
                                    Instant now) {
  while (!losses_.empty() && IsForgotten(losses_.begin()->second, now)) {
    RemoveOldest();
  }
  if (losses_.size() >= options_.max_losses) RemoveOldest();
  const uint64_t number = next_loss_++;
  losses_of_task_[task].insert(number);
  Loss& loss = losses_[number];
  loss.task = task;
  loss.guard = guard;
  loss.recorded_at = now;
  return &loss;
}

void CrashLedger::RemoveOldest() {
  const auto oldest = losses_.begin();
  const auto of_task = losses_of_task_.find(oldest->second.task);
  of_task->second.erase(oldest->first);
  if (of_task->second.empty()) losses_of_task_.erase(of_task);
  losses_.erase(oldest);
}

bool CrashLedger::IsForgotten(const Loss& loss, Instant now) const {
  return now - loss.recorded_at > options_.max_age;
}

template <typename Visit>
void CrashLedger::ForEachLossOf(const std::string& task, Instant now,
                                Visit visit) const {
  const auto found = losses_of_task_.find(task);
  if (found == losses_of_task_.end()) return;
  for (const uint64_t number : found->second) {
    const Loss& loss = losses_.at(number);
    if (!IsForgotten(loss, now)) visit(loss);
  }
}

CrashVerdict CrashLedger::Judge(const std::string& task, Instant now) const {
  int crashes = 0;
  int unresolved = 0;
  bool was_perhaps_there = false;
  bool crashed_alone = false;
  bool was_alone = false;
  ForEachLossOf(task, now, [&](const Loss& loss) {
    if (loss.outcome == Outcome::kCrashed) {
      ++crashes;
      crashed_alone = crashed_alone || loss.was_alone;
    } else if (loss.outcome == Outcome::kPerhapsThere) {
      was_perhaps_there = true;
    } else if (loss.outcome == Outcome::kUnresolved &&
               now - loss.recorded_at <= options_.max_unresolved) {
      ++unresolved;
      was_alone = was_alone || loss.was_alone;
    }
  });
  if (crashes >= 2 && crashed_alone) return CrashVerdict::kConvicted;
  if (unresolved > 0 && crashes + unresolved >= 2 &&
      (crashed_alone || was_alone)) {
    return CrashVerdict::kOnHold;
  }
  return crashes + unresolved > 0 || was_perhaps_there ? CrashVerdict::kSuspect
                                                       : CrashVerdict::kSound;
}

std::string CrashLedger::CrashesUnder(const std::string& task,
                                      Instant now) const {
  std::string text;
  ForEachLossOf(task, now, [&](const Loss& loss) {
    if (loss.outcome != Outcome::kCrashed) return;
    if (!text.empty()) text += ", ";
    text += loss.guard.ToString() + " worker of " +
            std::to_string(loss.started_at) +
            (loss.was_alone ? " alone" : " with others");
  });
  return text;
}

}  // namespace qs
