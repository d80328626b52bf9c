#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/observer.h"
#include "held/admission.h"
#include "held/backlog_forecast.h"
#include "held/cancel_ledger.h"
#include "held/crash_ledger.h"
#include "held/fair_shares.h"
#include "held/interference_model.h"
#include "held/lease_terms.h"
#include "held/order_log.h"
#include "held/scheduled_job.h"
#include "held/waiting_tasks.h"
#include "held/worker_table.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

class DecisionLog;

struct JobSchedulerOptions {
  // Leases that bound how long a run may go on unobserved; the guards use the
  // same values. A guard that receives nothing from this entry for `home_lease`
  // has stopped the entry's runs, and a worker that receives nothing from its
  // guard for `worker_lease` has stopped them itself.
  Millis home_lease = kHomeLease;
  Millis worker_lease = kWorkerLease;
  // Added to the leases for timer ticks, the time of the stop itself, and slow
  // clocks.
  Millis lease_slack = kReleaseSlack;
  // Interval of echoes to a guard that has runs but gets no orders or stops.
  Millis echo_interval{150};
  // A job that has not started is given up once it would end later than this
  // multiple of its objective: the answer would be of no use to the caller.
  int useful_objectives = 3;
  // If events may be unhandled for longer than this, nothing is started: many
  // callers may have left meanwhile, and guards would refuse the orders.
  Millis longest_pause{500};
  // Minimum time between checks of job deadlines while reports arrive.
  // Deadlines are in whole milliseconds, and runs take tens of milliseconds.
  Millis job_check_interval{10};
  // A waiting task of a queue with priority n is sorted as if its latest start
  // were n times this value later. About the slack of a 100 ms task.
  Millis priority_delay{100};
  // Time after the start in which guards may still be connecting. Until it is
  // over, jobs are not refused because no worker is known.
  Millis warm_up{4000};
  uint32_t max_jobs = 2000;  // Jobs held at a time; each has a connection.
  // Connected workers per open run of a suspect task. Such a run needs a worker
  // of its own. One is always allowed.
  size_t workers_per_suspect = 16;
  CrashLedgerOptions crashes;
  // Whether tasks that slow each other down are kept apart where there is room.
  bool separates_interfering = false;
  InterferenceModelOptions interference;
  CancelLedgerOptions cancels;
  WorkerTableOptions workers;
  BacklogForecastOptions forecast;
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

// Holds jobs for their callers. Decides which jobs are refused, in which order
// tasks are dispatched, and to which worker. A task has one run at a time:
// while a run may still be executing somewhere, the task is not started again
// until the guard reports the end of the run or every lease of it has expired.
// A task that may have crashed its worker runs alone from then on, and its job
// is given up once it is certain that the task crashes workers.
// No I/O, no threads: events in, actions out through TakeActions.
class JobScheduler {
 public:
  // `observer` and `log` must outlive this object.
  JobScheduler(const JobSchedulerOptions& options, Observer* observer,
               DecisionLog* log, uint32_t seed, Instant now);

  void SetCatalog(std::shared_ptr<const Catalog> catalog, Instant now);
  // Takes a snapshot over, if it is newer than the known one. Nothing is
  // started before one is known, and nothing in a zone that is evacuated.
  void OnEvacuations(const Evacuations& evacuations, Instant now);
  // Admits or refuses a job, or joins the caller to the held job with the same
  // id. The request was read from the connection at `received`; the caller's
  // wait is counted from then, or from the beginning of a pause of this process
  // that has just ended. `memory` is given back when nothing of the job is
  // left, also no run.
  void OnJob(uint64_t caller, HeldJob job, Instant received, Instant now,
             MemoryBudget::Share memory = nullptr);
  // Ends the job with this id, and answers each later submission of it that it
  // was cancelled. Returns the number of the cancel; see CancelLedger.
  uint64_t OnCancel(const std::string& id, CancelOrigin origin, Instant now);
  CancelLedger& cancels() { return cancels_; }
  // The caller closed its connection.
  void OnCallerLeft(uint64_t caller, Instant now);

  void OnGuardUp(Address address, Incarnation guard, Instant now);
  // The connection to the guard broke, or this incarnation of it has ended.
  void OnGuardDown(Incarnation guard, Instant now);
  void OnReport(Incarnation guard, const RunReport& report, Instant now);
  // Another entry has heard of a crash from its guard.
  void OnCrashNotice(const CrashNotice& notice, Instant now);
  // Returns the crashes that guards have told of since the last call, for other
  // entries.
  std::vector<CrashNotice> TakeCrashes() {
    return std::exchange(crashes_to_tell_, {});
  }

  // The process was suspended for a time. Gives up all jobs, because callers
  // may have submitted them to other entries meanwhile.
  void OnSuspended(Instant now);
  // Refuses from now on new jobs that might not end by `finish_by`.
  void BeginStop(Instant finish_by);
  // Gives up all jobs and answers their callers.
  void GiveUpAll(Reason reason, Instant now);
  void OnTimer(Instant now);

  // Returns the actions due since the last call. Tasks are dispatched here once
  // for all reports that arrived since then, so that the cost of a burst of
  // reports does not grow with the number of waiting jobs.
  std::vector<SchedulerAction> TakeActions(Instant now);
  // Whether a dispatch round ended early, so that TakeActions has more to do
  // once other events have been handled.
  bool is_dispatch_due() const { return is_dispatch_due_; }

  // Sets whether the offers of all workers of the fleet are known. If they are,
  // a job that none of them can run fails.
  void SetHasSeenAllWorkers(bool has_seen, Instant now);
  // Whether, since the last call, no connected worker could have run some task
  // even with all its capacity free. Resets the flag.
  bool TakeWantsMoreWorkers() {
    return std::exchange(wants_more_workers_, false);
  }
  // Whether runs at this guard are not known to have ended.
  bool HasRunsAt(Incarnation guard) const;

  size_t held_jobs() const { return jobs_.size(); }
  bool Holds(const std::string& id) const { return job_by_id_.contains(id); }
  // Number of jobs of a queue of which no task was started.
  size_t CountPendingJobs(const std::string& queue) const;

 private:
  using Job = ScheduledJob;
  using Task = ScheduledTask;

  // A run that was ordered and is not known to have ended.
  struct Run {
    uint64_t job = 0;  // The job may have been answered since.
    uint32_t task = 0;
    Incarnation guard;
    uint64_t connection = 0;  // The guard's connection that took the order.
    std::string job_id;
    std::string task_name;
    MemoryBudget::Share memory;  // Of its job.
    size_t order_bytes = 0;
    bool is_alone = false;    // It was ordered to run alone.
    bool is_stopped = false;  // A stop was sent.
    bool is_orphan = false;   // Its guard was disconnected or silent.
    Instant orphaned_at;
    Instant release_at;  // All leases of an orphan have expired by then.
  };

  void Admit(uint64_t caller, const QueueDeclaration& queue, HeldJob job,
             Instant received, Instant now, MemoryBudget::Share memory);
  // Answers a job without tasks. It is never held, so neither a lack of workers
  // nor a stop of the process is in its way.
  void CompleteAtOnce(uint64_t caller, const QueueDeclaration& queue,
                      const HeldJob& job, Instant received, Instant now);
  void RecordComplete(const std::string& id, Instant arrived_at,
                      Instant on_time_by, Instant now);
  AdmissionVerdict CheckAdmission(const QueueDeclaration& queue,
                                  const HeldJob& job, Instant received,
                                  Instant now) const;
  // Whether all workers are known and none of them can run some step of the
  // job.
  bool IsImpossible(const std::string& service, const HeldJob& job,
                    Instant now) const;
  // Whether all workers are known, and those that could run some step of the
  // job are all in evacuated zones.
  bool IsInEvacuatedZonesOnly(const std::string& service,
                              const HeldJob& job) const;
  // Answers the jobs that have not started and can only run in evacuated zones.
  void RefuseEvacuated(Instant now);
  // Whether each step fits some worker that ever reported.
  bool CouldRunEveryStep(const std::string& service, const HeldJob& job) const;
  // Answers a job of which a task is convicted. Returns false if none is.
  bool RefuseConvicted(uint64_t caller, const HeldJob& job, Instant now);
  void AnswerCaller(uint64_t caller, const std::string& id, HeldAnswer answer);
  // Queues the tasks of all steps whose earlier steps are done.
  void UnblockSteps(Job* job, Instant now);
  // Queues the task, or puts it on hold.
  void Enqueue(Job* job, uint32_t task, Instant now);
  CrashVerdict VerdictOn(const Job& job, const Task& task, Instant now) const;
  void Dequeue(Job* job, uint32_t task);
  // Follows a change of ScheduledJob::HasStarted.
  void RefreshTerms(const Job& job, Instant now);
  // Moves tasks that cannot be on time any more behind those that can. Jobs
  // that have not started and cannot be of use any more are refused.
  void GiveWay(Instant now);
  PlacementNeed NeedOf(const Job& job, const Task& task, Instant now) const;
  // Of any task of the step, without its preferences.
  static PlacementNeed NeedOf(const std::string& service, const HeldStep& step);
  // Estimates anew which queues' tasks slow each other down.
  void RefreshInterference(Instant now);
  // Tells of a worker that has become slow or sound.
  void NoteSpeed(const WorkerRecord& record, SpeedChange change);

  // Returns the time before which all events have been handled: that of the
  // timer event before the newest, as an event that was ready at one timer
  // event may be handled after it, but is handled before the next.
  Instant HandledUntil(Instant now) const;
  // Whether events may be unhandled for longer than `longest_pause`.
  bool IsAfterPause(Instant now) const;
  // Sends waiting tasks to workers, until several of them found none. Sends
  // none while events of a pause are unhandled.
  void Dispatch(Instant now);
  // Sends one task to a worker. Returns false if none can take it now.
  bool DispatchTask(Job* job, uint32_t task, bool must_run_alone, Instant now);
  // Chooses a worker for the task. Returns null if none can take it now.
  WorkerRecord* PlaceTask(const Job& job, const Task& task, bool must_run_alone,
                          Instant now, Incarnation* guard);
  // Sends waiting suspects to workers of their own.
  void DispatchSuspects(Instant now);
  // Number of suspect tasks that may have an open run at a time.
  size_t MaxRunsAlone() const;
  void OnWorkerLoss(Address guard, Incarnation process, const WorkerLoss& loss,
                    Instant now);
  void FollowVerdicts(const WorkerLoss& loss, Instant now);
  // Follows a change of the ledger: gives the job of a convicted task up, and
  // puts a waiting task on hold or the reverse.
  void FollowVerdict(const std::string& task_name, Instant now);
  // Queues the tasks on hold whose losses do not count any more.
  void ReleaseHeld(Instant now);
  void OnRunEnd(uint64_t number, const RunEnd& end, Instant now);
  void RetryTask(Job* job, uint32_t task, Reason reason, Instant now);
  // Marks the open runs at a guard as orphans, to be released when all leases
  // that were last renewed at `since` have expired.
  void OrphanRuns(const WorkerRecord& record, Instant since, Instant now);
  // Handles the orphans of a guard that has sent a report. Those that were
  // ordered on the present connection are tracked again, and those of earlier
  // connections are released if the guard has none of them left.
  void SettleOrphans(const WorkerRecord& record, uint32_t earlier_runs,
                     Instant now);
  // Handles a run that has ended without a report of its outcome as lost.
  // `evidence` names what its end was concluded from, for the log.
  void ReleaseRun(uint64_t number, std::string_view evidence, Instant now);
  // A run of a job that was answered has ended. A new job with the same id
  // starts after the last such run.
  void OnLeftoverRunEnd(const std::string& id, Instant now);
  void StopRun(uint64_t number);
  void FinishJob(Job* job, HeldAnswer answer, Instant now);
  // Ends an incomplete job. Its callers are told that it was refused only if no
  // task of it can have run.
  void GiveUp(Job* job, Reason reason, Instant now);
  // Gives up the jobs that have expired.
  void ExpireJobs(Instant now);
  // Marks the runs at silent guards as orphans and releases the orphans whose
  // leases have expired.
  void ExpireRuns(Instant now);
  RunOrders* OutgoingTo(Incarnation guard);

  JobSchedulerOptions options_;
  Observer* observer_;
  DecisionLog* log_;
  OrderLog order_log_;
  Instant started_at_;
  bool is_stopping_ = false;
  bool knows_all_workers_ = false;
  bool wants_more_workers_ = false;
  // Reports arrived since the last dispatch, or it ended early.
  bool is_dispatch_due_ = false;
  std::optional<Instant> last_timer_at_;
  // Time of the timer event before; that of the first until there are two.
  std::optional<Instant> handled_until_;
  Instant jobs_checked_at_;
  Instant finish_by_;
  std::shared_ptr<const Catalog> catalog_;
  WorkerTable workers_;
  InterferenceModel interference_;
  CrashLedger crashes_;
  std::vector<CrashNotice> crashes_to_tell_;
  CancelLedger cancels_;
  uint64_t next_job_ = 1;
  uint64_t next_run_ = 1;
  std::unordered_map<uint64_t, Job> jobs_;
  // When the expiry of each job is looked at next.
  std::set<std::pair<Instant, uint64_t>> job_checks_;
  std::unordered_map<std::string, uint64_t> job_by_id_;
  std::unordered_map<uint64_t, uint64_t> job_by_caller_;
  FairShares shares_;
  WaitingTasks waiting_;
  BacklogForecast forecast_;
  // Waiting tasks that run alone, by `order_by`. Other tasks do not wait for
  // them.
  std::set<std::pair<Instant, TaskId>> suspects_;
  // Job and task of those that wait until losses of workers are resolved.
  std::set<std::pair<uint64_t, uint32_t>> on_hold_;
  std::map<uint64_t, Run> runs_;
  size_t runs_alone_ = 0;  // Number of runs that were ordered to run alone.
  // Number of open runs of jobs that were answered, by the job's id.
  std::unordered_map<std::string, uint32_t> leftover_runs_;
  std::map<Incarnation, RunOrders> outgoing_;
  std::vector<SchedulerAction> actions_;
};

}  // namespace qs
