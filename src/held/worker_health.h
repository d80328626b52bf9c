#pragma once

#include <cstdint>

#include "core/breaker.h"
#include "held/speed_estimate.h"
#include "quetzalspindle/time.h"

namespace qs {

struct WorkerHealthOptions {
  BreakerOptions breaker{3, Millis(500), Millis(4000)};
  // The breaker opens when the moving average of failures among ended runs
  // exceeds this share.
  double failure_share_to_open = 0.5;
};

// Rates one worker by its runs: whether too many of them fail, and how their
// run times compare with the estimates.
class WorkerHealth {
 public:
  explicit WorkerHealth(const WorkerHealthOptions& options);

  bool is_open() const { return breaker_.open(); }
  bool ProbeDue(Instant now) const { return breaker_.ProbeDue(now); }
  // Returns whether one more run may start. While the breaker is open, a
  // positive answer claims the probe.
  bool Allow(Instant now) { return breaker_.Allow(now); }

  void OnDone(Millis run_time, Millis expected);
  void OnFailed(Instant now);
  // A run was stopped as a straggler.
  void OnStalled(Millis run_time, Millis expected, Instant now);
  // `ratio` is the median projected run time of the current runs, as a multiple
  // of the expected ones. Calls within 100 ms of the last one that was taken in
  // are ignored.
  void OnProgress(double ratio, Instant now);
  // The worker refused a start because it takes no work at present.
  void OnUnhealthy(Instant now);
  // A run ended, or never started, for a reason that says nothing about the
  // worker. If it was the probe, another run may be the probe.
  void OnInconclusive() { breaker_.OnProbeUnused(); }

  // Moving average of run times in percent of the expected ones; 100 for a new
  // worker.
  uint32_t slowness() const;
  // Number of runs that `slowness` rests on.
  uint32_t slowness_runs() const { return speed_.runs(); }

 private:
  void RecordRatio(Millis run_time, Millis expected);
  void RecordFailure(Instant now);

  WorkerHealthOptions options_;
  Breaker breaker_;
  double failure_share_ = 0;
  SpeedEstimate speed_;
  Instant last_progress_;
};

}  // namespace qs
