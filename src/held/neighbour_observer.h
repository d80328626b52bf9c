#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "held/interference_sums.h"
#include "quetzalspindle/time.h"

namespace qs {

struct NeighbourObserverOptions {
  // Time in which the weight of an ended run halves. Effects between tasks
  // change within seconds.
  Millis half_life{8000};
  // Limits the influence of one run, as some take many times their estimate for
  // reasons of their own.
  double longest_ratio = 4;
  double shortest_ratio = 0.2;
};

// Watches at one worker which queues' tasks run side by side, and gathers for
// each queue the sums from which the effect of its neighbours is estimated. No
// I/O, no threads.
class NeighbourObserver {
 public:
  explicit NeighbourObserver(const NeighbourObserverOptions& options)
      : options_(options) {}

  // A run with this share of the worker's processors has started. `run` is
  // unique among the open runs. Queues beyond kMaxNeighbourQueues are not
  // watched.
  void OnRunStarted(uint64_t run, const std::string& queue, double share,
                    Instant now);
  // The run has ended after `run_time`. Only successful runs are learned from.
  void OnRunEnded(uint64_t run, bool is_done, Millis run_time, Millis estimate,
                  Instant now);
  // The worker has been replaced: forgets its runs and what they showed.
  void OnWorkerReplaced();

  // Returns the sums of the queue that follows `*last_told`, in turn, and names
  // it there; empty without queues. Calls with one `last_told` cover all
  // queues.
  std::vector<InterferenceSums> NextSums(std::string* last_told,
                                         Instant now) const;
  // Shares that the open runs of each queue use now.
  std::vector<QueueShare> running() const;

 private:
  struct Queue {
    double share = 0;          // Of the open runs.
    double share_seconds = 0;  // Integral of `share` until `integrated_at_`.
    uint32_t open_runs = 0;
    InterferenceAccumulator sums;
  };
  struct Run {
    std::string queue;
    double share = 0;
    Instant started_at;
    std::map<std::string, double> share_seconds;  // At the start, by queue.
  };

  void Integrate(Instant now);

  NeighbourObserverOptions options_;
  std::map<std::string, Queue> queues_;
  std::unordered_map<uint64_t, Run> runs_;
  Instant integrated_at_;
};

}  // namespace qs
