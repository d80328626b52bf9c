#pragma once

#include <cstdint>

#include "core/breaker.h"
#include "quetzalspindle/time.h"

namespace qs {

struct WorkerHealthOptions {
  BreakerOptions breaker{3, Millis(500), Millis(4000)};
  // Share of failures among recent ends that opens the breaker.
  double failure_share_to_open = 0.5;
};

// Judges one worker by the ends of its runs: whether it fails too many, and how
// its run times compare with the estimates.
class WorkerHealth {
 public:
  explicit WorkerHealth(const WorkerHealthOptions& options);

  bool is_open() const { return breaker_.open(); }
  bool ProbeDue(Instant now) const { return breaker_.ProbeDue(now); }
  // Whether one more run may start. While open, claims the probe.
  bool Allow(Instant now) { return breaker_.Allow(now); }

  void OnDone(Millis run_time, Millis estimate);
  void OnFailed(Instant now);
  // A run made no progress and was stopped.
  void OnStalled(Millis run_time, Millis estimate, Instant now);
  // The mean of what the present runs are projected to take, as a multiple of
  // their estimates. Looks that follow each other closely count as one.
  void OnProgress(double ratio, Instant now);
  // The worker refuses everything.
  void OnUnhealthy(Instant now);
  void OnUnjudged() { breaker_.OnProbeUnused(); }

  // Recent run times in percent of their estimates; 100 for a new worker.
  uint32_t slowness() const;

 private:
  void NoteRatio(Millis run_time, Millis estimate);
  void NoteFailure(Instant now);

  WorkerHealthOptions options_;
  Breaker breaker_;
  double failure_share_ = 0;
  double slowness_ = 1.0;
  Instant progress_noted_;
};

}  // namespace qs
