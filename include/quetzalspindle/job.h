#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

inline constexpr size_t kMaxTasksPerJob = 640;

// What happens to the other tasks of a job when one task does not succeed.
enum class OnFailure : uint8_t {
  kStop,    // Tasks that have not started are not run.
  kFinish,  // All other tasks are still run.
};

// The content of a submission, as specified by its caller.
struct JobSpec {
  std::string team;
  std::string service;
  std::string label;        // The caller's own name for the job; may be empty.
  std::string zone;         // Required availability zone; empty for any.
  std::string worker_kind;  // Required kind of worker; empty for any.
  Millis deadline{30'000};  // From acceptance to answer.
  bool repeatable = false;  // Whether the job may run more than once; required
                            // for a one-shot request, which has no minted id.
  OnFailure on_failure = OnFailure::kStop;
  std::vector<std::string> payloads;  // One opaque byte string per task.

  // A hash of the content, by which a home detects that two different jobs were
  // submitted under one id.
  uint64_t Digest() const;
};

enum class Outcome : uint8_t {
  kDone,
  kFailed,
  kNotRun,
  kUnknown,
};
std::string_view OutcomeName(Outcome outcome);

struct TaskResult {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::string output;  // Output of the backend server; empty unless kDone.
  bool operator==(const TaskResult&) const = default;
};

enum class JobState : uint8_t {
  kRunning,
  kComplete,  // Every task is kDone; the answer holds all outputs in order.
  kFailed,    // At least one task is not kDone; the answer holds no output.
  kRefused,   // The submission as a whole was not accepted or not found.
};
std::string_view JobStateName(JobState state);

// The answer to a submission. While the state is kRunning it only reports that
// the job is in progress and holds no results.
struct JobAnswer {
  JobState state = JobState::kRunning;
  Reason reason = Reason::kNone;    // Of the refusal or the first failure.
  std::vector<TaskResult> results;  // In the order of the payloads.
  Millis retry_after{0};            // Delay before a retry; zero: unspecified.
};

}  // namespace qs
