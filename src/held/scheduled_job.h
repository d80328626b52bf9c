#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/memory_budget.h"
#include "held/waiting_tasks.h"
#include "quetzalspindle/held_job.h"
#include "quetzalspindle/ids.h"

namespace qs {

enum class TaskPhase : uint8_t {
  kBlocked,     // An earlier step has open tasks.
  kWaiting,     // Ready, waits for a worker.
  kOnHold,      // Ready; see CrashVerdict.
  kDispatched,  // Has an open run.
  kDone         // Ended with success.
};

struct ScheduledTask {
  uint32_t step = 0;
  uint32_t index = 0;  // Within the step.
  TaskPhase phase = TaskPhase::kBlocked;
  uint32_t attempt = 1;
  uint32_t failures = 0;
  uint64_t run = 0;             // Number of the open run; 0 without one.
  std::set<Incarnation> avoid;  // See PlacementNeed.
};

struct ScheduledJob {
  uint64_t number = 0;
  HeldJob spec;
  std::vector<uint64_t> callers;
  std::string service;
  uint32_t max_attempts = 1;
  Millis priority_delay{0};  // See JobSchedulerOptions.
  // Estimated run time of its longest chain of steps.
  Millis critical_path{0};
  double slack_factor = 0;
  // Estimated run time of the longest chain of steps after each step.
  std::vector<Millis> after_step;
  Instant arrived_at;       // When the request was read.
  Instant on_time_by;       // A job that ends later than this is late.
  Instant useful_by;        // An answer later than this is of little use.
  Instant caller_deadline;  // The caller closes its connection then.
  Instant check_at;         // When its expiry is looked at next.
  bool gives_way = false;   // Some task could not start in time.
  std::vector<ScheduledTask> tasks;
  std::vector<uint32_t> open_tasks_in_step;  // Tasks not done, by step.
  size_t open_tasks = 0;                     // Tasks not done.
  uint32_t open_runs = 0;
  MemoryBudget::Share memory;  // Of the job with its runs.
  bool may_have_run = false;   // A run ended and was not refused by its guard.
  // Runs of an earlier job with this id may still execute, so no task starts.
  bool awaits_earlier_runs = false;

  // Creates the tasks of all steps of `spec`, blocked and not done.
  void CreateTasks();
  bool HasStarted() const { return may_have_run || open_runs > 0; }
  // Whether the job is late and waits behind those that can be on time.
  bool GivesWay() const { return gives_way && !HasStarted(); }
  // When the job is given up if it is not complete. One that has started is
  // continued until its caller leaves.
  Instant Expiry() const {
    return HasStarted() ? caller_deadline : useful_by - critical_path;
  }
  // The latest start of a task with which the job can be on time.
  Instant LatestStartOf(const ScheduledTask& task) const {
    return on_time_by - spec.steps[task.step].estimate;
  }
  // The latest start, delayed by the priority until the first task of the job
  // starts. Later jobs do not overtake a job that has started for its priority,
  // and it does not give way to them: the work that was done is lost unless the
  // other tasks are done, too.
  WaitingTerms TermsOf(const ScheduledTask& task) const;
  size_t UrgencyBandOf(const ScheduledTask& task, Instant now) const;
};

}  // namespace qs
