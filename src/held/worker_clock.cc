#include "held/worker_clock.h"

namespace qs {

void WorkerClock::Update(const std::optional<Millis>& reading, Instant now) {
  if (!reading) return;
  const std::optional<Millis> estimate = At(now);
  if (estimate && *reading + tolerance_ < *estimate) return;
  reading_ = reading;
  read_at_ = now;
}

std::optional<Millis> WorkerClock::At(Instant now) const {
  if (!reading_) return std::nullopt;
  return *reading_ + Elapsed(read_at_, now);
}

}  // namespace qs
