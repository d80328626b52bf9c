#pragma once

#include <optional>

#include "quetzalspindle/time.h"

namespace qs {

// What a guard knows of its worker's steady clock, which answers tell.
class WorkerClock {
 public:
  // An answer that tells a time further behind the estimate than `tolerance`
  // was overtaken by another one.
  explicit WorkerClock(Millis tolerance) : tolerance_(tolerance) {}

  // `told` is absent where the answer does not say.
  void Note(const std::optional<Millis>& told, Instant now);
  // Of another life, nothing is known.
  void Forget() { told_.reset(); }

  // The worker's time, if it ever told one.
  std::optional<Millis> At(Instant now) const;

 private:
  Millis tolerance_;
  std::optional<Millis> told_;
  Instant told_at_;
};

}  // namespace qs
