#include "held/worker_clock.h"

namespace qs {

void WorkerClock::Update(const std::optional<Millis>& reading, Instant now) {
  if (!reading) return;
  const bool is_doubted = reading_ && !Agrees(*reading, now);
  const bool is_repeated =
      doubted_ && IsNear(*reading, *doubted_ + Elapsed(doubted_at_, now));
  if (is_doubted && !is_repeated) {
    doubted_ = reading;
    doubted_at_ = now;
    return;
  }
  doubted_.reset();
  reading_ = reading;
  read_at_ = now;
}

bool WorkerClock::Agrees(Millis reading, Instant now) const {
  const std::optional<Millis> estimate = At(now);
  return estimate && IsNear(reading, *estimate);
}

bool WorkerClock::IsNear(Millis reading, Millis estimate) const {
  return reading <= estimate + tolerance_ && estimate <= reading + tolerance_;
}

std::optional<Millis> WorkerClock::At(Instant now) const {
  if (!reading_) return std::nullopt;
  return *reading_ + Elapsed(read_at_, now);
}

}  // namespace qs
