#include "held/fencing_token.h"

#include <algorithm>

namespace qs {
namespace {

constexpr uint64_t kFirstIncrement = 3'600'000;  // One hour in milliseconds.
constexpr uint32_t kMaxDoublings = 20;           // Keeps tokens below 2^53.

}  // namespace

// The worker refuses the current token if an earlier process of this guard, on
// a clock that was ahead, used a higher one. Each refusal in a row doubles the
// increment, until the worker accepts a token.
bool FencingToken::OnRefused(uint64_t refused) {
  if (refused != value_) return false;
  value_ += kFirstIncrement << std::min(refusals_, kMaxDoublings);
  ++refusals_;
  return true;
}

}  // namespace qs
