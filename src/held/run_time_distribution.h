#pragma once

#include <array>
#include <cstddef>

namespace qs {

// Distribution of the ratios of run times to expected run times, aged by the
// number of samples. With few samples it stays near the distribution that it
// was made with.
class RunTimeDistribution {
 public:
  RunTimeDistribution();

  void Add(double ratio);
  // Probability that a ratio is at most `ratio`.
  double AtMost(double ratio) const;
  // Mean ratio, and mean of the natural logarithms; 1 and 0 without samples.
  double Mean() const { return mean_; }
  double LogMean() const { return log_mean_; }
  // Number of samples that the distribution rests on, aged ones less.
  double samples() const { return samples_; }

 private:
  // Buckets of equal width on a logarithmic scale.
  static constexpr int kPerOctave = 6;
  static constexpr int kOctavesBelow = 4;  // Of a ratio of 1.
  static constexpr int kOctavesAbove = 4;
  static constexpr size_t kBuckets =
      static_cast<size_t>(kPerOctave) * (kOctavesBelow + kOctavesAbove);

  // Share of the samples in this bucket and those below.
  std::array<double, kBuckets> at_most_{};
  double samples_ = 0;
  double mean_ = 1;
  double log_mean_ = 0;
};

}  // namespace qs
