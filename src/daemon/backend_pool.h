#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "core/executor.h"

namespace qs {

class HttpClient;

// A finished attempt.
struct TaskEnd {
  GrantKey key;
  TaskResult result;
  Clock::duration run_time{0};
};

// Runs attempts of tasks on the backend server, with one HTTP request each, on
// the pool's own threads. A request is never repeated. An attempt ends as "not
// run" only if no byte of its request left this process.
class BackendPool {
 public:
  using EndCallback = std::function<void(TaskEnd)>;

  // `on_end` is called on the pool's threads.
  BackendPool(Millis idle_limit, EndCallback on_end);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Adds threads up to the number of slots.
  void Reserve(uint32_t slots);
  void Submit(StartTask task);
  // Waits until all queued and running attempts have ended.
  void Stop();

 private:
  void Run();
  TaskResult Attempt(HttpClient* client, const StartTask& task);

  Millis idle_limit_;
  EndCallback on_end_;
  std::mutex mutex_;
  std::condition_variable has_work_;
  std::deque<StartTask> tasks_;
  // Attempts that the backend server cut off or that could not be sent. Idle
  // connections from before the last of them may lead to a server that crashed,
  // so they are not used again.
  std::atomic<uint64_t> cut_off_{0};
  bool stopped_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace qs
