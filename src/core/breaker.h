#pragma once

#include <cstdint>

#include "quetzalspindle/time.h"

namespace qs {

struct BreakerOptions {
  uint32_t failures_to_open = 5;  // Consecutive failures.
  Millis first_pause{500};        // Before the first probe; doubles on failure.
  Millis longest_pause{30'000};
};

// Circuit breaker of one backend server. While closed it allows every task.
// After `failures_to_open` consecutive failures it opens and allows no task
// until a pause is over. Then it allows one task at a time as a probe. A failed
// probe starts a pause twice as long; one success closes the breaker.
class Breaker {
 public:
  explicit Breaker(const BreakerOptions& options);

  bool open() const { return open_; }

  // Whether the breaker is open and would allow a probe now.
  bool ProbeDue(Instant now) const {
    return open_ && !probing_ && now >= probe_at_;
  }

  // Returns whether one more task may start now. If this returns true while the
  // breaker is open, that task is the probe, and no other task is allowed until
  // OnSuccess, OnFailure or OnProbeUnused is called.
  bool Allow(Instant now);
  void OnSuccess();
  void OnFailure(Instant now);
  // Opens the breaker if it is closed, regardless of the number of failures.
  void Trip(Instant now);
  // The allowed task ended without showing whether the backend server works,
  // for example because it did not run. The next task may be the probe.
  void OnProbeUnused();

 private:
  void Open(Instant now);

  BreakerOptions options_;
  bool open_ = false;
  bool probing_ = false;
  uint32_t failures_ = 0;
  Millis pause_{0};
  Instant probe_at_;
};

}  // namespace qs
