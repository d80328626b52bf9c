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

// One life of a worker. A worker that starts again may keep its id; then the
// time of its start tells the lives apart.
struct WorkerIncarnation {
  std::string id;
  uint64_t started_at = 0;  // Milliseconds since 1970, zero where not told.
  bool operator==(const WorkerIncarnation&) const = default;
};

// What a worker says of itself.
struct WorkerAnnouncement {
  WorkerIncarnation incarnation;
  uint64_t sequence = 0;  // Rises within one life.
  Address address;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;
  std::optional<Millis> worker_clock;
};

// Starts one run. The worker refuses it once its clock has passed `deadline`,
// so that an order that was held up does not start late.
struct StartCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;
  std::string task;
  uint32_t attempt = 0;
  std::string payload;
  Millis deadline{0};  // On the worker's clock.
};

// Ends one run, or refuses it for good where it has not arrived yet.
struct StopCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;
  std::string task;
  uint32_t attempt = 0;
};

// Renews the lease of all runs and waits for the next end.
struct PollCall {
  WorkerIncarnation incarnation;
  uint64_t fence = 0;
  uint64_t acknowledged_number = 0;  // Ends up to this number are forgotten.
  std::optional<Millis> deadline;    // Of the lease, on the worker's clock.
  Millis wait{0};                    // Longest wait for an end.
};

enum class WorkerVerdict : uint8_t {
  kAccepted,
  kFenced,        // A higher fencing token was seen; nothing was done.
  kStaleAttempt,  // A run of the task with this attempt or a higher one ended.
  kTooLate,       // The deadline has passed on the worker's clock.
  kNoCapacity,
  kUnhealthy,         // The worker takes nothing now; nothing was done.
  kOtherIncarnation,  // Another life of the worker answered; nothing was done.
  kRejected,          // The call is not understood.
  kUnreachable,       // No connection; the call was not sent.
  kNoAnswer,          // The call may have been or may yet be carried out.
};
std::string_view WorkerVerdictName(WorkerVerdict verdict);

struct WorkerReply {
  WorkerVerdict verdict = WorkerVerdict::kNoAnswer;
  std::optional<Millis> worker_clock;
};

enum class RunEnding : uint8_t {
  kDone,
  kFailed,
  kInterrupted,  // Stopped, its lease lapsed, or its peers ended.
};

struct PollReply {
  struct Running {
    std::string task;
    uint32_t attempt = 0;
    uint32_t percent = 0;  // Of its work.
  };
  struct Ended {
    uint64_t number = 0;  // Rises by one with each end of this life.
    std::string task;
    uint32_t attempt = 0;
    RunEnding ending = RunEnding::kInterrupted;
  };

  WorkerVerdict verdict = WorkerVerdict::kNoAnswer;
  std::optional<Millis> worker_clock;
  uint64_t started_at = 0;  // Of the life that answered; zero: not told.
  std::vector<Running> running;
  std::vector<Ended> ended;
};

// Translates calls to a worker to HTTP and back. Stateless, for any thread.
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

  // Paths below which workers announce themselves and take their leave; the
  // rest of the path is the worker's id.
  virtual std::string announce_prefix() const = 0;
  virtual std::string withdraw_prefix() const = 0;
  // Fails with every fault of a body that names no worker to use.
  Checked<WorkerAnnouncement> DecodeAnnouncement(
      const std::string& id, const std::string& body) const {
    return OnDecodeAnnouncement(id, body);
  }
  virtual std::string AnnouncementAnswer() const = 0;

 private:
  virtual HttpExchange OnEncode(const StartCall& call) const = 0;
  virtual HttpExchange OnEncode(const StopCall& call) const = 0;
  virtual HttpExchange OnEncode(const PollCall& call) const = 0;
  virtual WorkerReply OnDecodeReply(const HttpOutcome& outcome) const = 0;
  virtual PollReply OnDecodePoll(const HttpOutcome& outcome) const = 0;
  virtual Checked<WorkerAnnouncement> OnDecodeAnnouncement(
      const std::string& id, const std::string& body) const = 0;
};

}  // namespace qs
