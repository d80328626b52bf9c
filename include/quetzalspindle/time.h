#pragma once

#include <chrono>

namespace qs {

// Monotonic time of one process. Values of different processes are not
// comparable, so messages carry durations only.
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Millis = std::chrono::milliseconds;

// The time from `from` to `to`, in whole milliseconds.
inline Millis Elapsed(Instant from, Instant to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

}  // namespace qs
