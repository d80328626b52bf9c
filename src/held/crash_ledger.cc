#include "held/crash_ledger.h"

#include <algorithm>

namespace qs {
namespace {

// See CrashVerdict::kConvicted.
constexpr int kCrashes = 2;
constexpr int kUnconfirmedAlone = 2;
constexpr int kCrashesIfUnconfirmed = 3;

}  // namespace

void CrashLedger::OnRunLost(const std::string& task, Address guard,
                            bool was_alone, Instant now) {
  Add(task, guard, now)->was_alone = was_alone;
}

bool CrashLedger::OnWorkerLoss(Address guard, Incarnation process,
                               const WorkerLoss& loss, Instant now) {
  Told& told = told_[guard];
  if (told.process != process) told = {process, 0};
  if (loss.number != 0 && loss.number <= told.number) return false;
  told.number = std::max(told.number, loss.number);
  ResolveAll(guard, loss, now);
  return true;
}

void CrashLedger::OnCrashElsewhere(Address guard, const WorkerLoss& loss,
                                   Instant now) {
  if (loss.has_crashed) ResolveAll(guard, loss, now);
}

void CrashLedger::ResolveAll(Address guard, const WorkerLoss& loss,
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

CrashLedger::Count CrashLedger::CountLosses(const std::string& task,
                                            Instant now) const {
  Count count;
  ForEachLossOf(task, now, [&](const Loss& loss) {
    switch (loss.outcome) {
      case Outcome::kCrashed:
        ++count.crashes;
        count.crashed_alone += loss.was_alone ? 1 : 0;
        return;
      case Outcome::kPerhapsThere:
        ++count.unconfirmed;
        count.unconfirmed_alone += loss.was_alone ? 1 : 0;
        return;
      case Outcome::kUnresolved:
        if (now - loss.recorded_at > options_.max_unresolved) return;
        ++count.unresolved;
        count.unresolved_alone += loss.was_alone ? 1 : 0;
        return;
      case Outcome::kRefuted:
        return;
    }
  });
  return count;
}

bool CrashLedger::IsConvicted(const Count& count) {
  if (count.crashes >= kCrashes && count.crashed_alone > 0) return true;
  return count.unconfirmed_alone >= kUnconfirmedAlone &&
         count.crashes + count.unconfirmed >= kCrashesIfUnconfirmed;
}

CrashVerdict CrashLedger::Judge(const std::string& task, Instant now) const {
  const Count count = CountLosses(task, now);
  if (IsConvicted(count)) return CrashVerdict::kConvicted;
  if (count.unresolved > 0) {
    Count if_crashed = count;
    if_crashed.crashes += count.unresolved;
    if_crashed.crashed_alone += count.unresolved_alone;
    Count if_unconfirmed = count;
    if_unconfirmed.unconfirmed += count.unresolved;
    if_unconfirmed.unconfirmed_alone += count.unresolved_alone;
    if (IsConvicted(if_crashed) || IsConvicted(if_unconfirmed)) {
      return CrashVerdict::kOnHold;
    }
  }
  return count.crashes + count.unresolved + count.unconfirmed > 0
             ? CrashVerdict::kSuspect
             : CrashVerdict::kSound;
}

std::string CrashLedger::CrashesUnder(const std::string& task,
                                      Instant now) const {
  std::string text;
  ForEachLossOf(task, now, [&](const Loss& loss) {
    const bool is_confirmed = loss.outcome == Outcome::kCrashed;
    if (!is_confirmed && loss.outcome != Outcome::kPerhapsThere) return;
    if (!text.empty()) text += ", ";
    text += loss.guard.ToString() + " worker of " +
            std::to_string(loss.started_at) +
            (loss.was_alone ? " alone" : " with others") +
            (is_confirmed ? "" : " unconfirmed");
  });
  return text;
}

}  // namespace qs
