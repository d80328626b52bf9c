#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "held/run_time_distribution.h"
#include "held/speed_estimate.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/time.h"

namespace qs {

struct ServiceModelOptions {
  // The least recently used ones beyond these numbers are forgotten.
  size_t max_queues = 256;
  size_t max_workers = 4096;
  size_t max_kinds = 256;
};

// What is known in advance about how fast a worker is: its service and its
// labels, but not its rack.
struct WorkerKind {
  std::string service;
  std::string labels;

  static WorkerKind Of(const std::string& service,
                       const std::vector<std::string>& labels,
                       const std::string& rack);
};

// Run times of tasks as an entry has learned them. A run time is the product of
// the declared estimate, a factor of the worker, a factor if the worker is far
// from the task's data, and a ratio with the distribution of the task's queue.
// Times and factors are bounded. No I/O, no clock.
class ServiceModel {
 public:
  explicit ServiceModel(const ServiceModelOptions& options = {})
      : options_(options) {}

  // A run ended with success. `is_remote`: not on the rack of its data.
  void OnRunEnded(const std::string& queue, Incarnation worker,
                  const WorkerKind& kind, Millis estimate, Millis run_time,
                  bool is_remote, Instant now);
  // The worker's guard reported its factor in percent, after this many runs; 0
  // if it knows nothing. Returns false if the factor is impossible; it is then
  // ignored.
  bool OnFactorReported(Incarnation worker, const WorkerKind& kind,
                        uint32_t percent, uint32_t runs, Instant now);

  // The worker's factor. One that has run little is assumed to be like others
  // of its kind, or else of its service.
  double FactorOf(Incarnation worker, const WorkerKind& kind) const;
  // The factor of the other workers of the kind.
  double FactorOfOthers(Incarnation worker, const WorkerKind& kind) const;
  double remote_factor() const;
  Millis ExpectedRunTime(const std::string& queue, Millis estimate,
                         double factor) const;
  // Probability that a run ends within `left`, which is counted with a run time
  // as estimated and changes by `slack_factor` times what the task takes more
  // or less on a worker of factor 1. Zero: a fixed time.
  double OnTimeProbability(const std::string& queue, Millis estimate,
                           double factor, Millis left,
                           double slack_factor = 0) const;
  // The estimate, corrected by how the queue's estimates compare with those of
  // other queues. The factor of a worker refers to it.
  Millis CorrectedEstimate(const std::string& queue, Millis estimate) const;
  const RunTimeDistribution& TimesOf(const std::string& queue) const;

  // Values that were ignored because they are impossible.
  uint64_t ignored() const { return ignored_; }
  size_t queue_count() const { return queues_.size(); }
  size_t worker_count() const { return workers_.size(); }

 private:
  struct Group {     // The workers of one kind, or of one service.
    double sum = 0;  // Of the logarithms of their factors.
    uint32_t workers = 0;
    double last_mean = 0;  // While it had workers.
    bool is_known = false;
    Instant used_at;
  };
  struct Worker {
    WorkerKind kind;
    SpeedEstimate own;  // From the runs of this entry.
    double reported = 0;
    uint32_t reported_runs = 0;
    double in_groups = 0;  // Its part of the sums of its groups.
    bool is_in_groups = false;
    Instant used_at;
  };
  struct Queue {
    RunTimeDistribution times;
    Instant used_at;
  };

  Worker* WorkerAt(Incarnation worker, const WorkerKind& kind, Instant now);
  void UpdateGroups(Worker* worker, Instant now);
  void AddToGroups(const Worker& worker, int sign, Instant now);
  double LogPrior(const Worker* worker, const WorkerKind& kind) const;
  // Weight and logarithm of what was observed of the worker itself.
  static std::pair<double, double> Observed(const Worker& worker);

  ServiceModelOptions options_;
  std::map<Incarnation, Worker> workers_;
  std::unordered_map<std::string, Group> groups_;
  std::unordered_map<std::string, Queue> queues_;
  RunTimeDistribution all_;
  RunTimeDistribution unknown_;  // Without samples.
  SpeedEstimate remote_;
  uint64_t ignored_ = 0;
};

}  // namespace qs
