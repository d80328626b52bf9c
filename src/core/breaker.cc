#include "core/breaker.h"

#include <algorithm>

namespace qs {

Breaker::Breaker(const BreakerOptions& options) : options_(options) {}

bool Breaker::Allow(Instant now) {
  if (!open_) return true;
  if (probing_ || now < probe_at_) return false;
  probing_ = true;
  return true;
}

void Breaker::OnSuccess() {
  open_ = false;
  probing_ = false;
  failures_ = 0;
  pause_ = Millis(0);
}

void Breaker::OnFailure(Instant now) {
  ++failures_;
  if (open_) {
    // The failed task may have started before the breaker opened and so not be
    // the probe. Its failure still restarts the pause, which doubles only if a
    // probe was in progress.
    Open(now);
    return;
  }
  if (failures_ >= options_.failures_to_open) Open(now);
}

void Breaker::OnProbeUnused() { probing_ = false; }

void Breaker::Open(Instant now) {
  const bool was_probe = open_ && probing_;
  if (!open_) {
    pause_ = options_.first_pause;
  } else if (was_probe) {
    pause_ = std::min(pause_ * 2, options_.longest_pause);
  }
  open_ = true;
  probing_ = false;
  probe_at_ = now + pause_;
}

void Breaker::Trip(Instant now) {
  if (!open_) Open(now);
}

}  // namespace qs
