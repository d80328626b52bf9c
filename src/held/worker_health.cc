#include "held/worker_health.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

// Weight of the newest ended run in the moving averages.
constexpr double kFailureGain = 0.15;
constexpr double kSlownessGain = 0.15;
// The progress of all current runs weighs more than the end of one run.
constexpr double kProgressGain = 0.3;
constexpr Millis kProgressInterval{100};
// Limits the influence of a single run whose estimate was far off.
constexpr double kLargestRatio = 10;
constexpr double kSmallestRatio = 0.25;

}  // namespace

WorkerHealth::WorkerHealth(const WorkerHealthOptions& options)
    : options_(options), breaker_(options.breaker) {}

void WorkerHealth::OnDone(Millis run_time, Millis estimate) {
  RecordRatio(run_time, estimate);
  failure_share_ *= 1 - kFailureGain;
  breaker_.OnSuccess();
}

void WorkerHealth::OnFailed(Instant now) { RecordFailure(now); }

void WorkerHealth::OnStalled(Millis run_time, Millis estimate, Instant now) {
  RecordRatio(run_time, estimate);
  RecordFailure(now);
}

void WorkerHealth::OnProgress(double ratio, Instant now) {
  if (now - last_progress_ < kProgressInterval) return;
  last_progress_ = now;
  const double bounded = std::clamp(ratio, kSmallestRatio, kLargestRatio);
  slowness_ += (bounded - slowness_) * kProgressGain;
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

void WorkerHealth::RecordRatio(Millis run_time, Millis estimate) {
  if (estimate <= Millis(0)) return;
  const double ratio = std::clamp(static_cast<double>(run_time.count()) /
                                      static_cast<double>(estimate.count()),
                                  kSmallestRatio, kLargestRatio);
  slowness_ += (ratio - slowness_) * kSlownessGain;
}

uint32_t WorkerHealth::slowness() const {
  return static_cast<uint32_t>(std::lround(slowness_ * 100));
}

}  // namespace qs
