#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/held_job.h"
#include "quetzalspindle/http_exchange.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

// One incarnation of a worker process. A worker that restarts may keep its id;
// the start time then distinguishes the incarnations.
struct WorkerIncarnation {
  std::string id;
  uint64_t started_at = 0;  // Milliseconds since 1970; zero if not reported.
  bool operator==(const WorkerIncarnation&) const = default;
};

// What a worker reports about itself with every announcement.
struct WorkerAnnouncement {
  WorkerIncarnation incarnation;
  uint64_t sequence = 0;  // Increases within one incarnation.
  Address address;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;
  std::optional<Millis> worker_clock;  // Its steady clock, if reported.
};

// Starts one run, that is, one attempt of a task. The worker refuses the call
// once its clock has passed `deadline`, so that a delayed order does not start
// late.
struct StartCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;  // Fencing token of the guard.
  std::string task;
  uint32_t attempt = 0;
  std::string payload;
  Millis deadline{0};  // On the worker's clock.
};

// Stops one run. If the start of the run has not reached the worker yet, the
// worker will refuse it when it does.
struct StopCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;
  std::string task;
  uint32_t attempt = 0;
};

// A long poll: renews the lease of all runs and waits until a run ends.
struct PollCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;
  uint64_t acknowledged_number = 0;  // Number of the last ended run that the
                                     // guard has processed. The worker drops
                                     // its records of ended runs up to it.
  std::optional<Millis> deadline;    // End of the lease on the worker's clock.
  Millis wait{0};                    // Longest wait until a run ends.
};

enum class WorkerVerdict : uint8_t {
  kAccepted,
  kFenced,        // The worker has received a call with a higher fencing token;
                  // this one had no effect.
  kStaleAttempt,  // A run of the task with this attempt or a higher one ended.
  kTooLate,       // The deadline has passed on the worker's clock.
  kNoCapacity,    // The worker has no free capacity for the run.
  kUnhealthy,     // The worker accepts no calls now; the call had no effect.
  kOtherIncarnation,  // Another incarnation of the worker answered; the call
                      // had no effect.
  kRejected,          // The worker does not understand the call.
  kUnreachable,       // The connection was refused; the call was not sent.
                      // Proves nothing about the worker's runs.
  kNoAnswer,          // The call may have taken effect, or may do so later.
  kNotSent,           // No connection leads to the named incarnation for
                      // certain; the call was not sent.
};
std::string_view WorkerVerdictName(WorkerVerdict verdict);

struct WorkerReply {
  WorkerVerdict verdict = WorkerVerdict::kNoAnswer;
  std::optional<Millis> worker_clock;  // The worker's clock, if reported.
};

enum class RunEnding : uint8_t {
  kDone,
  kFailed,
  kInterrupted,  // Ended without a result: the run was stopped, its lease
                 // expired, or the other runs of its group ended.
};

struct PollReply {
  struct Running {
    std::string task;
    uint32_t attempt = 0;
    uint32_t percent = 0;  // Share of its work that is done.
  };
  struct Ended {
    // Position among the ended runs of the worker's incarnation; increases by
    // one with each.
    uint64_t number = 0;
    std::string task;
    uint32_t attempt = 0;
    RunEnding ending = RunEnding::kInterrupted;
  };

  WorkerVerdict verdict = WorkerVerdict::kNoAnswer;
  std::optional<Millis> worker_clock;
  // Start of the incarnation that answered; zero if not reported.
  uint64_t started_at = 0;
  std::vector<Running> running;
  std::vector<Ended> ended;
};

// Translates calls to a worker and its replies to and from HTTP. Stateless; may
// be used from any thread.
class WorkerProtocol {
 public:
  virtual ~WorkerProtocol() = default;

  HttpExchange Encode(const StartCall& call) const { return OnEncode(call); }
  HttpExchange Encode(const StopCall& call) const { return OnEncode(call); }
  HttpExchange Encode(const PollCall& call) const { return OnEncode(call); }
  WorkerReply DecodeReply(const HttpOutcome& outcome) const {
    return OnDecodeReply(outcome);
  }
  PollReply DecodePoll(const HttpOutcome& outcome) const {
    return OnDecodePoll(outcome);
  }

  // Path prefixes of the requests by which workers announce and withdraw
  // themselves. The rest of the path is the worker's id.
  virtual std::string announce_prefix() const = 0;
  virtual std::string withdraw_prefix() const = 0;
  // On failure, reports every fault that makes the announcement unusable.
  Checked<WorkerAnnouncement> DecodeAnnouncement(
      const std::string& id, const std::string& body) const {
    return OnDecodeAnnouncement(id, body);
  }
  // Returns the incarnation that withdraws itself. Its start time is zero if
  // the message does not say it.
  Checked<WorkerIncarnation> DecodeWithdrawal(const std::string& id,
                                              const std::string& body) const {
    return OnDecodeWithdrawal(id, body);
  }
  // Body of the response to an announcement or a withdrawal.
  virtual std::string AnnouncementAnswer() const = 0;

 private:
  virtual HttpExchange OnEncode(const StartCall& call) const = 0;
  virtual HttpExchange OnEncode(const StopCall& call) const = 0;
  virtual HttpExchange OnEncode(const PollCall& call) const = 0;
  virtual WorkerReply OnDecodeReply(const HttpOutcome& outcome) const = 0;
  virtual PollReply OnDecodePoll(const HttpOutcome& outcome) const = 0;
  virtual Checked<WorkerAnnouncement> OnDecodeAnnouncement(
      const std::string& id, const std::string& body) const = 0;
  virtual Checked<WorkerIncarnation> OnDecodeWithdrawal(
      const std::string& id, const std::string& body) const = 0;
};

}  // namespace qs
