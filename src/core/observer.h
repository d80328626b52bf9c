#pragma once

#include "quetzalspindle/job.h"
#include "quetzalspindle/time.h"

namespace qs {

// Receives what the deciding parts count. The metrics implement it; tests may
// leave the hooks as they are.
class Observer {
 public:
  virtual ~Observer() = default;

  // A submission or request was refused as a whole.
  void Refused(Reason reason) { OnRefused(reason); }
  // A task came back unstarted and will be granted again.
  void Retried(Reason reason) { OnRetried(reason); }
  // A task of an accepted job ended.
  void TaskEnded(Outcome outcome, Reason reason) {
    OnTaskEnded(outcome, reason);
  }
  // A job was answered `age` after its acceptance.
  void JobEnded(JobState state, Millis age) { OnJobEnded(state, age); }
  // An executor started a task that had been with it for `queued`.
  void TaskStarted(Clock::duration queued) { OnTaskStarted(queued); }
  // A backend server finished a task after `run_time`.
  void TaskRan(Clock::duration run_time) { OnTaskRan(run_time); }
  // The circuit breaker of this guard opened or closed.
  void BreakerChanged(bool open) { OnBreakerChanged(open); }

 private:
  virtual void OnRefused(Reason /*reason*/) {}
  virtual void OnRetried(Reason /*reason*/) {}
  virtual void OnTaskEnded(Outcome /*outcome*/, Reason /*reason*/) {}
  virtual void OnJobEnded(JobState /*state*/, Millis /*age*/) {}
  virtual void OnTaskStarted(Clock::duration /*queued*/) {}
  virtual void OnTaskRan(Clock::duration /*run_time*/) {}
  virtual void OnBreakerChanged(bool /*open*/) {}
};

}  // namespace qs
