#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quetzalspindle/evacuations.h"
#include "quetzalspindle/held_job.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/job.h"

namespace qs {

// The messages between processes, in the form that the scheduling code uses.
// wire/codec.h converts them to and from frames. The sender of a request
// chooses its `request` number, and the reply repeats it.

enum class Role : uint8_t { kEntry, kGuard };

// The first message that each end of a connection sends.
struct Hello {
  Incarnation incarnation;
  Address address;  // Where the sender accepts connections.
  Role role = Role::kEntry;
  // Rises with each connection that the sender opens; 0 on one that it
  // accepted.
  uint64_t connection = 0;
};

struct MintRequest {
  uint64_t request = 0;
  uint32_t count = 0;
};

struct MintReply {
  uint64_t request = 0;
  uint64_t first = 0;  // Sequences first to first + count - 1 are now valid.
  uint32_t count = 0;  // Zero when refused.
  // An id that is not submitted within this time is retired.
  Millis lifetime{0};
  Reason reason = Reason::kNone;
};

struct SubmitRequest {
  uint64_t request = 0;
  uint64_t sequence = 0;
  Millis wait{0};
  JobSpec job;
};

struct QueryRequest {
  uint64_t request = 0;
  uint64_t sequence = 0;
  Millis wait{0};
};

struct CancelRequest {
  uint64_t request = 0;
  uint64_t sequence = 0;
  Millis wait{0};
};

struct JobReply {
  uint64_t request = 0;
  JobAnswer answer;
};

struct Grant {
  GrantNumber number = 0;
  Millis remaining{0};  // Until the job's deadline.
  std::string service;
  std::string payload;
};

// From a home to an executor. The home has closed every grant below the
// watermark, whatever its outcome.
struct GrantBatch {
  GrantNumber watermark = 0;
  Incarnation target;  // Only this executor incarnation may start the grants.
  std::vector<Grant> grants;
};

// From a home to an executor: asks for the state of grants. If `withdraw` is
// set, the executor must not start those that have not started yet.
struct AskBatch {
  GrantNumber watermark = 0;
  Incarnation target;
  bool withdraw = false;
  std::vector<GrantNumber> numbers;
};

// States of a guard's backend server. It gets new work only while serving.
enum class ServingState : uint8_t {
  kServing,
  kDraining,
  kBreakerOpen,
  kAbsent,
  kStopping,
};
std::string_view ServingStateName(ServingState state);
// Returns why a backend server in this state gets no new work; kNone if it is
// serving.
Reason RefusalOf(ServingState state);

struct Load {
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  // The number of running and queued tasks that belong to the home which
  // receives this message.
  uint32_t yours = 0;
  ServingState state = ServingState::kAbsent;
};

enum class GrantPhase : uint8_t { kQueued, kRunning, kEnded };

struct GrantStatus {
  GrantNumber number = 0;
  GrantPhase phase = GrantPhase::kQueued;
  TaskResult result;  // Valid only in phase kEnded.
};

struct GrantReplies {
  Load load;
  std::vector<GrantStatus> statuses;
};

// A process's description of itself, spread to all processes by gossip. A
// record with a higher version replaces one with a lower version at the same
// address.
struct MemberRecord {
  Address address;
  Incarnation incarnation;
  uint64_t version = 0;
  Role role = Role::kEntry;
  std::string zone;
  std::string worker_kind;
  std::vector<std::string> services;
  Load load;
  uint64_t config_version = 0;
  uint64_t evacuation_revision = 0;  // 0 if it knows no snapshot.
};

struct Gossip {
  bool want_reply = false;
  std::vector<MemberRecord> members;
};

struct ConfigOffer {
  uint64_t version = 0;
  std::string document;  // Empty when only the version is announced.
  // Unknown if the message tells nothing of them.
  Evacuations evacuations{};
};

// An operator's query or command for one process; the document is JSON.
struct AdminRequest {
  uint64_t request = 0;
  std::string verb;
  std::string argument;
};

struct AdminReply {
  uint64_t request = 0;
  Reason reason = Reason::kNone;
  std::string document;
};

// Messages about the runs of held jobs. A run is one start of one task on one
// worker. When the connection over which runs were ordered ends, the guard
// stops those runs.

// Waiting work in core-milliseconds, by urgency band: work that must start
// within 100 ms, within 300 ms, and later.
inline constexpr size_t kUrgencyBands = 3;
inline constexpr std::array<Millis, kUrgencyBands - 1> kUrgencyBandLimits = {
    Millis(100), Millis(300)};
using WorkByUrgency = std::array<uint64_t, kUrgencyBands>;
// The band of work that must start at `start_by`.
inline size_t UrgencyBandOf(Instant start_by, Instant now) {
  size_t band = 0;
  while (band < kUrgencyBandLimits.size() &&
         start_by > now + kUrgencyBandLimits[band]) {
    ++band;
  }
  return band;
}

// From an entry to a guard: start one task.
struct RunOrder {
  // Identifies the run within the entry's incarnation. Numbers rise and are
  // never reused.
  uint64_t number = 0;
  std::string task;       // Name of the task, the same for all its runs.
  uint32_t attempt = 1;   // Rises with each run of the task.
  uint32_t step_tag = 0;  // Equal for the tasks of one step of one job.
  // Most runs with this step_tag on the worker at a time; 0 means no limit.
  uint32_t max_per_worker = 0;
  std::string service;
  std::string payload;
  Resources need;
  Millis estimate{0};
  // Time left until the run must start for the job to be on time.
  Millis slack{0};
  // Time left until the run is of no use any more.
  Millis remaining{0};
  // Nothing else runs on the worker at the same time.
  bool must_run_alone = false;
  // Run time on a worker of factor 1 by what the entry has learned of the queue
  // and of the distance to the task's data; 0 if it tells nothing.
  Millis expected{0};
  std::string queue{};  // Of the job.

  Millis ExpectedOrEstimate() const {
    return expected > Millis(0) ? expected : estimate;
  }
};

struct RunOrders {
  // `stamp` of the newest report that the entry has received; 0 if none.
  uint64_t echo = 0;
  WorkByUrgency waiting_work{};  // Work that waits at the entry.
  std::vector<RunOrder> orders;
  std::vector<uint64_t> stops;  // Numbers of runs to stop.
  // The entry's snapshot, if it has not been sent on this connection yet;
  // otherwise unknown.
  Evacuations evacuations{};
  // Asks for `RunReport::running`.
  bool wants_running = false;
};

enum class RunOutcome : uint8_t {
  kDone,
  kFailed,      // Ran and failed.
  kNotStarted,  // Did not start and never will.
  kLost,        // Started and ended without a result.
};
std::string_view RunOutcomeName(RunOutcome outcome);

// Reports that a run has ended for certain: it neither runs now nor will run.
struct RunEnd {
  uint64_t number = 0;
  RunOutcome outcome = RunOutcome::kNotStarted;
  Reason reason = Reason::kNone;
  Millis run_time{0};
};

// Largest number of queues whose tasks are told apart as neighbours at one
// worker. Bounds the size of the sums and of the messages with them.
inline constexpr size_t kMaxNeighbourQueues = 8;

// A part of a worker's processors that the tasks of one queue use.
struct QueueShare {
  std::string queue;
  double share = 0;  // Of all processors of the worker, 0 to 1.
};

// Sums over the ended runs of one queue at one worker, from which the effect of
// the neighbours on the run time is estimated: cross products of the mean
// shares that the neighbours of a run used and of the logarithm of its run time
// over its estimate. They are centred on the worker's own means, so that the
// sums of several workers can be added although their speeds differ.
struct InterferenceSums {
  std::string queue;
  std::vector<std::string> neighbours;
  double runs = 0;  // Aged number of runs.
  // Row-major square matrix with one row for each neighbour and a last one for
  // the logarithm.
  std::vector<double> products;

  size_t size() const { return neighbours.size() + 1; }
  double product(size_t row, size_t column) const {
    return products[row * size() + column];
  }
  // Whether the sizes agree and the numbers are finite and possible.
  bool IsValid() const;
};

// From a guard to all entries: what became of an incarnation of its worker that
// was lost while it ran tasks.
struct WorkerLoss {
  uint64_t started_at = 0;  // Start of the incarnation, in ms since 1970.
  // Whether it is certain that the incarnation crashed. Otherwise it went on,
  // or it left as announced.
  bool has_crashed = false;
  std::vector<std::string> tasks;  // Tasks that ran at the time, of all homes.
  // Tasks whose start the worker had not confirmed, so that it may have been
  // lost before.
  std::vector<std::string> unconfirmed_tasks{};
  // Rises with each loss that the guard's process tells of.
  uint64_t number = 0;

  size_t task_count() const { return tasks.size() + unconfirmed_tasks.size(); }
};

// From a guard to an entry: the state of the guard's worker, and the ends of
// the entry's runs.
struct RunReport {
  // The time since the guard's start in milliseconds, plus one; rises.
  uint64_t stamp = 0;
  uint64_t seen_order = 0;  // Highest run number received from this entry.
  // Runs that this entry ordered over earlier connections and that have not
  // ended.
  uint32_t earlier_runs = 0;
  // No run that an earlier process of this guard started can still be running.
  bool is_settled = false;
  ServingState state = ServingState::kAbsent;
  // Whether the fields from `service` to `zone` are set. They are sent in the
  // first report on a connection and when the worker's offer changes. Otherwise
  // they are empty, and those sent last remain valid.
  bool has_offer = true;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  std::string zone;  // Availability zone of the guard.
  Resources used;
  uint64_t queued_work = 0;  // Core-milliseconds that wait at the guard.
  // The same by urgency. What is missing here counts as most urgent.
  WorkByUrgency queued_by_urgency{};
  // Sum of the waiting work that entries reported to the guard.
  // `linked_entries` is the number of entries connected to the guard, and
  // `telling_entries` the number of those whose report is recent; only these
  // are included in the sum.
  WorkByUrgency waiting_work{};
  uint32_t telling_entries = 0;
  uint32_t linked_entries = 0;
  // Moving average of run times in percent of what the orders expected, and the
  // number of runs that it rests on.
  uint32_t slowness = 100;
  uint32_t slowness_runs = 0;
  std::vector<RunEnd> ends;
  // Losses that this entry has not been told of yet.
  std::vector<WorkerLoss> worker_losses;
  // The guard's snapshot, if it is newer than all that the entry sent or was
  // sent on this connection; otherwise unknown.
  Evacuations evacuations{};
  // Of one queue at a time, now and then.
  std::vector<InterferenceSums> interference_sums{};
  // What the runs on the worker use, by queue, if the entry has asked for it.
  std::vector<QueueShare> running{};
};

// From an entry to another: held jobs that were cancelled.
struct JobCancels {
  // All cancels up to this number that the sender has to tell, and that the
  // receiver has not confirmed, are in `ids`. Sent back to confirm them.
  uint64_t number = 0;
  std::vector<std::string> ids;
  // Asks the receiver to tell all other entries, as the sender does not reach
  // one of them.
  bool pass_on = false;
};

struct JobCancelsSeen {
  uint64_t number = 0;
  std::vector<std::string> held;  // Those of the ids that were held there.
};

// A worker crashed, as its guard told the sender.
struct CrashNotice {
  Address guard;
  WorkerLoss loss;
};

// From an entry to another, which may have no link to the guards.
struct CrashNotices {
  std::vector<CrashNotice> notices;
};

using Message =
    std::variant<Hello, MintRequest, MintReply, SubmitRequest, QueryRequest,
                 CancelRequest, JobReply, GrantBatch, AskBatch, GrantReplies,
                 Gossip, ConfigOffer, AdminRequest, AdminReply, RunOrders,
                 RunReport, JobCancels, JobCancelsSeen, CrashNotices>;

}  // namespace qs
