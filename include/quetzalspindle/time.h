#pragma once

#include <chrono>

namespace qs {

// Monotonic time of one process. Values of different processes never compare;
// messages carry durations only.
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Millis = std::chrono::milliseconds;

}  // namespace qs
