#include "held/load_shedder.h"

namespace qs {
namespace {

// Approximate number of requests that the moving mean covers. Single intervals
// vary too much, because requests arrive in clusters.
constexpr int64_t kIntervalSamples = 8;

}  // namespace

bool LoadShedder::TryAccept() {
  const int before = waiting_++;
  const bool is_slow = last_wait_ > options_.max_wait ||
                       before * mean_interval_ > options_.max_wait;
  const bool is_full = before >= options_.max_queue_length ||
                       (is_slow && before >= options_.always_accepted);
  if (is_full) --waiting_;
  return !is_full;
}

void LoadShedder::OnDequeued(Instant received, Instant now) {
  last_wait_ = Elapsed(received, now);
  if (had_backlog_) {
    const auto interval = std::chrono::duration_cast<std::chrono::microseconds>(
        now - last_dequeued_at_);
    mean_interval_ += (interval - mean_interval_) / kIntervalSamples;
  }
  last_dequeued_at_ = now;
  had_backlog_ = --waiting_ > 0;
}

}  // namespace qs
