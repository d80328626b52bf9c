#pragma once

#include <chrono>

#include "quetzalspindle/time.h"

namespace qs {

struct LoadShedderOptions {
  // Limit of the expected wait of a request between being read and being
  // processed. Below the smallest latency target that users' queues declare,
  // 60 ms.
  Millis max_wait{50};
  // Requests are accepted while fewer than this wait, even if the last wait was
  // too long, because so few are processed at once.
  int always_accepted = 4;
  // Limit of waiting requests, however short the waits were before. It bounds
  // the queue while the process is suspended.
  int max_queue_length = 100;
};

// Rejects new requests while the process itself is overloaded, that is, while
// requests that were read wait too long to be processed. Further requests would
// be admitted, placed and answered too late, and would delay those after them.
class LoadShedder {
 public:
  explicit LoadShedder(const LoadShedderOptions& options) : options_(options) {}

  // Returns whether a request that was just read is accepted. An accepted
  // request counts as waiting until OnDequeued or OnAbandoned is called for it.
  bool TryAccept();
  // An accepted request that was read at `received` is now being processed.
  void OnDequeued(Instant received, Instant now);
  // An accepted request will not be processed.
  void OnAbandoned() { --waiting_; }

  int waiting() const { return waiting_; }
  Millis last_wait() const { return last_wait_; }

 private:
  LoadShedderOptions options_;
  int waiting_ = 0;
  Millis last_wait_{0};
  // Mean time between the processing of successive requests while others wait.
  std::chrono::microseconds mean_interval_{0};
  Instant last_dequeued_at_;
  // Whether other requests still waited after the last one was dequeued.
  bool had_backlog_ = false;
};

}  // namespace qs
