#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "quetzalspindle/reason.h"
#include "quetzalspindle/time.h"

namespace qs {

// The largest values that messages may state. They exceed those of any real
// worker or held job, and sums and products of them stay in range. Work is in
// core-milliseconds; kMaxReportedWork limits what one process reports of all
// its jobs.
inline constexpr int64_t kMaxResource = int64_t{1} << 40U;
inline constexpr Millis kMaxDuration{std::numeric_limits<int32_t>::max()};
inline constexpr uint64_t kMaxJobWork = uint64_t{1} << 36U;
inline constexpr uint64_t kMaxReportedWork = uint64_t{1} << 40U;

// The resources that a task occupies on its worker while it runs, or the
// capacity of a worker.
struct Resources {
  int64_t cpu_millis = 0;  // Thousandths of a core.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  bool FitsIn(const Resources& available) const {
    return cpu_millis <= available.cpu_millis &&
           memory_mb <= available.memory_mb &&
           accelerators <= available.accelerators;
  }
  bool IsInRange() const {
    const auto is_in_range = [](int64_t amount) {
      return amount >= 0 && amount <= kMaxResource;
    };
    return is_in_range(cpu_millis) && is_in_range(memory_mb) &&
           is_in_range(accelerators);
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

// A group of tasks of one job that have the same needs. See step_graph.h for a
// step that has none.
struct HeldStep {
  uint32_t tasks = 0;                // Number of tasks.
  Resources task_resources;          // Resources that one task needs.
  Millis estimate{0};                // Rough run time of one task.
  std::vector<uint32_t> depends_on;  // Indexes of earlier steps that must be
                                     // done before a task of this one starts.
  std::string required_label;   // Label that the worker must have; empty: any.
  std::string preferred_rack;   // Rack that stores the data; empty: any.
  uint32_t max_per_worker = 0;  // Tasks of the step on one worker; 0: no limit.
};

// A job whose caller keeps its connection open until the answer arrives. The
// job is not stored and ends when that connection closes.
struct HeldJob {
  std::string id;       // Chosen by the caller.
  std::string queue;    // Name of the declared queue it was sent to.
  std::string payload;  // Passed to every task.
  std::vector<HeldStep> steps;
  Millis caller_timeout{0};     // Longest time that the caller waits.
  bool is_unsupported = false;  // Uses a feature that held jobs do not have.
};

enum class HeldState : uint8_t {
  kComplete,  // Every task succeeded.
  kFailed,    // Ran at least in part without completing, or can never run.
  kRefused,   // No task of the job has run or will run.
};

struct HeldAnswer {
  HeldState state = HeldState::kRefused;
  Reason reason = Reason::kNone;
  Millis retry_after{0};  // Delay before a useful retry; zero: do not retry.
};

// Estimated work in core-milliseconds. TaskWork is that of one task, given its
// resources and run time or its step; StepWork is that of all tasks of a step.
inline constexpr int64_t kCpuMillisPerCore = 1000;
inline uint64_t TaskWork(const Resources& resources, Millis estimate) {
  return static_cast<uint64_t>(resources.cpu_millis * estimate.count() /
                               kCpuMillisPerCore);
}
inline uint64_t TaskWork(const HeldStep& step) {
  return TaskWork(step.task_resources, step.estimate);
}
inline uint64_t StepWork(const HeldStep& step) {
  return static_cast<uint64_t>(step.tasks * step.task_resources.cpu_millis *
                               step.estimate.count() / kCpuMillisPerCore);
}

// Whether the work of `tasks` such tasks is at most kMaxJobWork. Takes values
// whose product may be out of range.
inline bool IsJobWorkInRange(double tasks, const Resources& resources,
                             Millis estimate) {
  return tasks * static_cast<double>(resources.cpu_millis) *
             static_cast<double>(estimate.count()) <=
         static_cast<double>(kMaxJobWork) * kCpuMillisPerCore;
}

}  // namespace qs
