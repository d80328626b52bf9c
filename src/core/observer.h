#pragma once

#include <cstddef>
#include <string>

#include "core/placement_choice.h"
#include "quetzalspindle/job.h"
#include "quetzalspindle/time.h"

namespace qs {

// Receives the events that the state machines report for metrics. The metrics
// exporter overrides the hooks; the defaults do nothing, which suits tests.
class Observer {
 public:
  virtual ~Observer() = default;

  // A submission or another request of a caller was refused as a whole.
  void Refused(Reason reason) { OnRefused(reason); }
  // A task was returned unstarted and will be granted again.
  void Retried(Reason reason) { OnRetried(reason); }
  // A task of an accepted job ended with this outcome.
  void TaskEnded(Outcome outcome, Reason reason) {
    OnTaskEnded(outcome, reason);
  }
  // A job ended `age` after it was accepted.
  void JobEnded(JobState state, Millis age) { OnJobEnded(state, age); }
  // An executor started a task `queued` after it received the grant.
  void TaskStarted(Clock::duration queued) { OnTaskStarted(queued); }
  // A backend server finished a task that ran for `run_time`.
  void TaskRan(Clock::duration run_time) { OnTaskRan(run_time); }
  // A placement of a held job's task was decided.
  void TaskPlaced(PlacementChoice choice) { OnTaskPlaced(choice); }
  // A guard reported an impossible speed of its worker.
  void SpeedReportIgnored() { OnSpeedReportIgnored(); }
  // Tasks of `queue` are believed, or no longer believed (effect 0), to take
  // longer beside tasks of `neighbour`; see InterferencePair.
  void InterferenceChanged(const std::string& queue,
                           const std::string& neighbour, double effect,
                           double standard_error) {
    OnInterferenceChanged(queue, neighbour, effect, standard_error);
  }
  // A guard reported impossible sums of run times beside neighbours.
  void InterferenceSumsIgnored() { OnInterferenceSumsIgnored(); }
  // The circuit breaker of this guard opened or closed.
  void BreakerChanged(bool open) { OnBreakerChanged(open); }
  // A held job cannot be on time any more and gives way to others.
  void JobGaveWay() { OnJobGaveWay(); }
  // The declared weights of `queues` queues are not usable.
  void WeightsRejected(size_t queues) { OnWeightsRejected(queues); }

 private:
  virtual void OnRefused(Reason /*reason*/) {}
  virtual void OnRetried(Reason /*reason*/) {}
  virtual void OnTaskEnded(Outcome /*outcome*/, Reason /*reason*/) {}
  virtual void OnJobEnded(JobState /*state*/, Millis /*age*/) {}
  virtual void OnTaskStarted(Clock::duration /*queued*/) {}
  virtual void OnTaskRan(Clock::duration /*run_time*/) {}
  virtual void OnTaskPlaced(PlacementChoice /*choice*/) {}
  virtual void OnSpeedReportIgnored() {}
  virtual void OnInterferenceChanged(const std::string& /*queue*/,
                                     const std::string& /*neighbour*/,
                                     double /*effect*/,
                                     double /*standard_error*/) {}
  virtual void OnInterferenceSumsIgnored() {}
  virtual void OnBreakerChanged(bool /*open*/) {}
  virtual void OnJobGaveWay() {}
  virtual void OnWeightsRejected(size_t /*queues*/) {}
};

}  // namespace qs
