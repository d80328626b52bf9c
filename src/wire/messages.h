#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quetzalspindle/held_job.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/job.h"

namespace qs {

// The messages between processes, as the deciding parts see them. wire/codec.h
// turns them into frames. Each request carries a number of the sender's choice
// that the reply repeats.

enum class Role : uint8_t { kEntry, kGuard };

// Sent first by both ends of a connection.
struct Hello {
  Incarnation incarnation;
  Address address;  // Where the sender accepts connections.
  Role role = Role::kEntry;
};

struct MintRequest {
  uint64_t request = 0;
  uint32_t count = 0;
};

struct MintReply {
  uint64_t request = 0;
  uint64_t first = 0;  // Sequences first to first + count - 1 are now valid.
  uint32_t count = 0;  // Zero when refused.
  Millis lifetime{0};  // An id not handed in for so long is retired.
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

// From a home to an executor. Every grant below the watermark is closed at the
// home, whatever became of it.
struct GrantBatch {
  GrantNumber watermark = 0;
  Incarnation target;  // The executor incarnation that alone may start these.
  std::vector<Grant> grants;
};

// Asks for the state of grants. With `withdraw`, a grant that has not started
// shall not start.
struct AskBatch {
  GrantNumber watermark = 0;
  Incarnation target;
  bool withdraw = false;
  std::vector<GrantNumber> numbers;
};

// Whether a guard's backend server may get new work.
enum class ServingState : uint8_t {
  kServing,
  kDraining,
  kBreakerOpen,
  kAbsent,
  kStopping,
};
std::string_view ServingStateName(ServingState state);
// Why a backend server in this state gets no new work; kNone when it serves.
Reason RefusalOf(ServingState state);

struct Load {
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t yours = 0;  // Of running and queued, those of the receiving home.
  ServingState state = ServingState::kAbsent;
};

enum class GrantPhase : uint8_t { kQueued, kRunning, kEnded };

struct GrantStatus {
  GrantNumber number = 0;
  GrantPhase phase = GrantPhase::kQueued;
  TaskResult result;  // Meaningful when ended.
};

struct GrantReplies {
  Load load;
  std::vector<GrantStatus> statuses;
};

// What one process says of itself to all. A record with a higher version
// replaces one with a lower version at the same address.
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
};

struct Gossip {
  bool want_reply = false;
  std::vector<MemberRecord> members;
};

struct ConfigOffer {
  uint64_t version = 0;
  std::string document;  // Empty when only the version is announced.
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

// Runs of held jobs. A run is one start of one task on one worker. Runs belong
// to the connection that ordered them: when it ends, the guard stops them.

// Work that waits, in core-milliseconds, by how soon it must start: within 100
// ms, within 300 ms, and later.
inline constexpr size_t kUrgencyBands = 3;
inline constexpr std::array<Millis, kUrgencyBands - 1> kUrgencyBandLimits = {
    Millis(100), Millis(300)};
using WorkByUrgency = std::array<uint64_t, kUrgencyBands>;

// From an entry to a guard: start one task.
struct RunOrder {
  uint64_t number = 0;    // Of the entry's incarnation; rises, never reused.
  std::string task;       // Name of the task, the same for all its runs.
  uint32_t attempt = 1;   // Rises with each run of the task.
  uint32_t step_tag = 0;  // Equal for the tasks of one step of one job.
  uint32_t max_per_worker = 0;  // Runs with one step_tag here; 0: no limit.
  std::string service;
  std::string payload;
  Resources need;
  Millis estimate{0};
  Millis slack{0};      // Until the run must start for the job to be on time.
  Millis remaining{0};  // Until the run is of no use.
};

struct RunOrders {
  uint64_t echo = 0;  // `stamp` of the newest report that the entry has.
  WorkByUrgency waiting_work{};  // Of the entry.
  std::vector<RunOrder> orders;
  std::vector<uint64_t> stops;  // Numbers of runs to end.
};

enum class RunOutcome : uint8_t {
  kDone,
  kFailed,      // Ran and failed.
  kNotStarted,  // Did not start and never will.
  kLost,        // Started and was ended without a result.
};
std::string_view RunOutcomeName(RunOutcome outcome);

// The certain end of a run: nothing of it goes on.
struct RunEnd {
  uint64_t number = 0;
  RunOutcome outcome = RunOutcome::kNotStarted;
  Reason reason = Reason::kNone;
  Millis run_time{0};
};

// From a guard to an entry: its worker, and ends of the entry's runs.
struct RunReport {
  uint64_t stamp = 0;         // The guard's clock in ms; rises.
  uint64_t seen_order = 0;    // Highest run number received from this entry.
  uint32_t earlier_runs = 0;  // Of former connections of this entry, not ended.
  bool is_settled = false;    // Nothing of a former run of the guard goes on.
  ServingState state = ServingState::kAbsent;
  // What the worker offers. Told once on a connection and when it changes:
  // where `has_offer` is false, those below up to `zone` are empty and the last
  // ones hold.
  bool has_offer = true;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  std::string zone;  // Availability zone of the guard.
  Resources used;
  uint64_t queued_work = 0;  // Core-milliseconds that wait at the guard.
  // As told lately by `telling_entries` of the `linked_entries` that have a
  // connection to the guard.
  WorkByUrgency waiting_work{};
  uint32_t telling_entries = 0;
  uint32_t linked_entries = 0;
  uint32_t slowness = 100;  // Run time in percent of the estimate.
  std::vector<RunEnd> ends;
};

using Message = std::variant<Hello, MintRequest, MintReply, SubmitRequest,
                             QueryRequest, CancelRequest, JobReply, GrantBatch,
                             AskBatch, GrantReplies, Gossip, ConfigOffer,
                             AdminRequest, AdminReply, RunOrders, RunReport>;

}  // namespace qs
