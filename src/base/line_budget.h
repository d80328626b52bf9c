#pragma once

#include <cstdint>

#include "quetzalspindle/time.h"

namespace qs {

// Bounds the lines that a process logs: so many a second, with a reserve for
// bursts. For one thread at a time.
class LineBudget {
 public:
  LineBudget(uint32_t per_second, uint32_t burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Takes the room of one line. Returns false, and counts the line as dropped,
  // where there is none.
  bool Take(Instant now);
  void CountDropped() { ++dropped_; }
  // Lines dropped since the last call.
  uint64_t TakeDropped();

 private:
  double per_second_;
  double burst_;
  double tokens_;
  Instant refilled_;
  uint64_t dropped_ = 0;
};

}  // namespace qs
