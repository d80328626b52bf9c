#include "base/line_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace qs {

bool LineBudget::Take(Instant now) {
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

uint64_t LineBudget::TakeDropped() { return std::exchange(dropped_, 0); }

}  // namespace qs
