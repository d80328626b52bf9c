#include "kernel/suspend_watch.h"

#include <ctime>

#include "base/log.h"

namespace qs {
namespace {

// The two clocks are not read at the same moment, so smaller differences are
// not taken for a suspension.
constexpr Millis kReadingError{50};

Millis Read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<Millis>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

Millis Offset() { return Read(CLOCK_BOOTTIME) - Read(CLOCK_MONOTONIC); }

}  // namespace

SuspendWatch::SuspendWatch() : offset_(Offset()) {}

bool SuspendWatch::HasBeenSuspended() {
  const Millis offset = Offset();
  const Millis suspended = offset - offset_;
  if (suspended <= kReadingError) return false;
  offset_ = offset;
  Log(LogLevel::kWarn, "suspended",
      {{"for_ms", std::to_string(suspended.count())}});
  return true;
}

}  // namespace qs
