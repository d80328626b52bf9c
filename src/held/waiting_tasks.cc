#include "held/waiting_tasks.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace qs {
namespace {

enum class DispatchClass : uint8_t { kBelowShare, kOnTime, kLate };

}  // namespace

int64_t WaitingTasks::IntervalOf(Instant order_by) {
  return order_by.time_since_epoch() / kSumInterval;
}

void WaitingTasks::Add(TaskId id, WaitingTerms terms, Instant now) {
  const bool is_late = now > terms.latest_start;
  const auto [item, is_new] =
      tasks_.try_emplace(id, Task{std::move(terms), is_late});
  assert(is_new);
  if (is_new) Insert(id, item->second);
}

bool WaitingTasks::Remove(TaskId id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) return false;
  Erase(id, found->second);
  tasks_.erase(found);
  return true;
}

void WaitingTasks::Update(TaskId id, WaitingTerms terms, Instant now) {
  if (Remove(id)) Add(id, std::move(terms), now);
}

void WaitingTasks::Insert(TaskId id, const Task& task) {
  const WaitingTerms& terms = task.terms;
  Queue& queue = queues_[terms.queue];
  Service& service = services_[terms.service];
  ++service.tasks;
  if (task.is_late) {
    queue.late.insert({terms.order_by, id});
    service.late_work += terms.work;
    return;
  }
  queue.on_time.insert({terms.order_by, id});
  queue.on_time_work += terms.work;
  Interval& interval = service.by_interval[IntervalOf(terms.order_by)];
  ++interval.tasks;
  interval.work += terms.work;
  service.on_time_work += terms.work;
  by_latest_start_.emplace(terms.latest_start, id);
}

void WaitingTasks::Erase(TaskId id, const Task& task) {
  const WaitingTerms& terms = task.terms;
  const auto queue = queues_.find(terms.queue);
  const auto service = services_.find(terms.service);
  if (task.is_late) {
    queue->second.late.erase({terms.order_by, id});
    service->second.late_work -= terms.work;
  } else {
    queue->second.on_time.erase({terms.order_by, id});
    queue->second.on_time_work -= terms.work;
    const auto interval =
        service->second.by_interval.find(IntervalOf(terms.order_by));
    interval->second.work -= terms.work;
    if (--interval->second.tasks == 0) {
      service->second.by_interval.erase(interval);
    }
    service->second.on_time_work -= terms.work;
    by_latest_start_.erase({terms.latest_start, id});
  }
  if (queue->second.on_time.empty() && queue->second.late.empty()) {
    queues_.erase(queue);
  }
  if (--service->second.tasks == 0) services_.erase(service);
}

std::vector<TaskId> WaitingTasks::MarkLate(Instant now) {
  std::vector<TaskId> late;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now) {
    const TaskId id = by_latest_start_.begin()->second;
    Task& task = tasks_.at(id);
    Erase(id, task);
    task.is_late = true;
    Insert(id, task);
    late.push_back(id);
  }
  return late;
}

const WaitingTasks::Key* WaitingTasks::FirstOf(
    const std::set<Key>& tasks, const std::vector<TaskId>& skipped) {
  for (const Key& key : tasks) {
    if (std::find(skipped.begin(), skipped.end(), key.id) == skipped.end()) {
      return &key;
    }
  }
  return nullptr;
}

std::optional<TaskId> WaitingTasks::Next(const FairShares& shares,
                                         const SkippedTasks& skipped,
                                         Instant now) const {
  std::optional<std::pair<DispatchClass, Key>> best;
  const auto consider = [&best](DispatchClass dispatch_class, const Key& key) {
    const std::pair candidate(dispatch_class, key);
    if (!best || candidate < *best) best = candidate;
  };
  for (const auto& [name, queue] : queues_) {
    if (skipped.queues.contains(name)) continue;
    if (const Key* key = FirstOf(queue.on_time, skipped.tasks)) {
      const bool has_claim = now >= tasks_.at(key->id).terms.at_risk_from &&
                             shares.IsBelowShare(name, now);
      consider(has_claim ? DispatchClass::kBelowShare : DispatchClass::kOnTime,
               *key);
    } else if (const Key* late = FirstOf(queue.late, skipped.tasks)) {
      consider(DispatchClass::kLate, *late);
    }
  }
  if (!best) return std::nullopt;
  return best->second.id;
}

uint64_t WaitingTasks::WorkBefore(const std::string& service,
                                  Instant order_by) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  const int64_t last = IntervalOf(order_by);
  uint64_t sum = 0;
  for (const auto& [number, interval] : found->second.by_interval) {
    if (number > last) break;
    sum += interval.work;
  }
  return sum;
}

uint64_t WaitingTasks::OnTimeWork(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.on_time_work;
}

uint64_t WaitingTasks::LateWork(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.late_work;
}

uint64_t WaitingTasks::QueueWork(const std::string& queue) const {
  const auto found = queues_.find(queue);
  return found == queues_.end() ? 0 : found->second.on_time_work;
}

WorkByUrgency WaitingTasks::ByUrgency(Instant now) const {
  WorkByUrgency work{};
  for (const auto& [name, service] : services_) {
    for (const auto& [number, interval] : service.by_interval) {
      size_t band = 0;
      while (band < kUrgencyBandLimits.size() &&
             number > IntervalOf(now + kUrgencyBandLimits[band])) {
        ++band;
      }
      work[band] += interval.work;
    }
  }
  return work;
}

}  // namespace qs
