#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quetzalspindle/catalog.h"
#include "quetzalspindle/time.h"

namespace qs {

struct FairSharesOptions {
  // Time in which the core-time that a queue got loses its weight to 1/e. Above
  // the run time of common tasks, below the duration of a burst.
  Millis memory{1000};
  // Part of a queue's weighted share that it is guaranteed under competition.
  // The rest of the core-time goes by urgency.
  double guaranteed = 0.5;
};

// The core-time that each queue got lately at this entry, and the part of it
// that each is guaranteed while several queues compete. Declared queues without
// traffic do not compete, so they take nothing from the others.
// Invariants: weights are positive and finite; the guarantees of the competing
// queues sum up to `guaranteed`; a queue alone is never below its share.
class FairShares {
 public:
  explicit FairShares(const FairSharesOptions& options = {})
      : options_(options) {}

  // Takes the weights of the declared queues. A weight that is not positive and
  // finite leaves the last one in force, or 1. Returns the number of these.
  size_t SetWeights(const Catalog& catalog);
  // A task of the queue was ordered. `horizon` is the time from the arrival of
  // its job to its place in the order of dispatch.
  void OnDispatched(const std::string& queue, uint64_t work, Millis horizon,
                    Instant now);
  // The guard returned the order: the queue did not get the core-time.
  void OnReturned(const std::string& queue, uint64_t work);
  // Whether the queue got less than it is guaranteed.
  bool IsBelowShare(const std::string& queue, Instant now) const;
  // Part of all core-time that the queue is guaranteed, between 0 and 1.
  double GuaranteeOf(const std::string& queue) const;
  // The queues whose jobs overtake a job with this horizon if they arrive soon
  // after it. A part of 1 is all core-time.
  struct Overtaking {
    double part = 0;
    Millis lead{0};  // Jobs that arrive within this time overtake it.
  };
  std::vector<Overtaking> OvertakingOf(Millis horizon, Instant now) const;

 private:
  // Core-milliseconds, discounted to `at`.
  struct Received {
    double work = 0;
    Instant at;
    Millis horizon{0};  // Of the tasks that got it, moving average.
  };

  double WeightOf(const std::string& queue) const;
  double Discounted(const Received& received, Instant now) const;
  void Add(Received* received, uint64_t work, Instant now) const;
  // Removes the queues that got nothing for several times `memory`.
  void Forget(Instant now);

  FairSharesOptions options_;
  std::map<std::string, double> weights_;
  std::map<std::string, Received> received_;  // Of the queues that compete.
  Received total_;
  double competing_weight_ = 0;  // Sum over `received_`.
  Instant forgot_at_;
};

}  // namespace qs
