#pragma once

#include <chrono>

#include "quetzalspindle/time.h"

namespace qs {

struct LoadShedderOptions {
  // Longest wait of a request between being read and being judged. Below the
  // smallest latency target that the users' queues declare, 60 ms.
  Millis longest_wait{50};
  // So few waiting requests are gone at once, whatever the last wait was.
  int few_waiting = 4;
  // However fast they went before: the process may stand still.
  int most_waiting = 100;
};

// Turns requests away at the door while the process itself is what callers wait
// for: those that got in would be judged, placed and answered too late, and
// would keep it from those that come next.
class LoadShedder {
 public:
  explicit LoadShedder(const LoadShedderOptions& options) : options_(options) {}

  // Counts a request that was just read, unless it is to be refused at once.
  // One that got in is followed by OnDequeued or OnAbandoned.
  bool TryAccept();
  // A request that was read at `received` is being judged.
  void OnDequeued(Instant received, Instant now);
  // A request that got in is not judged at all.
  void OnAbandoned() { --waiting_; }

  int waiting() const { return waiting_; }
  Millis last_wait() const { return last_wait_; }

 private:
  LoadShedderOptions options_;
  int waiting_ = 0;
  Millis last_wait_{0};
  // Mean time from one request to the next while some wait.
  std::chrono::microseconds pace_{0};
  Instant last_taken_;
  bool was_busy_ = false;  // Others waited when the last one was taken.
};

}  // namespace qs
