#pragma once

#include "quetzalspindle/time.h"

namespace qs {

// Notices that the machine was suspended. The steady clock does not count such
// time, so leases measured on it would seem to hold.
class SuspendWatch {
 public:
  SuspendWatch();

  // How long the machine was suspended since the last call, zero where it was
  // not.
  Millis Check();

 private:
  Millis offset_;  // Of the clock that counts suspended time.
};

}  // namespace qs
