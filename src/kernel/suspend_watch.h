#pragma once

#include "quetzalspindle/time.h"

namespace qs {

// Detects that the machine was suspended. The steady clock stands still during
// a suspension, so leases measured on it would appear valid after they have
// expired.
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
