#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "held/fair_shares.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

// A task of a held job. Job numbers rise in the order of arrival.
struct TaskId {
  uint64_t job = 0;
  uint32_t task = 0;
  auto operator<=>(const TaskId&) const = default;
};

// What one round of dispatch has found no worker for.
struct SkippedTasks {
  std::vector<TaskId> tasks;
  std::set<std::string> queues;
};

// What decides the order in which a waiting task is dispatched.
struct WaitingTerms {
  std::string queue;
  std::string service;
  Instant order_by;      // Tasks of one class are dispatched in this order.
  Instant latest_start;  // A task that starts later makes its job late.
  Instant at_risk_from;  // Half of the time to wait is used up by then.
  uint64_t work = 0;     // Core-milliseconds.
};

// The tasks that wait at an entry, in the order of dispatch:
//   1. tasks at risk of being late whose queue got less than its guaranteed
//      share of the core-time (see FairShares);
//   2. the other tasks that can still be on time;
//   3. tasks whose latest start has passed.
// Within a class `order_by` decides.
// Invariants: a task is in exactly one class of exactly one queue; the sums of
// work equal those of the tasks that can still be on time; a queue without
// waiting tasks has no record. No operation walks all tasks: adding, removing
// and choosing cost the logarithm of the tasks plus the number of queues that
// wait, and a sum costs the number of distinct intervals of `kSumInterval`.
class WaitingTasks {
 public:
  // Resolution of the sums of work by urgency.
  static constexpr Millis kSumInterval{10};

  void Add(TaskId id, WaitingTerms terms, Instant now);
  // Returns whether the task waited.
  bool Remove(TaskId id);
  // Replaces the terms of a task if it waits.
  void Update(TaskId id, WaitingTerms terms, Instant now);
  // Moves the tasks whose latest start has passed into the last class. Returns
  // them.
  std::vector<TaskId> MarkLate(Instant now);

  // The task to dispatch next, those in `skipped` left out.
  std::optional<TaskId> Next(const FairShares& shares,
                             const SkippedTasks& skipped, Instant now) const;

  // Work of the tasks of a service that can be on time and are ordered before
  // `order_by` or, in the second form, at any time.
  uint64_t WorkBefore(const std::string& service, Instant order_by) const;
  uint64_t OnTimeWork(const std::string& service) const;
  uint64_t LateWork(const std::string& service) const;
  // Work of the tasks of a queue that can be on time.
  uint64_t QueueWork(const std::string& queue) const;
  // Work of the tasks that can be on time, by the time until `order_by`.
  WorkByUrgency ByUrgency(Instant now) const;

  size_t size() const { return tasks_.size(); }

 private:
  struct Key {
    Instant order_by;
    TaskId id;
    auto operator<=>(const Key&) const = default;
  };
  struct Queue {
    std::set<Key> on_time;
    std::set<Key> late;
    uint64_t on_time_work = 0;
  };
  struct Interval {
    size_t tasks = 0;
    uint64_t work = 0;
  };
  struct Service {
    size_t tasks = 0;
    // The tasks that can be on time, by intervals of `order_by`.
    std::map<int64_t, Interval> by_interval;
    uint64_t on_time_work = 0;
    uint64_t late_work = 0;
  };
  struct Task {
    WaitingTerms terms;
    bool is_late = false;
  };

  static int64_t IntervalOf(Instant order_by);
  void Insert(TaskId id, const Task& task);
  void Erase(TaskId id, const Task& task);
  // The first of `tasks` that is not skipped; null if there is none.
  static const Key* FirstOf(const std::set<Key>& tasks,
                            const std::vector<TaskId>& skipped);

  std::map<TaskId, Task> tasks_;
  std::map<std::string, Queue> queues_;
  std::map<std::string, Service> services_;
  // The tasks that can be on time, by their latest start.
  std::set<std::pair<Instant, TaskId>> by_latest_start_;
};

}  // namespace qs
