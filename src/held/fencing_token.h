#pragma once

#include <cstdint>

namespace qs {

// Generates the fencing tokens that a guard sends with each call to its worker.
// The worker refuses a token that is lower than the highest one it has
// received. Tokens must therefore rise across restarts of the guard: the first
// one is the wall clock in milliseconds.
class FencingToken {
 public:
  explicit FencingToken(uint64_t first) : value_(first) {}

  uint64_t value() const { return value_; }

  // Once the worker has received the raised token, it refuses every earlier
  // call that is still in transit.
  void Raise() { ++value_; }
  // Handles the worker's refusal of token `refused`, which means that it has
  // received a higher one. Raises the current token and returns true if
  // `refused` is the current token. Returns false for an older token: that call
  // was overtaken by one with the current token.
  bool OnRefused(uint64_t refused);
  void OnAccepted() { refusals_ = 0; }

 private:
  uint64_t value_;
  uint32_t refusals_ = 0;  // Consecutive refusals since the last acceptance.
};

}  // namespace qs
