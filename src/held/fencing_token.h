#pragma once

#include <cstdint>

namespace qs {

// The token with which a guard commands its worker. The worker obeys none that
// is lower than the highest it has seen, so tokens rise over the restarts of
// the guard: they begin at the wall clock, in milliseconds.
class FencingToken {
 public:
  explicit FencingToken(uint64_t first) : value_(first) {}

  uint64_t value() const { return value_; }

  // Voids every call that is still under way.
  void Raise() { ++value_; }
  // The worker has seen a higher token than `refused`. Returns whether the
  // present one was raised for that; it is not for a call that was overtaken.
  bool OnRefused(uint64_t refused);
  void OnAccepted() { refusals_ = 0; }

 private:
  uint64_t value_;
  uint32_t refusals_ = 0;  // Since the last accepted token.
};

}  // namespace qs
