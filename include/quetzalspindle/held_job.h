#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

// What a task occupies on its worker while it runs, or what a worker has.
struct Resources {
  int64_t cpu_millis = 0;  // Thousandths of a core.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  bool FitsIn(const Resources& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
};

// Tasks of one job that are alike.
struct HeldStep {
  uint32_t tasks = 0;
  Resources task_resources;
  Millis estimate{0};                // Rough run time of one task.
  std::vector<uint32_t> depends_on;  // Earlier steps that must be done first.
  std::string required_label;        // Of the worker; empty for any.
  std::string preferred_rack;        // Where the data lies; empty for anywhere.
  uint32_t max_per_worker = 0;  // Tasks of the step on one worker; 0: no limit.
};

// A job whose caller holds its connection open until the answer. It lives as
// long as that connection and is not stored.
struct HeldJob {
  std::string id;       // Chosen by the caller.
  std::string queue;    // Name of the declared queue it was sent to.
  std::string payload;  // Handed to every task.
  std::vector<HeldStep> steps;
  Millis caller_timeout{0};     // The caller waits for so long.
  bool is_unsupported = false;  // It asks for what held jobs do not offer.
};

enum class HeldState : uint8_t {
  kComplete,  // Every task ended with success.
  kFailed,    // The job ran, at least in part, and did not complete.
  kRefused,   // No task of the job has run or will run.
};

struct HeldAnswer {
  HeldState state = HeldState::kRefused;
  Reason reason = Reason::kNone;
  Millis retry_after{0};  // Above zero where coming back makes sense.
};

// Estimated work in core-milliseconds: of one task with these needs, of one
// task of a step, and of a step.
inline constexpr int64_t kCpuMillisPerCore = 1000;
inline uint64_t TaskWork(const Resources& task_resources, Millis estimate) {
  return static_cast<uint64_t>(task_resources.cpu_millis * estimate.count() /
                               kCpuMillisPerCore);
}
inline uint64_t TaskWork(const HeldStep& step) {
  return TaskWork(step.task_resources, step.estimate);
}
inline uint64_t StepWork(const HeldStep& step) {
  return static_cast<uint64_t>(step.tasks * step.task_resources.cpu_millis *
                               step.estimate.count() / kCpuMillisPerCore);
}

// Estimated run time of the longest chain of steps.
inline Millis CriticalPathEstimate(const HeldJob& job) {
  std::vector<Millis> finish;
  Millis longest{0};
  for (const HeldStep& step : job.steps) {
    Millis start{0};
    for (const uint32_t earlier : step.depends_on) {
      if (earlier < finish.size()) start = std::max(start, finish[earlier]);
    }
    finish.push_back(start + step.estimate);
    longest = std::max(longest, finish.back());
  }
  return longest;
}

}  // namespace qs
