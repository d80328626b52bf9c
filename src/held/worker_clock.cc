#include "held/worker_clock.h"

namespace qs {

void WorkerClock::Note(const std::optional<Millis>& told, Instant now) {
  if (!told) return;
  const std::optional<Millis> estimate = At(now);
  if (estimate && *told + tolerance_ < *estimate) return;
  told_ = told;
  told_at_ = now;
}

std::optional<Millis> WorkerClock::At(Instant now) const {
  if (!told_) return std::nullopt;
  return *told_ + Elapsed(told_at_, now);
}

}  // namespace qs
