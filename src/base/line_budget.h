#pragma once

#include <cstdint>

#include "quetzalspindle/time.h"

namespace qs {

// Limits the rate of log lines with a token bucket: `per_second` lines are
// allowed on average and at most `burst` at once. Not thread-safe.
class LineBudget {
 public:
  LineBudget(uint32_t per_second, uint32_t burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Consumes the token of one line. If there is none, counts the line as
  // dropped and returns false.
  bool Take(Instant now);
  void CountDropped() { ++dropped_; }
  // Returns the number of lines dropped since the last call and resets it.
  uint64_t TakeDropped();

 private:
  double per_second_;
  double burst_;
  double tokens_;
  Instant refilled_;
  uint64_t dropped_ = 0;
};

}  // namespace qs
