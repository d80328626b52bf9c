#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs {

// Announces a backend server to its guard again and again, as a real one would.
class Announcer {
 public:
  // `body` is asked for the announcement each time. `on_accepted` is called
  // when the guard has accepted it.
  Announcer(Address guard, Millis period, std::function<std::string()> body,
            std::function<void()> on_accepted);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

 private:
  void Run();

  Address guard_;
  Millis period_;
  std::function<std::string()> body_;
  std::function<void()> on_accepted_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace qs
