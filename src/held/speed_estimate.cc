#include "held/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

// Weights of the newest run. The first runs weigh more in the steady average,
// beside an assumed ratio of 1 that counts as `kAssumedRuns` runs.
constexpr double kSteadyGain = 0.06;
constexpr double kRecentGain = 0.2;
constexpr double kProgressGain = 0.3;
constexpr double kAssumedRuns = 2;
// Largest influence of one run, as a natural logarithm: a ratio of 3.3.
constexpr double kMaxDeviation = 1.2;
// The averages differ by about a quarter of this by chance, when run times vary
// by half and one in thirty lasts seven times as long.
constexpr double kChangeDeviation = 0.7;  // A ratio of 2.
constexpr uint32_t kMaxRuns = 1'000'000;

double LogOf(double ratio) {
  return std::log(std::clamp(ratio, SpeedEstimate::kSmallestRatio,
                             SpeedEstimate::kLargestRatio));
}

double Deviation(double from, double to) {
  return std::clamp(to - from, -kMaxDeviation, kMaxDeviation);
}

}  // namespace

void SpeedEstimate::OnRunEnded(double ratio) {
  const double value = LogOf(ratio);
  runs_ = std::min(runs_ + 1, kMaxRuns);
  const double gain = std::max(kSteadyGain, 1 / (runs_ + kAssumedRuns));
  steady_ += gain * Deviation(steady_, value);
  recent_ += std::max(gain, kRecentGain) * Deviation(recent_, value);
  Jump();
}

void SpeedEstimate::OnProgress(double ratio) {
  const double value = LogOf(ratio);
  if (std::abs(value - steady_) < kChangeDeviation) return;
  runs_ = std::min(runs_ + 1, kMaxRuns);
  recent_ += kProgressGain * (value - recent_);
  Jump();
}

void SpeedEstimate::Jump() {
  if (std::abs(recent_ - steady_) > kChangeDeviation) steady_ = recent_;
}

double SpeedEstimate::factor() const { return std::exp(steady_); }

}  // namespace qs
