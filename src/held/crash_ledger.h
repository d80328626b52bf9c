#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "quetzalspindle/address.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

struct CrashLedgerOptions {
  // Time for which a loss is remembered. Callers may send a job again at any
  // time within it.
  Millis max_age{600'000};
  // Time for which a loss counts while its guard has not said whether the
  // worker crashed. The guard says so once the worker has started again.
  Millis max_unresolved{10'000};
  // Losses that are remembered, counted once for each task; beyond it, the
  // oldest is forgotten.
  size_t max_losses = 4096;
};

// What the losses of workers under a task say about the task.
enum class CrashVerdict : uint8_t {
  kSound,
  kSuspect,  // A worker crashed, or may have crashed, while the task ran or
             // may have run.
  kOnHold,   // Convicted if the unresolved losses turn out to be crashes.
  // Two workers crashed, and on one of them the task was alone. Or three did,
  // and two of them had nothing but a start of the task that they had not
  // confirmed: one such start may have come too late, as the worker had crashed
  // for another reason.
  kConvicted,
};

// Remembers which tasks ran on workers when these crashed. A loss begins
// unresolved, when a run ends because its worker refuses connections, and is
// resolved when the worker's guard says what became of the worker.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerOptions& options) : options_(options) {}

  // A run of the task was lost with the worker of the guard at this address.
  // `was_alone` says whether it was ordered to run alone.
  void OnRunLost(const std::string& task, Address guard, bool was_alone,
                 Instant now);
  // This process of the guard at the address has told what became of an
  // incarnation of its worker. It may tell so again on another connection; that
  // says nothing about later losses. Returns whether it is told for the first
  // time.
  bool OnWorkerLoss(Address guard, Incarnation process, const WorkerLoss& loss,
                    Instant now);

  // Another entry has heard of a crash from this guard, to which this entry has
  // no link.
  void OnCrashElsewhere(Address guard, const WorkerLoss& loss, Instant now);

  CrashVerdict Judge(const std::string& task, Instant now) const;
  // The crashes under a task, for the log.
  std::string CrashesUnder(const std::string& task, Instant now) const;
  bool is_empty() const { return losses_.empty(); }
  size_t size() const { return losses_.size(); }

 private:
  enum class Outcome : uint8_t {
    kUnresolved,
    kCrashed,
    kPerhapsThere,  // The worker crashed, but the task's start may have been
                    // lost before.
    kRefuted
  };

  // The loss of one worker while one task ran there.
  struct Loss {
    std::string task;
    Address guard;
    Instant recorded_at;
    Outcome outcome = Outcome::kUnresolved;
    uint64_t started_at = 0;  // Of the worker; 0 while unresolved.
    bool was_alone = false;   // No other task ran on the worker.
  };

  // The newest loss of which a guard has told.
  struct Told {
    Incarnation process;
    uint64_t number = 0;
  };

  // Losses under a task by outcome, and those of them in which it was alone.
  struct Count {
    int crashes = 0;
    int crashed_alone = 0;
    int unconfirmed = 0;  // Of kPerhapsThere.
    int unconfirmed_alone = 0;
    int unresolved = 0;
    int unresolved_alone = 0;
  };

  static bool IsConvicted(const Count& count);
  void ResolveAll(Address guard, const WorkerLoss& loss, Instant now);
  Count CountLosses(const std::string& task, Instant now) const;
  // Resolves the oldest unresolved loss of the task at this guard, if any.
  void Resolve(const std::string& task, Address guard, const WorkerLoss& loss,
               Outcome outcome, Instant now);
  Loss* Add(const std::string& task, Address guard, Instant now);
  void RemoveOldest();
  bool IsForgotten(const Loss& loss, Instant now) const;
  // Calls `visit` for each remembered loss of the task, the oldest first.
  template <typename Visit>
  void ForEachLossOf(const std::string& task, Instant now, Visit visit) const;

  CrashLedgerOptions options_;
  uint64_t next_loss_ = 1;
  std::map<uint64_t, Loss> losses_;  // By number, which rises with time.
  std::unordered_map<std::string, std::set<uint64_t>> losses_of_task_;
  std::unordered_map<Address, Told> told_;  // By guard.
};

}  // namespace qs
