#pragma once

#include <cstdint>

#include "quetzalspindle/time.h"

namespace qs {

struct BreakerOptions {
  uint32_t failures_to_open = 5;  // In a row.
  Millis first_pause{500};        // Before the first probe; doubles each time.
  Millis longest_pause{30'000};
};

// Circuit breaker of one backend server. Closed, it lets every task pass. After
// a run of failures it opens: no task passes until a pause is over, then one
// task at a time passes as a probe, and one success closes it.
class Breaker {
 public:
  explicit Breaker(const BreakerOptions& options);

  bool open() const { return open_; }

  // Whether a probe could start now.
  bool ProbeDue(Instant now) const {
    return open_ && !probing_ && now >= probe_at_;
  }

  // Whether one more task may start now. A true answer while open claims the
  // probe, which the next OnSuccess, OnFailure or OnProbeUnused releases.
  bool Allow(Instant now);
  void OnSuccess();
  void OnFailure(Instant now);
  // Opens a closed breaker whatever the run of failures.
  void Trip(Instant now);
  // The allowed task ended without a verdict on the backend server.
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
