#pragma once

#include "quetzalspindle/time.h"

namespace qs {

// Times that together ensure that a task has one run at a time. The table in
// docs/design/platform.md tells who extends which.

// A guard stops the runs of a home that has echoed no report of this long.
inline constexpr Millis kHomeLease{700};
// Longest lease that a guard asks its worker for.
inline constexpr Millis kWorkerLease{1000};
// Lease that a call asks for. Shorter than kUnstoppedRunLimit, so that a run of
// a home with an older echo can start while the lease is in force.
inline constexpr Millis kRenewedLease{750};
// Longest time from the newest report that a home has echoed until the end of
// every lease that its runs share, on the guard's estimate of the worker's
// clock.
inline constexpr Millis kUnstoppedRunLimit{950};
// Nothing is started, and orders are refused, while the worker's lease cannot
// be extended to this length.
inline constexpr Millis kShortestLease{150};
// Time from the end of a home's lease until the stops of its runs are usually
// confirmed.
inline constexpr Millis kUsualStop{100};
// For timer ticks, the time of the stop itself, and slow clocks.
inline constexpr Millis kReleaseSlack{200};
// A caller that lost its answer submits the job again after this, at the
// earliest.
inline constexpr Millis kCallerResend{1300};
// Assumed longest time from the end of a caller's connection until its entry
// learns of it: one retransmission of the FIN by TCP, after 200 ms, and a
// margin.
inline constexpr Millis kCallerEndDelay{250};
// A guard renews no lease, and starts nothing, by a reading of the worker's
// clock that is older than this.
inline constexpr Millis kOldestClockReading{900};
// For the transit time of a call to the worker and for the worker's own delay.
inline constexpr Millis kWorkerDelay{60};
// A worker's clock may run this much slow.
inline constexpr int kSlowClockPercent = 2;

// Returns the time in which a worker's clock advances by `time`, rounded up, if
// it is as slow as it may be.
constexpr Millis OnSlowestClock(Millis time) {
  constexpr int kRest = 100 - kSlowClockPercent;
  return Millis((time.count() * 100 + kRest - 1) / kRest);
}

// Returns the longest time from the newest report that a home has echoed until
// its runs have ended, with leases of `lease`, if no stop is carried out. The
// error of the worker's clock grows from the reading to the end of the lease.
constexpr Millis UnstoppedRunEnd(Millis limit, Millis lease) {
  const Millis estimated =
      kOldestClockReading + (lease < limit ? lease : limit);
  return limit + OnSlowestClock(estimated) - estimated + kWorkerDelay;
}

// Returns the time after which an entry that hears nothing from a guard repeats
// a task: the guard may live and have its stops carried out, or have ended, or
// live and have no stop carried out.
constexpr Millis ReleaseAfter(Millis home_lease, Millis worker_lease,
                              Millis slack) {
  const Millis leases = home_lease + worker_lease + slack;
  const Millis unstopped = UnstoppedRunEnd(kUnstoppedRunLimit, worker_lease);
  return leases < unstopped ? unstopped : leases;
}

// No entry echoes a report that it received after the end of a caller's
// connection had reached it and was not handled yet.
static_assert(kCallerEndDelay +
                  UnstoppedRunEnd(kUnstoppedRunLimit, kWorkerLease) <=
              kCallerResend);
static_assert(UnstoppedRunEnd(kUnstoppedRunLimit, kWorkerLease) <=
              kHomeLease + kWorkerLease + kReleaseSlack);
static_assert(kRenewedLease <= kWorkerLease);
static_assert(kRenewedLease < kUnstoppedRunLimit);
// A run is told to stop before its lease ends it, and runs of other homes can
// start while it stops.
static_assert(kHomeLease + kUsualStop + kShortestLease <= kUnstoppedRunLimit);

}  // namespace qs
