#include "held/fencing_token.h"

#include <algorithm>

namespace qs {
namespace {

constexpr uint64_t kFirstStep = 3'600'000;  // One hour of milliseconds.
constexpr uint32_t kMaxDoublings = 20;      // Keeps tokens below 2^53.

}  // namespace

// A former run of the guard used a higher token, as its clock was ahead. The
// steps double until the worker accepts one.
bool FencingToken::OnRefused(uint64_t refused) {
  if (refused != value_) return false;
  value_ += kFirstStep << std::min(refusals_, kMaxDoublings);
  ++refusals_;
  return true;
}

}  // namespace qs
