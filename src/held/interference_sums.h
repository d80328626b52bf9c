#pragma once

#include <string>
#include <vector>

#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

// The centred sums of one queue at one worker while runs end. Old runs lose
// weight, as the effects change.
class InterferenceAccumulator {
 public:
  // `half_life` is the time in which the weight of a run halves.
  InterferenceAccumulator(std::string queue, Millis half_life);

  // Adds a run that was beside `neighbours` and took `log_ratio`.
  void Add(const std::vector<QueueShare>& neighbours, double log_ratio,
           Instant now);
  // Returns the sums, aged until `now`.
  InterferenceSums SumsAt(Instant now) const;

 private:
  double DecayUntil(Instant now) const;
  // Returns the row of the neighbour. Adds it if there is room.
  size_t RowOf(const std::string& neighbour);

  Millis half_life_;
  InterferenceSums sums_;
  std::vector<double> means_;  // Of the columns of `sums_.products`.
  Instant aged_at_;
};

}  // namespace qs
