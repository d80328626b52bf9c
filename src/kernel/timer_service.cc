#include "kernel/timer_service.h"

#include <utility>

namespace qs {

struct TimerService::Subscription {
  Subscription(asio::io_context* io, Millis period, Callback callback)
      : timer(*io), period(period), callback(std::move(callback)) {}

  asio::steady_timer timer;
  Millis period;
  Callback callback;
};

void TimerService::Subscribe(Millis period, Callback callback) {
  auto subscription =
      std::make_shared<Subscription>(io_, period, std::move(callback));
  subscriptions_.push_back(subscription);
  Arm(subscription);
}

void TimerService::Arm(const std::shared_ptr<Subscription>& subscription) {
  subscription->timer.expires_after(subscription->period);
  subscription->timer.async_wait([this, subscription](std::error_code error) {
    if (error || stopped_) return;
    subscription->callback(Clock::now());
    if (!stopped_) Arm(subscription);
  });
}

void TimerService::StopAll() {
  stopped_ = true;
  for (const auto& subscription : subscriptions_) subscription->timer.cancel();
  subscriptions_.clear();
}

}  // namespace qs
