#pragma once

#include <optional>

#include "quetzalspindle/time.h"

namespace qs {

// Estimates the worker's steady clock from the clock readings in the worker's
// answers.
class WorkerClock {
 public:
  // A reading that is more than `tolerance` behind the estimate comes from an
  // answer that a newer one has overtaken; it is ignored.
  explicit WorkerClock(Millis tolerance) : tolerance_(tolerance) {}

  // Takes in the clock reading of an answer; does nothing if the answer has
  // none.
  void Update(const std::optional<Millis>& reading, Instant now);
  // Discards the reading, because another incarnation of the worker may have
  // another clock.
  void Reset() { reading_.reset(); }

  // The worker's estimated time at `now`, or nothing if there was no reading
  // since the last Reset.
  std::optional<Millis> At(Instant now) const;

 private:
  Millis tolerance_;
  std::optional<Millis> reading_;
  Instant read_at_;
};

}  // namespace qs
