#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "held/fencing_token.h"
#include "held/worker_clock.h"
#include "held/worker_health.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/worker_protocol.h"
#include "wire/messages.h"

namespace qs {

class DecisionLog;

struct RunSupervisorOptions {
  std::string zone;            // Availability zone, told to the entries.
  Millis longest_lease{1000};  // The worker shortens a longer one.
  // A home that has not echoed a report for so long counts as gone.
  Millis home_lease{700};
  Millis hold_wait{120};       // With runs; bounds the age of their progress.
  Millis idle_hold_wait{400};  // Without runs.
  // A second look is taken when the hold has been out for so long: the answer
  // may be lost, and with it the ends that make room. Sooner after a loss.
  Millis look_after{150};
  Millis look_after_loss{20};
  Millis loss_memory{3000};
  // Without an answer of the worker for so long no run starts.
  Millis silent_after{900};
  // Leases are renewed only where the last answer is younger.
  Millis renew_until{600};
  Millis stop_retry{150};
  Millis report_interval{100};  // For load that changed.
  Millis beat_interval{200};    // For load that did not.
  // Entries that are told at once of room that became free, those with work
  // that waits first.
  size_t room_told = 3;
  // What an entry told of its waiting work counts for so long; it is told again
  // with each echo while it has runs here.
  Millis waiting_lifetime{300};
  // Work that may wait here, in percent of the worker's processors.
  uint32_t queue_percent = 25;
  // A run without any progress for so long has stalled: half of its estimate,
  // and at least so long. Progress is told in percent, which a worker eight
  // times too slow moves within it up to estimates of two seconds.
  Millis stalled_after{150};
  // Run times in percent of the estimates that make a worker slow.
  uint32_t slow_worker_percent = 250;
  WorkerHealthOptions health;
};

// Names a run across homes.
struct RunKey {
  Incarnation home;
  uint64_t number = 0;
  auto operator<=>(const RunKey&) const = default;
};

// Calls to the worker that the keeper wants made. Each is answered by the On…
// function of its name; `ticket` goes back with the answer.
struct SendStart {
  RunKey key;
  uint64_t ticket = 0;
  StartCall call;
};
struct SendStop {
  uint64_t ticket = 0;
  StopCall call;
};
struct SendPoll {
  uint64_t ticket = 0;
  bool is_immediate =
      false;  // Does not wait, and goes beside a hold that waits.
  PollCall call;
};
struct SendReport {
  uint64_t session = 0;
  RunReport report;
};
using SupervisorAction =
    std::variant<SendStart, SendStop, SendPoll, SendReport>;

// Decides which runs go on on this guard's own worker. Its count of the room is
// exact: a run occupies its resources from before its start is sent until its
// end is certain. Runs live as long as the connection of the home that ordered
// them, and as long as that home echoes reports. No I/O, no threads: events in,
// actions out through TakeActions.
class RunSupervisor {
 public:
  // `log` must outlive the keeper. `fence` is the first fencing token.
  RunSupervisor(const RunSupervisorOptions& options, uint64_t fence,
                DecisionLog* log, Instant now);

  // The worker.
  void OnAnnouncement(const WorkerAnnouncement& announcement, Instant now);
  void OnWithdrawn(const std::string& worker_id);
  void OnStartReply(const SendStart& start, const WorkerReply& reply,
                    Instant now);
  void OnStopReply(const SendStop& stop, const WorkerReply& reply, Instant now);
  void OnPollReply(const SendPoll& hold, const PollReply& reply, Instant sent,
                   Instant now);

  // Homes.
  void OnSessionUp(uint64_t session, Incarnation home, Instant now);
  void OnSessionDown(uint64_t session, Instant now);
  void OnOrders(uint64_t session, RunOrders orders, Instant now);

  // The process stood still for long; what it believed of others is void.
  void OnSuspended(Instant now);
  void Stop();
  void OnTimer(Instant now);

  std::vector<SupervisorAction> TakeActions(Instant now);

  bool is_idle() const { return runs_.empty(); }
  ServingState state(Instant now) const;
  const Resources& used() const { return used_; }
  const std::optional<WorkerAnnouncement>& worker() const { return worker_; }

 private:
  enum class Phase : uint8_t { kQueued, kStarting, kRunning, kStopping };

  struct Run {
    RunKey key;
    uint64_t session = 0;  // That ordered it.
    RunOrder order;
    Phase phase = Phase::kQueued;
    Instant received;
    Instant start_by;   // For the job to be on time.
    Instant useful_by;  // Later it need not start.
    Instant started;
    Instant confirmed;  // When it was learned that it had started.
    Instant start_sent;
    uint32_t percent = 0;  // Of its work, when last seen to move.
    Instant progressed;
    uint32_t start_calls = 0;
    std::optional<Millis> start_deadline;  // On the worker's clock, the last.
    bool may_have_started = false;
    bool stop_confirmed = false;
    Instant stop_confirmed_at;
    Instant stop_sent;
    Reason stop_reason = Reason::kNone;
  };

  struct HomeSession {
    Incarnation home;
    uint64_t echo = 0;
    bool has_echo = false;
    uint64_t seen_order = 0;
    WorkByUrgency waiting_work{};
    Instant waiting_told;
    Instant reported;
    uint64_t told_offer = 0;  // As offer_version_ when it was last told.
    bool is_dirty = true;     // Has news that cannot wait.
    bool is_stale = true;     // The load changed since the last report.
    std::vector<RunEnd> ends;
  };

  using TaskRun = std::pair<std::string, uint32_t>;  // Task and attempt.

  void Accept(uint64_t session, HomeSession* home, RunOrder order, Instant now);
  Reason RefusalFor(const RunOrder& order, Instant now) const;
  Resources FreeRoom() const;
  uint32_t CountOfStep(Incarnation home, uint32_t step_tag) const;
  void StartReady(Instant now);
  void CallStart(Run* run, Instant now);
  void StopRun(Run* run, Reason reason, Instant now);
  void CallStop(Run* run, Instant now);
  void StopRunsOf(Incarnation home, Reason reason, Instant now);
  void GiveBackQueued(Reason reason);
  void End(RunKey key, RunOutcome outcome, Reason reason, Millis run_time);
  void EndAll(Reason reason);
  void OnEnded(const PollReply::Ended& ended, Instant now);
  void JudgeRunning(const PollReply& reply, Instant sent, Instant now);
  void JudgeSpeed(const PollReply& reply, Instant now);
  bool IsStraggler(Run* run, uint32_t percent, Instant now) const;
  void ForgetMissing(const PollReply& reply, Instant sent, Instant now);
  void BeginLife(const WorkerAnnouncement& announcement, Instant now);
  void LoseLife(Reason reason);
  std::optional<Millis> LeaseDeadline(Instant now) const;
  void OnFenced(uint64_t refused_fence);
  PollCall NextHold(Millis wait, Instant now);
  bool NeedsLook(Instant now) const;
  void CheckHomes(Instant now);
  Millis LeaseLife() const;
  void CheckWorker(Instant now);
  void CheckRuns(Instant now);
  void MarkStale();
  void TellOfRoom(Instant now);
  // Whether the waiting work that the home told of still counts.
  bool IsWorkFresh(const HomeSession& home, Instant now) const;
  uint64_t Stamp(Instant now) const;
  bool HomeLeaseHolds(const HomeSession& home, Instant now) const;
  int64_t QueuedCpu() const;
  uint64_t QueuedWork() const;
  RunReport MakeReport(uint64_t session, HomeSession* home, Instant now) const;

  RunSupervisorOptions options_;
  FencingToken fence_;
  DecisionLog* log_;
  Instant started_;
  std::optional<WorkerAnnouncement> worker_;
  uint64_t life_ticket_ = 0;  // Of the present life; older answers are void.
  bool is_stopping_ = false;
  bool is_settled_ = false;
  bool hold_in_flight_ = false;
  bool look_in_flight_ = false;
  Instant hold_sent_;
  Instant look_sent_;
  Instant hold_not_before_;
  Instant hold_lost_;     // When a hold last got no answer.
  Instant last_end_;      // When an end was last heard of.
  Instant last_answer_;   // Of a hold.
  Instant last_renewal_;  // When a hold that renews was last sent.
  uint64_t last_seen_ = 0;
  WorkerClock clock_;
  WorkerHealth health_;
  Instant room_refused_until_;
  Resources used_;
  bool is_room_freed_ = false;  // Since entries were last told of room.
  std::map<RunKey, Run> runs_;
  std::vector<RunKey> queue_;  // By start_by.
  std::map<TaskRun, RunKey> by_task_;
  std::map<uint64_t, HomeSession> sessions_;
  uint64_t offer_version_ = 1;  // Rises with each change of what is offered.
  ServingState reported_state_ = ServingState::kAbsent;
  std::vector<SupervisorAction> actions_;
};

}  // namespace qs
