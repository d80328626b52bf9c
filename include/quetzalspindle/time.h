#pragma once

#include <chrono>
#include <ctime>

namespace qs {

// Monotonic time of one process, on CLOCK_BOOTTIME. It goes on while the
// machine is suspended, so that leases expire meanwhile and the first event
// after the suspension is judged by the time that has really passed. Values of
// different processes are not comparable, so messages carry durations only.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};
using Instant = Clock::time_point;
using Millis = std::chrono::milliseconds;

// The time from `from` to `to`, in whole milliseconds.
inline Millis Elapsed(Instant from, Instant to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

}  // namespace qs
