#include "held/worker_health.h"

#include <cmath>

namespace qs {
namespace {

// Weight of the newest ended run in the moving average.
constexpr double kFailureGain = 0.15;
constexpr Millis kProgressInterval{100};

}  // namespace

WorkerHealth::WorkerHealth(const WorkerHealthOptions& options)
    : options_(options), breaker_(options.breaker) {}

void WorkerHealth::OnDone(Millis run_time, Millis expected) {
  RecordRatio(run_time, expected);
  failure_share_ *= 1 - kFailureGain;
  breaker_.OnSuccess();
}

void WorkerHealth::OnFailed(Instant now) { RecordFailure(now); }

void WorkerHealth::OnStalled(Millis run_time, Millis expected, Instant now) {
  RecordRatio(run_time, expected);
  RecordFailure(now);
}

void WorkerHealth::OnProgress(double ratio, Instant now) {
  if (now - last_progress_ < kProgressInterval) return;
  last_progress_ = now;
  speed_.OnProgress(ratio);
}

void WorkerHealth::OnUnhealthy(Instant now) { RecordFailure(now); }

void WorkerHealth::RecordFailure(Instant now) {
  failure_share_ += (1 - failure_share_) * kFailureGain;
  breaker_.OnFailure(now);
  if (failure_share_ > options_.failure_share_to_open) {
    breaker_.Trip(now);
    failure_share_ = 0;
  }
}

void WorkerHealth::RecordRatio(Millis run_time, Millis expected) {
  if (expected <= Millis(0)) return;
  speed_.OnRunEnded(static_cast<double>(run_time.count()) /
                    static_cast<double>(expected.count()));
}

uint32_t WorkerHealth::slowness() const {
  return static_cast<uint32_t>(std::lround(speed_.factor() * 100));
}

}  // namespace qs
