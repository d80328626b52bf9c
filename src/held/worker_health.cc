#include "held/worker_health.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

// Share of the newest end in the moving means.
constexpr double kFailureGain = 0.15;
constexpr double kSlownessGain = 0.15;
// A look at all present runs weighs more than one end.
constexpr double kLookGain = 0.3;
constexpr Millis kLookInterval{100};
// One run far off its estimate says little.
constexpr double kLargestRatio = 10;
constexpr double kSmallestRatio = 0.25;

}  // namespace

WorkerHealth::WorkerHealth(const WorkerHealthOptions& options)
    : options_(options), breaker_(options.breaker) {}

void WorkerHealth::OnDone(Millis run_time, Millis estimate) {
  NoteRatio(run_time, estimate);
  failure_share_ *= 1 - kFailureGain;
  breaker_.OnSuccess();
}

void WorkerHealth::OnFailed(Instant now) { NoteFailure(now); }

void WorkerHealth::OnStalled(Millis run_time, Millis estimate, Instant now) {
  NoteRatio(run_time, estimate);
  NoteFailure(now);
}

void WorkerHealth::OnProgress(double ratio, Instant now) {
  if (now - progress_noted_ < kLookInterval) return;
  progress_noted_ = now;
  const double bounded = std::clamp(ratio, kSmallestRatio, kLargestRatio);
  slowness_ += (bounded - slowness_) * kLookGain;
}

void WorkerHealth::OnUnhealthy(Instant now) { NoteFailure(now); }

void WorkerHealth::NoteFailure(Instant now) {
  failure_share_ += (1 - failure_share_) * kFailureGain;
  breaker_.OnFailure(now);
  if (failure_share_ > options_.failure_share_to_open) {
    breaker_.Trip(now);
    failure_share_ = 0;
  }
}

void WorkerHealth::NoteRatio(Millis run_time, Millis estimate) {
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
