#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quetzalspindle/time.h"
#include "quetzalspindle/worker_protocol.h"
#include "wire/messages.h"

namespace qs {

class DecisionLog;

struct LossRecorderOptions {
  // A loss is forgotten this long after it began or was resolved. Longer than
  // the time for which a job may be sent again.
  Millis lifetime{60'000};
  size_t max_losses = 64;  // Number of losses kept; older ones are forgotten.
};

// What the state of a lost incarnation was concluded from, for the log.
enum class LossEvidence : uint8_t {
  kConnectionRefused,  // The worker's address refuses connections.
  kOtherIncarnation,   // Another incarnation is known.
  kOtherAnswered,      // Another incarnation has answered a poll.
  kAnsweredAgain,      // The lost incarnation has answered a poll.
  kDraining,           // It had announced that it takes no more runs.
  kWithdrawn           // It had announced its end.
};

// Remembers which runs were on an incarnation of the worker when it was lost,
// and finds out whether it crashed. Does no I/O and uses no threads.
class LossRecorder {
 public:
  using TaskAttempt = std::pair<std::string, uint32_t>;
  struct LostRun {
    TaskAttempt run;
    bool is_confirmed = false;  // The worker had confirmed its start.
  };

  // `log` must outlive the recorder.
  LossRecorder(const LossRecorderOptions& options, DecisionLog* log);

  // The incarnation may have crashed while it had `runs`. Adds them to the loss
  // if one is suspected already. Does nothing without runs, or if the start
  // time of the incarnation is not known.
  void Suspect(const WorkerIncarnation& worker,
               const std::vector<LostRun>& runs, LossEvidence evidence,
               Instant now);
  bool IsSuspected(const WorkerIncarnation& worker) const;

  // The run did not take place on a lost incarnation, or it ended before.
  void RemoveRun(const TaskAttempt& run);
  // The run has ended here.
  void OnRunEnded(const TaskAttempt& run);

  // The incarnation that began at `started_at` has answered a poll that was
  // sent at `sent`. Another one has crashed then, but this is told only once
  // its runs have ended, so that homes learn of the ends first.
  void OnAnswer(uint64_t started_at, Instant sent, Instant now);
  // The incarnation has announced that it leaves. Its start time is zero if the
  // message did not say it.
  void OnLeave(const WorkerIncarnation& worker, LossEvidence evidence,
               Instant now);
  void Expire(Instant now);

  // Resolved losses are numbered from one. Returns those above `number`.
  std::vector<WorkerLoss> ResolvedAfter(uint64_t number) const;
  uint64_t last_number() const { return last_number_; }

 private:
  struct Suspicion {
    WorkerIncarnation worker;
    Instant began_at;
    std::vector<TaskAttempt> runs;
    std::vector<TaskAttempt> open_runs;  // Those that have not ended.
    std::vector<TaskAttempt> confirmed_runs;
  };
  struct Resolved {
    uint64_t number = 0;
    Instant resolved_at;
    WorkerLoss loss;
  };

  static std::vector<std::string> TasksOf(const std::vector<TaskAttempt>& runs);
  void Resolve(const Suspicion& suspicion, bool has_crashed,
               LossEvidence evidence, Instant now);

  LossRecorderOptions options_;
  DecisionLog* log_;
  uint64_t last_number_ = 0;
  std::deque<Suspicion> suspicions_;
  std::deque<Resolved> resolved_;
};

}  // namespace qs
