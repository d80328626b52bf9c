#pragma once

#include "quetzalspindle/time.h"

namespace qs {

// Notices that the machine was suspended. The steady clock does not count such
// time, so leases measured on it would seem to hold.
class SuspendWatch {
 public:
  SuspendWatch();

  // Whether the machine was suspended since the last call. Logs for how long.
  bool HasBeenSuspended();

 private:
  Millis offset_;  // Of the clock that counts suspended time.
};

}  // namespace qs
