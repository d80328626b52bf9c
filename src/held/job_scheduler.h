#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/observer.h"
#include "held/worker_table.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

class DecisionLog;

struct JobSchedulerOptions {
  // As the guards have them: the time after which a guard that does not hear
  // from this entry, or a worker that does not hear from its guard, has ended
  // this entry's runs for certain.
  Millis home_lease{700};
  Millis worker_lease{1000};
  Millis lease_slack{200};  // Ticks, the stop itself, and slow clocks.
  Millis echo_interval{150};
  // An answer later than so many objectives is of no use to the caller.
  int useful_objectives = 3;
  // Deadlines of jobs are in whole milliseconds, and workers take tens of them.
  Millis job_check_interval{10};
  // A task of a queue with priority n waits for its turn as if it could start
  // so many times n later. About the slack of a task of 100 ms.
  Millis priority_step{100};
  // Reports are awaited for so long after the start before "no worker" counts
  // as a fact.
  Millis warm_up{4000};
  uint32_t max_jobs = 2000;  // Held at a time; each has a connection.
  WorkerTableOptions workers;
};

struct SendOrders {
  Incarnation guard;
  RunOrders orders;
};
struct SendHeldAnswer {
  uint64_t caller = 0;
  HeldAnswer answer;
};
using SchedulerAction = std::variant<SendOrders, SendHeldAnswer>;

// Holds jobs for their callers: decides which are refused, in which order tasks
// go out, and to which worker. A task has one run at a time. A run that may
// still go on somewhere is waited for, until its guard has told of its end or
// every lease it could live on has lapsed. No I/O, no threads: events in,
// actions out through TakeActions.
class JobScheduler {
 public:
  // `observer` and `log` must outlive the desk.
  JobScheduler(const JobSchedulerOptions& options, Observer* observer,
               DecisionLog* log, uint32_t seed, Instant now);

  void SetCatalog(std::shared_ptr<const Catalog> catalog, Instant now);
  // The request was read at `received`; what it waited since is a part of the
  // caller's wait.
  void OnJob(uint64_t caller, HeldJob job, Instant received, Instant now);
  // The caller closed its connection.
  void OnCallerLeft(uint64_t caller, Instant now);

  void OnGuardUp(Address address, Incarnation guard, Instant now);
  // The connection broke, or the incarnation has ended.
  void OnGuardDown(Incarnation guard, Instant now);
  void OnReport(Incarnation guard, const RunReport& report, Instant now);

  // The process stood still: callers may have handed their jobs in elsewhere.
  void OnSuspended(Instant now);
  // New jobs must end by then.
  void BeginStop(Instant finish_by);
  // Answers everything that is still held.
  void GiveUpAll(Reason reason, Instant now);
  void OnTimer(Instant now);

  // Reports that came since the last call are acted on together here, so that
  // the cost of a flood of them does not grow with the jobs that are held.
  std::vector<SchedulerAction> TakeActions(Instant now);

  // Whether the offers of all workers of the fleet are known, so that what none
  // of them can run is impossible.
  void SetHasSeenAllWorkers(bool has_seen, Instant now);
  // Whether, since the last call, some task found no worker that could run it
  // at any time.
  bool TakeWantsMoreWorkers() { return std::exchange(wants_workers_, false); }
  // Whether runs are open there.
  bool HasRunsAt(Incarnation guard) const;

  size_t held_jobs() const { return jobs_.size(); }
  // Jobs of a queue of which no task has started.
  size_t CountPendingJobs(const std::string& queue) const;

 private:
  enum class TaskPhase : uint8_t { kBlocked, kWaiting, kOrdered, kDone };

  struct Task {
    uint32_t step = 0;
    uint32_t index = 0;  // Within the step.
    TaskPhase phase = TaskPhase::kBlocked;
    uint32_t attempt = 1;
    uint32_t failures = 0;
    uint64_t run = 0;
    std::set<Incarnation> avoid;
  };

  struct Job {
    uint64_t number = 0;
    HeldJob job;
    std::vector<uint64_t> callers;
    std::string service;
    uint32_t max_attempts = 1;
    uint32_t priority = 0;
    Millis chain{0};  // Estimate of its longest chain of steps.
    Instant arrived;
    Instant on_time_by;
    Instant useful_by;      // An answer later than this is of little use.
    Instant patient_until;  // The caller leaves then.
    std::vector<Task> tasks;
    std::vector<uint32_t> open_in_step;  // Tasks not done.
    size_t open = 0;
    uint32_t ordered = 0;         // Tasks with an open run.
    bool may_have_run = false;    // Some run was ordered and not refused.
    bool awaits_earlier = false;  // Runs of an earlier job of this id go on.
  };

  // A task that waits. The order is that of `turn`: the time by which the task
  // must start, put off for queues that others come before.
  struct Waiting {
    Instant turn;
    uint64_t job = 0;
    uint32_t task = 0;
    auto operator<=>(const Waiting&) const = default;
  };

  // A run that was ordered and of which the end is not known.
  struct Run {
    uint64_t job = 0;  // May have been answered since.
    uint32_t task = 0;
    Incarnation guard;
    std::string id;  // Of the job.
    bool is_stopped = false;
    bool is_orphan = false;  // Its connection is gone.
    Instant release_at;      // Ended for certain then.
  };

  void Admit(uint64_t caller, const QueueDeclaration& queue, HeldJob job,
             Instant received);
  Reason Refusal(const QueueDeclaration& queue, const HeldJob& job,
                 Instant received, Instant now, Millis* retry_after) const;
  bool IsImpossible(const std::string& service, const HeldJob& job,
                    Instant now) const;
  bool CouldRunAll(const std::string& service, const HeldJob& job) const;
  void AnswerCaller(uint64_t caller, const std::string& id, HeldAnswer answer);
  void UnblockSteps(Job* job);
  void Enqueue(Job* job, uint32_t task);
  void Dequeue(Job* job, uint32_t task);
  Instant TurnOf(const Job& job, const Task& task) const;
  PlacementNeed NeedOf(const Job& job, const Task& task) const;

  void Dispatch(Instant now);
  bool Order(Job* job, uint32_t task, Instant now);
  void OnRunEnd(uint64_t number, const RunEnd& end, Instant now);
  void RetryTask(Job* job, uint32_t task, Reason reason);
  void OrphanRuns(const WorkerEntry& entry, Instant since, Instant now);
  void ReleaseRun(uint64_t number, Instant now);
  void ReleaseId(const std::string& id, Instant now);
  void StopRun(uint64_t number);
  void FinishJob(Job* job, HeldAnswer answer, Instant now);
  void GiveUp(Job* job, Reason reason, Instant now);
  void CheckJobs(Instant now);
  void CheckRuns(Instant now);
  // Of the tasks that wait here.
  WorkByUrgency WaitingWork(Instant now) const;
  uint64_t WorkBefore(Instant turn) const;
  // Of all entries, before a task with this turn.
  uint64_t WorkAhead(const std::string& service, Instant turn,
                     Instant now) const;
  RunOrders* OutgoingTo(Incarnation guard);

  JobSchedulerOptions options_;
  Observer* observer_;
  DecisionLog* log_;
  Instant started_;
  bool is_stopping_ = false;
  bool has_seen_all_ = false;
  bool wants_workers_ = false;
  bool is_dispatch_due_ = false;  // Reports may have told of free room.
  Instant jobs_checked_;
  Instant finish_by_;
  std::shared_ptr<const Catalog> catalog_;
  WorkerTable workers_;
  uint64_t next_job_ = 1;
  uint64_t next_run_ = 1;
  std::unordered_map<uint64_t, Job> jobs_;
  std::unordered_map<std::string, uint64_t> job_by_id_;
  std::unordered_map<uint64_t, uint64_t> job_by_caller_;
  std::set<Waiting> waiting_;
  std::map<uint64_t, Run> runs_;
  // Runs of jobs that were answered, by the job's id.
  std::unordered_map<std::string, uint32_t> leftover_runs_;
  std::map<Incarnation, RunOrders> outgoing_;
  std::vector<SchedulerAction> actions_;
};

}  // namespace qs
