#include "held/neighbour_observer.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

double ToSeconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void NeighbourObserver::Integrate(Instant now) {
  if (now <= integrated_at_) return;
  const double seconds = ToSeconds(now - integrated_at_);
  integrated_at_ = now;
  for (auto& [name, queue] : queues_) {
    queue.share_seconds += queue.share * seconds;
  }
}

void NeighbourObserver::OnRunStarted(uint64_t run, const std::string& queue,
                                     double share, Instant now) {
  if (queues_.empty()) integrated_at_ = now;
  Integrate(now);
  auto found = queues_.find(queue);
  if (found == queues_.end()) {
    if (queues_.size() == kMaxNeighbourQueues) {
      // A queue that has no task here any more makes room.
      const auto idle = std::find_if(
          queues_.begin(), queues_.end(),
          [](const auto& item) { return item.second.open_runs == 0; });
      if (idle == queues_.end()) return;
      queues_.erase(idle);
    }
    found =
        queues_
            .emplace(queue,
                     Queue{0, 0, 0,
                           InterferenceAccumulator(queue, options_.half_life)})
            .first;
  }
  found->second.share += share;
  ++found->second.open_runs;
  Run& started = runs_[run];
  started = {queue, share, now, {}};
  for (const auto& [name, other] : queues_) {
    started.share_seconds[name] = other.share_seconds;
  }
}

void NeighbourObserver::OnRunEnded(uint64_t run, bool is_done, Millis run_time,
                                   Millis estimate, Instant now) {
  const auto found = runs_.find(run);
  if (found == runs_.end()) return;
  Integrate(now);
  const Run ended = std::move(found->second);
  runs_.erase(found);
  Queue& own = queues_.at(ended.queue);
  own.share -= ended.share;
  if (--own.open_runs == 0) own.share = 0;
  const double seconds = ToSeconds(now - ended.started_at);
  if (!is_done || seconds <= 0 || run_time <= Millis(0) ||
      estimate <= Millis(0)) {
    return;
  }
  std::vector<QueueShare> neighbours;
  for (const auto& [name, queue] : queues_) {
    // The share of a queue that came after the start was zero before.
    const auto before = ended.share_seconds.find(name);
    const double since =
        before == ended.share_seconds.end() ? 0 : before->second;
    double mean = (queue.share_seconds - since) / seconds;
    if (name == ended.queue) mean -= ended.share;
    neighbours.push_back({name, std::clamp(mean, 0.0, 1.0)});
  }
  const double ratio = static_cast<double>(run_time.count()) /
                       static_cast<double>(estimate.count());
  own.sums.Add(neighbours,
               std::log(std::clamp(ratio, options_.shortest_ratio,
                                   options_.longest_ratio)),
               now);
}

void NeighbourObserver::OnWorkerReplaced() {
  queues_.clear();
  runs_.clear();
}

std::vector<InterferenceSums> NeighbourObserver::NextSums(
    std::string* last_told, Instant now) const {
  if (queues_.empty()) return {};
  auto next = queues_.upper_bound(*last_told);
  if (next == queues_.end()) next = queues_.begin();
  *last_told = next->first;
  return {next->second.sums.SumsAt(now)};
}

std::vector<QueueShare> NeighbourObserver::running() const {
  std::vector<QueueShare> shares;
  for (const auto& [name, queue] : queues_) {
    if (queue.share <= 0) continue;
    // Runs may go on beyond a capacity that has shrunk.
    shares.push_back({name, std::min(queue.share, 1.0)});
  }
  return shares;
}

}  // namespace qs
