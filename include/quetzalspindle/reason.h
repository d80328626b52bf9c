#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace qs {

// What a caller may conclude about the tasks to which a reason applies.
enum class Disposition : uint8_t {
  kNone,       // No fault.
  kNeverRuns,  // They did not run, and the same request can never run.
  kTryLater,   // They did not run; a new submission may succeed later.
  kNotRun,     // They did not run, for a cause inside this submission.
  kFailed,     // They ran and failed.
  kUnknown,    // They may or may not have run.
};

// Every cause of a refusal, a retry or a failed task. The wire protocol, the
// HTTP answers, the logs and the metric labels use the same values. The numbers
// are part of the wire protocol and are never reused.
enum class Reason : uint8_t {
  kNone = 0,
  // Refused: the request can never run.
  kMalformedRequest = 1,
  kTooManyTasks = 2,
  kBodyTooLarge = 3,
  kNoSuchService = 4,
  kConstraintUnmet = 5,
  kOneShotNotRepeatable = 6,
  kContentConflict = 7,
  kNotFound = 8,
  kUnknownTeam = 9,
  kDeadlineTooLong = 10,
  kOverQuotaForGood = 11,
  kNoSuchQueue = 12,
  kNotSupported = 13,
  kJobTooLarge = 14,
  // Refused: try later.
  kNoGuardAvailable = 20,
  kHomeOverloaded = 21,
  kTeamQuota = 22,
  kStopping = 23,
  kWarmingUp = 24,
  kNoConfiguration = 25,
  kEntryOverloaded = 26,
  kWouldEndTooLate = 27,
  kZonesEvacuated = 28,
  // Not run: an executor returned the task before it started.
  kExecutorDraining = 40,
  kExecutorQueueFull = 41,
  kBackendAbsent = 42,
  kBackendUnreachable = 43,
  kBreakerOpen = 44,
  kWrongService = 45,
  kGrantLost = 46,
  kWithdrawn = 47,
  kWrongIncarnation = 48,
  kStaleAttempt = 49,
  kFenced = 50,
  kHomeSilent = 51,
  kOrderLate = 52,
  kZoneEvacuated = 53,
  kGuardFull = 54,
  // Not run: the submission ended first.
  kDeadlinePassed = 60,
  kCancelled = 61,
  kJobStopped = 62,
  kCallerLeft = 63,
  kWaitedTooLong = 64,
  // Ran and failed.
  kBackendFailed = 80,
  kBackendRejected = 81,
  kAttemptsExhausted = 82,
  kRunInterrupted = 83,
  kRunStalled = 84,
  kCrashesWorkers = 85,
  // Unknown.
  kBackendDisconnected = 100,
  kBackendTimeout = 101,
  kExecutorLost = 102,
  kExecutorUnreachable = 103,
  kHomeLost = 104,
  kHomeUnreachable = 105,
  kIdMalformed = 106,
  kIdNotMinted = 107,
  kIdRetired = 108,
  kRunningAtDeadline = 109,
  kRunningAtCancel = 110,
  kNotHandedIn = 111,
  kWorkerLost = 112,
  kGivenUpRunning = 113,
  kEntrySuspended = 114,
  kWorkerDown = 115,
};

// The snake_case name used in JSON, logs and metric labels.
std::string_view ReasonName(Reason reason);

// A one-line English description for people.
std::string_view ReasonText(Reason reason);

Disposition DispositionOf(Reason reason);
std::string_view DispositionName(Disposition disposition);

// Converts a number received on the wire. An unassigned number yields
// kMalformedRequest.
Reason ReasonFromWire(uint8_t value);

const std::error_category& ReasonCategory();
std::error_code make_error_code(Reason reason);

}  // namespace qs

template <>
struct std::is_error_code_enum<qs::Reason> : std::true_type {};
