#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/placement_choice.h"
#include "held/service_model.h"
#include "quetzalspindle/held_job.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

// Requirements and preferences of a task for the worker that runs it.
struct PlacementNeed {
  std::string service;
  Resources resources;
  Millis estimate{0};
  std::string queue;
  uint32_t width = 1;  // Tasks of the step; the job ends with the last one.
  // Time left until the task must have ended for its job to be on time, and
  // until its answer is of no use.
  Millis remaining{kMaxDuration};
  // `remaining` grows by this multiple of what the task takes more than
  // estimated, as the objective of a job is a multiple of its work.
  double slack_factor = 0;
  Millis useful{kMaxDuration};
  Millis waited{0};  // Time since the job arrived.
  std::string required_label;
  std::string preferred_rack;
  std::set<Incarnation> avoid;  // Guards at which a run of the task failed.
  // Queued work of this urgency or more delays the task at a guard.
  size_t urgency_band = kUrgencyBands - 1;
};

struct PlacementOptions {
  // Workers count as equally good for a task if the probabilities that the task
  // is on time there differ by at most `job_tolerance`, divided by the width of
  // its job, and no less than `least_tolerance`.
  double job_tolerance = 0.08;
  double least_tolerance = 0.02;
  // The least gain in probability for which a task waits at a guard although
  // other workers are free, and that of its job for which it waits at the
  // entry.
  double queue_gain = 0.1;
  double hold_gain = 0.2;
  // It waits only for a worker that is faster by this factor than the free
  // ones; smaller differences are within the errors of the factors.
  double least_speedup = 1.5;
  // Least time that a task is expected to wait at the entry for a worker that
  // has no free capacity. One that has waited longer is expected to wait as
  // long again.
  Millis least_hold{40};
};

// A worker that could take the task.
struct PlacementOption {
  double factor = 1;  // Of the run time, with the distance to the data.
  double load = 0;    // Used share of its processors.
  int distance = 0;   // Lower is preferred among equally good workers.
  bool is_free = true;
  Millis delay{0};        // Until a run could start, if it is not free.
  double queue = 0;       // Ranks the workers that are not free.
  bool is_trial = false;  // The worker is doubtful and a trial run is due.
  // Logarithm of the slowdown that the task suffers and causes beside the
  // runs that are there; see InterferenceModel.
  double interference = 0;
};

// Chooses among workers of different speed: one where the task is likely to be
// on time, and among those where it is about as likely the one that is worth
// least to other tasks. Among workers that are alike, the choice is by distance
// and load. No I/O, no clock.
class OnTimePlacement {
 public:
  struct Verdict {
    PlacementChoice choice = PlacementChoice::kNone;
    size_t option = 0;  // Valid unless the choice is kHeld or kNone.
  };

  explicit OnTimePlacement(const PlacementOptions& options)
      : options_(options) {}

  // `busy_factor` is the lowest factor of the workers that can take the task
  // later only; absent without any.
  Verdict Choose(const PlacementNeed& need, const ServiceModel& model,
                 const std::vector<PlacementOption>& workers,
                 std::optional<double> busy_factor, std::minstd_rand* random);

 private:
  // Probability that the task is on time on a worker with this factor if it can
  // start after `delay`.
  static double ChanceOf(const PlacementNeed& need, const ServiceModel& model,
                         double factor, Millis delay);
  // Whether the task suits a trial run: short, with time to spare.
  bool SuitsTrial(const PlacementNeed& need) const;
  // Picks one of the free workers whose chance is `least` or more.
  static size_t PickFree(const std::vector<PlacementOption>& workers,
                         const std::vector<double>& chances, double least,
                         const std::function<bool(size_t)>& has_time_to_spare,
                         std::minstd_rand* random);

  PlacementOptions options_;
  // Moving average of the estimates of the tasks that were placed.
  double typical_estimate_ms_ = 0;
};

}  // namespace qs
