#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/memory_budget.h"
#include "held/fencing_token.h"
#include "held/lease_terms.h"
#include "held/loss_recorder.h"
#include "held/neighbour_observer.h"
#include "held/worker_clock.h"
#include "held/worker_health.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/worker_protocol.h"
#include "wire/messages.h"

namespace qs {

class DecisionLog;

struct RunSupervisorOptions {
  std::string zone;  // The guard's availability zone, sent in reports.
  // Longest lease that the worker grants; it would shorten a longer one.
  Millis longest_lease = kWorkerLease;
  // Length of the leases that the guard asks for, if the worker grants them.
  Millis renewed_lease = kRenewedLease;
  // If the newest report that a home has echoed is older than this, the home
  // counts as unreachable: its runs are stopped and its orders refused.
  Millis home_lease = kHomeLease;
  // Longest time from the newest report that a home has echoed until a run of
  // the home has ended, even if the worker carries out no stop. The lease that
  // all runs share is not extended beyond it. Entries rely on the same value.
  Millis unstopped_run_limit = kUnstoppedRunLimit;
  // Nothing is started, and orders are refused, while the worker's lease cannot
  // be extended to this length.
  Millis shortest_lease = kShortestLease;
  // How long the worker may wait for an end before it answers a poll, while
  // there are runs. Bounds the age of their reported progress.
  Millis poll_wait{120};
  Millis idle_poll_wait{400};  // The same while there are no runs.
  // While runs are in progress, an immediate poll is sent when the long poll
  // and the last immediate poll were sent this long ago. The answer to the long
  // poll may be lost, and with it the ends that free capacity. The shorter
  // delay applies within `loss_window` after a poll got no answer.
  Millis immediate_poll_after{150};
  Millis immediate_poll_after_loss{20};
  Millis loss_window{3000};
  // No run is started, and orders are refused, when the worker's last answer is
  // older than this.
  Millis silent_after = kOldestClockReading;
  // Polls renew leases only while the worker's last answer is younger than
  // this.
  Millis renew_until{600};
  // Delay before an unconfirmed stop is sent again.
  Millis stop_retry{150};
  Millis report_interval{100};     // While the load changes.
  Millis heartbeat_interval{200};  // While the load does not change.
  // Number of entries that get a report at once when capacity becomes free.
  // Entries with waiting work come first.
  size_t freed_capacity_notices = 3;
  // The waiting work that an entry reported is ignored when it is older than
  // this. An entry reports it with each echo while it has runs here.
  Millis waiting_work_lifetime{300};
  // An order that would have to wait is refused when the queued orders need at
  // least this many percent of the worker's CPU capacity.
  uint32_t queue_percent = 25;
  // An order is refused while so many runs are open, or runs that may take so
  // much memory. The number bounds the time that one order or timer event
  // takes.
  size_t max_runs = 512;
  size_t max_run_bytes = size_t{16} << 20U;
  // A run has stalled when its progress does not change for this long and for
  // at least half of its estimate. Progress is reported in whole percent. Up to
  // estimates of two seconds, a worker that is eight times too slow still
  // advances by one percent within this time.
  Millis stalled_after{150};
  // The worker counts as slow when its recent run times are at least this many
  // percent of the estimates.
  uint32_t slow_worker_percent = 250;
  WorkerHealthOptions health;
  LossRecorderOptions losses;
  // Whether entries are told which queues' tasks run side by side and how long
  // they take, and the time between two of these reports to one entry.
  bool observes_neighbours = false;
  Millis neighbour_interval{1000};
  NeighbourObserverOptions neighbours;
};

// Identifies a run among the runs of all homes.
struct RunKey {
  Incarnation home;
  uint64_t number = 0;
  auto operator<=>(const RunKey&) const = default;
};

// What the end of a run was concluded from, for the log.
enum class EndEvidence : uint8_t {
  kNotSent,         // No start call was sent.
  kStartRefused,    // The worker refused the start.
  kEndListed,       // The worker listed the end.
  kNotListed,       // A poll sent after the start or stop did not list the run.
  kDeadlinePassed,  // The same, and the deadline of the start has passed.
  kWorkerGone,      // Another incarnation of the worker is known.
  kLeaseExpired     // The worker is silent and its lease has expired.
};
std::string_view EndEvidenceName(EndEvidence evidence);

// Calls to the worker that the supervisor asks its owner to send. The owner
// passes each answer to OnStartReply, OnStopReply or OnPollReply, along with
// the call. `worker_generation` in it identifies answers that come from an
// earlier incarnation of the worker.
struct SendStart {
  RunKey key;
  uint64_t worker_generation = 0;
  StartCall call;
};
struct SendStop {
  uint64_t worker_generation = 0;
  StopCall call;
};
struct SendPoll {
  uint64_t worker_generation = 0;
  // The worker answers an immediate poll without waiting for an end. It may be
  // sent while a long poll is outstanding.
  bool is_immediate = false;
  PollCall call;
};
// Asks the owner to send a report to the home that is connected by `session`.
struct SendReport {
  uint64_t session = 0;
  RunReport report;
};
using SupervisorAction =
    std::variant<SendStart, SendStop, SendPoll, SendReport>;

// Starts, watches and stops the runs on this guard's own worker, as homes order
// them. A home is the entry incarnation that ordered a run. The count of used
// capacity is exact: a run occupies its resources from before its start is sent
// until its end is certain. A run is stopped when the connection of its home
// ends, or when its home stops echoing reports. Does no I/O and uses no
// threads: the owner passes in events and fetches actions with TakeActions.
class RunSupervisor {
 public:
  // `log` must outlive the supervisor. `fence` is the first fencing token.
  RunSupervisor(const RunSupervisorOptions& options, uint64_t fence,
                DecisionLog* log, Instant now);

  // Events of the worker.
  void OnAnnouncement(const WorkerAnnouncement& announcement, Instant now);
  void OnWithdrawn(const WorkerIncarnation& incarnation, Instant now);
  void OnStartReply(const SendStart& start, const WorkerReply& reply,
                    Instant now);
  void OnStopReply(const SendStop& stop, const WorkerReply& reply, Instant now);
  void OnPollReply(const SendPoll& hold, const PollReply& reply, Instant sent,
                   Instant now);
  // Start calls are sent only after the worker has answered a further poll.
  void OnStartsAwaitPoll();

  // Events of the homes.
  void OnSessionUp(uint64_t session, Incarnation home, Instant now);
  void OnSessionDown(uint64_t session, Instant now);
  void OnOrders(uint64_t session, RunOrders orders, Instant now);
  // Takes a snapshot over, if it is newer than the known one. Nothing is
  // started before one is known, and nothing while the guard's zone is
  // evacuated: queued orders go back, and start calls are not repeated. Runs go
  // on.
  void OnEvacuations(const Evacuations& evacuations);

  // This process was suspended for long. Treats all homes as unreachable until
  // they echo a report again, and stops their runs.
  void OnSuspended(Instant now);
  // Ends the queued runs as not started and refuses new orders. Runs that have
  // started continue.
  void Stop();
  void OnTimer(Instant now);

  // Returns the actions that have become due since the last call.
  std::vector<SupervisorAction> TakeActions(Instant now);

  bool is_idle() const { return runs_.empty(); }
  ServingState state(Instant now) const;
  const Resources& used() const { return used_; }
  const std::optional<WorkerAnnouncement>& worker() const { return worker_; }

 private:
  enum class Phase : uint8_t { kQueued, kStarting, kRunning, kStopping };

  struct Run {
    RunKey key;
    uint64_t session = 0;  // The session that ordered the run.
    RunOrder order;
    Phase phase = Phase::kQueued;
    Instant received_at;
    Instant start_by;   // The job is late if the run starts after this.
    Instant useful_by;  // A run that has not started by then is of no use.
    Instant run_started_at;
    // When the worker first confirmed that the run had started.
    Instant confirmed_at;
    Instant start_sent_at;
    uint32_t percent = 0;   // Last reported progress.
    Instant progressed_at;  // When `percent` last changed.
    uint32_t start_calls = 0;
    // Start calls that an incarnation of the worker which is not known yet may
    // have carried out, or may carry out.
    uint32_t open_start_calls = 0;
    std::string worker_id;  // Named in the start calls.
    // Latest deadline of the start calls, on the worker's clock.
    std::optional<Millis> start_deadline;
    bool may_have_started = false;
    // When the worker first refused a repeated start as stale: the run is over.
    std::optional<Instant> stale_since;
    bool stop_confirmed = false;
    Instant stop_confirmed_at;
    Instant stop_began_at;  // When the first stop call was sent.
    Instant stop_sent_at;   // When the newest stop call was sent.
    uint32_t stop_calls = 0;
    Reason stop_reason = Reason::kNone;
    // The order names the attempt of a run that it waits for.
    bool is_stale = false;
    // Set once the home counts on the end of the run: the run has ended by
    // then, through a stop or through the expiry of the worker's lease. A slow
    // clock of the worker may add 2 % of the lease.
    std::optional<Instant> must_end_by;
    // Null for an order that waits for another run of its task.
    MemoryBudget::Share memory;
    uint64_t observed = 0;  // Its number at `neighbours_`; 0 before it started.
  };

  struct HomeSession {
    Incarnation home;
    uint64_t echo = 0;  // Stamp of the newest report that the home echoed.
    bool has_echo = false;
    uint64_t seen_order = 0;  // Highest run number received from the home.
    WorkByUrgency waiting_work{};
    Instant waiting_work_received_at;
    Instant last_report_at;
    uint64_t sent_offer_version = 0;  // offer_version_ of the last report.
    bool must_report_now = true;      // The next report must not be delayed.
    bool has_load_change = true;      // The load changed since the last report.
    std::vector<RunEnd> ends;         // Ends for the next report.
    bool wants_running = false;       // See RunOrders.
    std::string told_queue;           // Of the newest interference sums.
    Instant next_sums_at;
    uint64_t told_losses = 0;  // Number of the newest loss told.
    // Revision of the newest snapshot of the evacuations that the home has sent
    // or was sent in this session.
    uint64_t known_evacuations = 0;
  };

  struct Successor {
    WorkerAnnouncement announcement;
    Instant announced_at;
  };

  using TaskAttempt = std::pair<std::string, uint32_t>;

  void AcceptOrder(uint64_t session, HomeSession* home, RunOrder order,
                   Instant now);
  Reason RefusalFor(const RunOrder& order, Instant now) const;
  // Whether there is memory for a run of this order, and time to watch it.
  bool HasMemoryFor(const RunOrder& order) const;
  // Why nothing may start in this guard's zone; kNone if it may.
  Reason ZoneRefusal() const;
  // Gives back the queued runs that do not fit any more, and starts those that
  // fit now.
  void OnCapacityChanged(Instant now);
  // Whether the order could start now if nothing was queued before it.
  bool HasRoomFor(const RunOrder& order) const;
  bool HasStartedRuns() const {
    return runs_.size() > queue_.size() + waiting_.size();
  }
  Resources FreeCapacity() const;
  uint32_t CountRunsOfStep(Incarnation home, uint32_t step_tag) const;
  void StartReady(Instant now);
  // Whether a run of the task is open that waits for no other.
  bool HasRunOf(const std::string& task) const;
  void Enqueue(Run* run);
  // Queues the orders in `waiting_` whose task has no open run any more.
  void QueueWaiting();
  void CallStart(Run* run, Instant now);
  void StopRun(Run* run, Reason reason, Instant now);
  void CallStop(Run* run, Instant now);
  void StopRunsOfHome(Incarnation home, Reason reason, Instant now);
  // Records that the run must have ended `unstopped_run_limit` after `since`,
  // when the home's newest echoed report was sent, unless an earlier time is
  // recorded.
  void LimitRun(Run* run, Instant since) const;
  void LimitRunsOfSession(uint64_t session, Instant since);
  void EndQueuedRuns(Reason reason);
  // The worker confirmed the start of the run.
  void NoteStarted(Run* run, Instant now);
  void LogStarted(const Run& run, Instant now) const;
  void EndRun(RunKey key, RunOutcome outcome, Reason reason, Millis run_time,
              EndEvidence evidence);
  // Records a possible crash of the worker, with the runs that may be there.
  // One that is leaving does not crash, and runs whose lease has expired have
  // ended before.
  void SuspectLoss(LossEvidence evidence, Instant now);
  void NoteEndOfLostRun(const Run& run, EndEvidence evidence);
  // Whether a run that the present incarnation of the worker lists for the
  // first time was on no earlier one: the only start call was carried out here.
  static bool WasOnNoOther(const Run& run);
  Reason LostReason() const;
  // Ends a run whose worker is lost.
  void EndLostRun(RunKey key, EndEvidence evidence);
  // Whether the reading may be from the known incarnation of the worker.
  bool FitsWorkerClock(const std::optional<Millis>& reading, Instant now) const;
  // Time until the lease that the newest renewal asked for expires, on the
  // estimated clock of the worker. Negative once it has expired.
  Millis LeaseLeft(Instant now) const;
  void OnConnectionRefused(Instant now);
  void OnEnded(const PollReply::Ended& ended, Instant now);
  void ReconcileRunning(const PollReply& reply, Instant sent, Instant now);
  void UpdateSlowness(const PollReply& reply, Instant now);
  bool IsStraggler(Run* run, uint32_t percent, Instant now) const;
  void EndMissingRuns(const PollReply& reply, Instant sent, Instant now);
  // Remembers another incarnation than the present one.
  void AddSuccessor(const WorkerAnnouncement& announcement, Instant now);
  bool IsSuccessor(const WorkerIncarnation& incarnation) const;
  // Begins the incarnation that was announced last among those that may follow
  // the one that has ended, and forgets those that may not.
  void BeginSuccessor(
      const std::function<bool(const WorkerIncarnation&)>& may_follow,
      Instant now);
  // No incarnation is known. Ends no run: the announcement proves nothing.
  void BeginIncarnation(const WorkerAnnouncement& announcement, Instant now);
  // `next_id` is the id of the incarnation that is known to follow, or empty.
  void EndIncarnation(std::string_view next_id, Instant now);
  void EndRunsOfIncarnation(std::string_view next_id, Instant now);
  void OnFirstAnswer();
  void GiveUpWorker(Instant now);
  // The deadline to send with a call that renews the worker's lease, on the
  // worker's clock. Nothing if the clock is not known or if the lease must not
  // be extended.
  std::optional<Millis> LeaseDeadline(Instant now) const;
  // Returns until when the worker's lease may be extended. All runs share the
  // lease, so the run that must end first determines it. Queued runs count, as
  // none may start while the lease outlasts its limit.
  Instant LeaseLimit(Instant now) const;
  // Whether a lease that was asked for before lasts beyond `limit`.
  bool DoesLeaseOutlast(Instant limit, Instant now) const;
  // Records that a call asks for a lease until `deadline`; zero asks for none.
  void NoteRenewal(Millis deadline, Instant now);
  void OnFenced(uint64_t refused_fence);
  PollCall NextPoll(Millis wait, Instant now);
  bool NeedsImmediatePoll(Instant now) const;
  void CheckHomes(Instant now);
  // Ends the orders and stops the runs of the home if its lease has lapsed.
  void CheckHome(uint64_t session, const HomeSession& home, Instant now);
  // Longest time from a call until the lease that it asked for has ended.
  Millis LeaseDuration() const;
  // Whether the worker is silent and must have ended all runs.
  bool HasLeaseExpired(Instant now) const;
  void CheckWorker(Instant now);
  void CheckRuns(Instant now);
  void MarkLoadChanged();
  void ReportFreedCapacity(Instant now);
  // Returns whether the waiting work that the home reported is recent enough to
  // be used.
  bool IsWaitingWorkFresh(const HomeSession& home, Instant now) const;
  uint64_t ReportStamp(Instant now) const;
  bool IsHomeLeaseValid(const HomeSession& home, Instant now) const;
  // When the newest report that the home has echoed was sent.
  Instant EchoTime(const HomeSession& home) const;
  // When the report with this stamp was sent.
  Instant TimeOfStamp(uint64_t stamp) const;
  // Processors that the queued runs need that must start at `start_by` or
  // before.
  int64_t QueuedCpu(Instant start_by = Instant::max()) const;
  WorkByUrgency QueuedByUrgency(Instant now) const;
  // Returns the least urgent of the queued runs to their homes while the queue
  // is full without them.
  void TrimQueue();
  RunReport MakeReport(uint64_t session, HomeSession* home, Instant now) const;

  RunSupervisorOptions options_;
  FencingToken fence_;
  DecisionLog* log_;
  Instant started_;
  // Start of this process, or the end of its last suspension.
  Instant unsettled_since_;
  Evacuations evacuations_;
  std::optional<WorkerAnnouncement> worker_;
  // Other incarnations that were announced, the newest announcement last. One
  // of them follows once the worker has answered as another than the present.
  std::vector<Successor> successors_;
  // Rises when an incarnation of the worker ends. Answers to calls of an
  // earlier generation are ignored.
  uint64_t worker_generation_ = 0;
  bool is_stopping_ = false;
  // No run that an earlier process of this guard started can still be running.
  bool is_settled_ = false;
  // The present incarnation of the worker has answered a poll.
  bool has_answered_ = false;
  // The worker's address refused the newest connection that a poll needed.
  bool refuses_connections_ = false;
  // The worker's incarnation has said that it is about to end.
  bool is_withdrawn_ = false;
  bool is_withdrawal_certain_ = false;  // The message named the incarnation.
  bool long_poll_in_flight_ = false;
  bool immediate_poll_in_flight_ = false;
  bool must_poll_now_ = false;  // The next immediate poll must not be delayed.
  Instant long_poll_sent_at_;
  Instant immediate_poll_sent_at_;
  Instant next_long_poll_at_;
  Instant last_lost_poll_;  // When a poll was last found to have no answer.
  Instant last_end_;        // When a new end was last received.
  Instant last_answer_;     // When a poll was last answered.
  Instant last_renewal_;    // When a call that renews leases was last sent.
  // Latest lease end that was asked for, on the worker's clock.
  Millis lease_end_{0};
  uint64_t last_end_number_ = 0;  // Highest number of an end received.
  WorkerClock clock_;
  WorkerHealth health_;
  LossRecorder losses_;
  NeighbourObserver neighbours_;
  uint64_t next_observed_ = 1;
  // No start is sent before this, after the worker refused one for lack of
  // capacity.
  Instant capacity_refused_until_;
  Resources used_;
  // Capacity became free that ReportFreedCapacity has not yet handled.
  bool is_capacity_freed_ = false;
  MemoryBudget run_budget_;
  std::map<RunKey, Run> runs_;
  std::vector<RunKey> queue_;  // In the order of start_by.
  // Orders of tasks of which another run may still be executing, in the order
  // of their arrival. They take no room in the queue.
  std::vector<RunKey> waiting_;
  // The run that must be alone on the worker, queued or started.
  std::optional<RunKey> lone_run_;
  // All runs but those in `waiting_`.
  std::map<TaskAttempt, RunKey> run_by_task_;
  std::map<uint64_t, HomeSession> sessions_;
  // Rises when the worker's service, rack, labels or capacity change.
  uint64_t offer_version_ = 1;
  ServingState reported_state_ = ServingState::kAbsent;
  std::vector<SupervisorAction> actions_;
};

}  // namespace qs
