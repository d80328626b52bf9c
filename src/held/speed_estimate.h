#pragma once

#include <cstdint>

namespace qs {

// Follows the ratio of run times to expected run times on one worker, on a
// logarithmic scale, so that a few runs that last many times longer than
// expected do not dominate.
class SpeedEstimate {
 public:
  // Bounds of a ratio that is taken in, and so of the estimate.
  static constexpr double kSmallestRatio = 0.25;
  static constexpr double kLargestRatio = 10;

  // A run ended after `ratio` times its expected run time.
  void OnRunEnded(double ratio);
  // `ratio` is the median projected run time of the current runs, as a multiple
  // of the expected run times. Of the runs that are current at a moment, more
  // are long than of those that start, so `ratio` counts only if it differs
  // much from the estimate.
  void OnProgress(double ratio);

  // 1 if no run was observed.
  double factor() const;
  double log_factor() const { return steady_; }
  uint32_t runs() const { return runs_; }

 private:
  void Jump();

  // Natural logarithms of moving averages. The steady one has little noise; it
  // is set to the recent one when both differ so much that the worker must have
  // changed.
  double steady_ = 0;
  double recent_ = 0;
  uint32_t runs_ = 0;
};

}  // namespace qs
