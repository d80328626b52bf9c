#pragma once

#include <optional>

#include "quetzalspindle/time.h"

namespace qs {

// Estimates the worker's steady clock from the clock readings in the worker's
// answers.
class WorkerClock {
 public:
  // A reading that differs from the estimate by more than `tolerance` is
  // ignored: a newer answer has overtaken it, or it is wrong. It counts once
  // the next one agrees with it.
  explicit WorkerClock(Millis tolerance) : tolerance_(tolerance) {}

  // Takes in the clock reading of an answer; does nothing if the answer has
  // none.
  void Update(const std::optional<Millis>& reading, Instant now);
  // Discards the reading, because another incarnation of the worker may have
  // another clock.
  void Reset() {
    reading_.reset();
    doubted_.reset();
  }
  // Whether the reading agrees with the estimate. Nothing does while there is
  // none.
  bool Agrees(Millis reading, Instant now) const;

  // The worker's estimated time at `now`, or nothing if there was no reading
  // since the last Reset.
  std::optional<Millis> At(Instant now) const;

 private:
  bool IsNear(Millis reading, Millis estimate) const;

  Millis tolerance_;
  std::optional<Millis> reading_;
  Instant read_at_;
  // The newest reading, if it was ignored.
  std::optional<Millis> doubted_;
  Instant doubted_at_;
};

}  // namespace qs
