#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/intake_budget.h"
#include "http/http_limits.h"
#include "quetzalspindle/time.h"

namespace qs {

class HttpSession;

// What the clients of all HTTP listeners of a process may make it hold: carries
// out what an IntakeBudget decides. Used on one thread.
class ConnectionIntake {
 public:
  using RefusedCallback = std::function<void(HttpRefusal)>;

  ConnectionIntake(const IntakeLimits& limits, RefusedCallback on_refused)
      : budget_(limits), on_refused_(std::move(on_refused)) {}

  // Returns the number of a new connection, 0 if it must not be served. May
  // close another one.
  uint64_t Open(uint32_t address);
  void Watch(uint64_t id, std::weak_ptr<HttpSession> session);
  void Close(uint64_t id);
  // As IntakeBudget::Update; lets connections yield that are over the budget.
  void Update(uint64_t id, size_t bytes, IntakeBudget::Phase phase);
  void OnServed(uint64_t id) { budget_.OnServed(id); }
  // Counts a refusal, and logs the first one of a reason in a while.
  void OnRefused(HttpRefusal refusal);

 private:
  void Yield(uint64_t id, HttpRefusal refusal);

  struct Tally {
    uint64_t unlogged = 0;
    Instant logged_at = Instant::min();
  };

  IntakeBudget budget_;
  RefusedCallback on_refused_;
  std::unordered_map<uint64_t, std::weak_ptr<HttpSession>> sessions_;
  std::array<Tally, kHttpRefusals> tallies_;
};

}  // namespace qs
