#pragma once

#include "quetzalspindle/time.h"

namespace qs {

// Detects that the machine was suspended. Leases expire by themselves, since
// Clock goes on during a suspension; timers and the clocks of processes that
// were suspended along with this one do not.
class SuspendWatch {
 public:
  SuspendWatch();

  // Whether the machine was suspended since the last call. Logs the duration if
  // so.
  bool HasBeenSuspended();

 private:
  // CLOCK_BOOTTIME, which includes suspensions, minus CLOCK_MONOTONIC.
  Millis offset_;
};

}  // namespace qs
