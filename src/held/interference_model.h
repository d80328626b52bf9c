#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "held/interference_sums.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/time.h"

namespace qs {

struct InterferenceModelOptions {
  // Interval at which the effects are estimated anew.
  Millis refresh_interval{1000};
  // Sums of a worker count for this long after they arrived.
  Millis sums_lifetime{10'000};
  // Aged number of runs from which the effects on a queue are estimated.
  double min_runs = 200;
  // A pair is believed to interfere once its effect exceeds that of the
  // queue's mildest neighbour by this many standard errors; there are dozens of
  // pairs. It is believed until the effect falls below half of that.
  double min_confidence = 4;
  // An effect below this is of no use: the logarithm of the slowdown beside a
  // neighbour that uses the whole worker.
  double min_effect = 0.2;
  // Limit for the effect of one pair, so that a wrong estimate cannot outweigh
  // everything else that placement considers.
  double max_effect = 2;
  size_t max_queues = 256;   // Queues that are known at a time.
  size_t max_workers = 256;  // Workers whose sums are kept.
};

// Estimated effect of the tasks of `neighbour` on the run time of a task of
// `queue` on the same worker.
struct InterferencePair {
  std::string queue;
  std::string neighbour;
  // Logarithm of the slowdown beside neighbours that use the whole worker. The
  // slowdown beside a smaller share grows with the share.
  double effect = 0;
  double standard_error = 0;
  double runs = 0;  // Aged number of runs behind the estimate.
  bool is_believed = false;
};

// What an entry knows of which queues' tasks slow each other down. Adds the
// sums of all workers and estimates the effects by least squares. As the sums
// are centred on each worker, a slow worker is not mistaken for a bad
// neighbour; as each queue has sums of its own, neither is a long task; and
// since an effect counts only as far as it exceeds that of the queue's mildest
// neighbour, neither is the load as such. No I/O, no threads.
class InterferenceModel {
 public:
  explicit InterferenceModel(const InterferenceModelOptions& options)
      : options_(options) {}

  // Takes the newest sums of a queue at a guard's worker. Returns false if they
  // are impossible or there is no room for them; they are then ignored.
  bool OnSums(Incarnation guard, const InterferenceSums& sums, Instant now);
  // Estimates the effects anew if that is due. Returns the pairs whose
  // `is_believed` has changed.
  std::vector<InterferencePair> Refresh(Instant now);

  // Whether some pair is believed to interfere. If not, all costs are zero.
  bool has_beliefs() const { return believed_ > 0; }
  // The logarithm of the slowdown that a task of `queue` with this share of a
  // worker's processors suffers and causes beside `running`, from believed
  // pairs only.
  double CostBeside(const std::string& queue, double share,
                    const std::vector<QueueShare>& running) const;
  // All pairs that are estimated.
  std::vector<InterferencePair> pairs() const;

 private:
  struct Received {
    InterferenceSums sums;
    Instant received_at;
  };
  using Effects = std::map<std::string, InterferencePair>;  // By neighbour.

  // Estimates the effects on a queue from the sums of all workers.
  Effects Estimate(const std::string& queue) const;
  double EffectOf(const std::string& queue, const std::string& neighbour) const;

  InterferenceModelOptions options_;
  std::map<std::string, std::map<Incarnation, Received>> sums_;  // By queue.
  std::map<std::string, Effects> effects_;                       // By queue.
  Instant refreshed_at_;
  size_t believed_ = 0;
};

}  // namespace qs
