#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "quetzalspindle/time.h"

namespace qs {

// Calls each subscriber periodically on the thread of the io_context. The next
// period begins after the call, so a late call is not made up for.
class TimerService {
 public:
  using Callback = std::function<void(Instant now)>;

  explicit TimerService(asio::io_context* io) : io_(io) {}

  // The first call comes one period from now.
  void Subscribe(Millis period, Callback callback);
  void StopAll();

 private:
  struct Subscription;
  void Arm(const std::shared_ptr<Subscription>& subscription);

  asio::io_context* io_;
  bool stopped_ = false;
  std::vector<std::shared_ptr<Subscription>> subscriptions_;
};

}  // namespace qs
