#include "held/load_shedder.h"

namespace qs {
namespace {

// The mean covers about so many requests; they come in clusters.
constexpr int64_t kPaceSamples = 8;

}  // namespace

bool LoadShedder::TryAccept() {
  const int before = waiting_++;
  const bool is_slow = last_wait_ > options_.longest_wait ||
                       before * pace_ > options_.longest_wait;
  const bool is_full = before >= options_.most_waiting ||
                       (is_slow && before >= options_.few_waiting);
  if (is_full) --waiting_;
  return !is_full;
}

void LoadShedder::OnDequeued(Instant received, Instant now) {
  last_wait_ = Elapsed(received, now);
  if (was_busy_) {
    const auto pace = std::chrono::duration_cast<std::chrono::microseconds>(
        now - last_taken_);
    pace_ += (pace - pace_) / kPaceSamples;
  }
  last_taken_ = now;
  was_busy_ = --waiting_ > 0;
}

}  // namespace qs
