#include "held/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

// Samples after which an older one counts half as much, divided by ln 2.
constexpr double kMemory = 300;
// The initial distribution counts as much as this many samples: logarithms are
// normally distributed with this standard deviation.
constexpr double kAssumedSamples = 20;
constexpr double kAssumedDeviation = 0.5;

double AssumedAtMost(double log_ratio) {
  return std::erfc(-log_ratio / kAssumedDeviation / std::sqrt(2.0)) / 2;
}

}  // namespace

RunTimeDistribution::RunTimeDistribution() {
  for (size_t i = 0; i + 1 < kBuckets; ++i) {
    const double octaves =
        (static_cast<double>(i) + 1) / kPerOctave - kOctavesBelow;
    at_most_.at(i) = AssumedAtMost(octaves * std::log(2.0));
  }
  at_most_.back() = 1;
}

void RunTimeDistribution::Add(double ratio) {
  const double octaves =
      std::clamp(std::log2(std::max(ratio, 0.0)) + kOctavesBelow, 0.0,
                 static_cast<double>(kOctavesBelow + kOctavesAbove));
  const auto bucket =
      std::min(static_cast<size_t>(octaves * kPerOctave), kBuckets - 1);
  const double gain = 1 / std::min(samples_ + kAssumedSamples + 1, kMemory);
  for (size_t i = 0; i < kBuckets; ++i) {
    at_most_.at(i) += gain * ((i >= bucket ? 1 : 0) - at_most_.at(i));
  }
  const double bounded = std::exp2(octaves - kOctavesBelow);
  mean_ += gain * (bounded - mean_);
  log_mean_ += gain * (std::log(bounded) - log_mean_);
  samples_ = std::min(samples_ + 1, kMemory - kAssumedSamples);
}

double RunTimeDistribution::AtMost(double ratio) const {
  if (ratio <= 0) return 0;
  const double position =
      (std::log2(ratio) + kOctavesBelow) * static_cast<double>(kPerOctave);
  if (position <= 0) return 0;
  if (position >= static_cast<double>(kBuckets)) return 1;
  const auto whole = static_cast<size_t>(position);
  const double below = whole == 0 ? 0 : at_most_.at(whole - 1);
  return below +
         (at_most_.at(whole) - below) * (position - static_cast<double>(whole));
}

}  // namespace qs
