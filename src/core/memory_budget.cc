#include "core/memory_budget.h"

namespace qs {

MemoryBudget::MemoryBudget(const MemoryBudgetLimits& limits)
    : limits_(limits), held_(std::make_shared<Held>()) {}

size_t MemoryBudget::max_large() const {
  constexpr size_t kPercent = 100;
  return limits_.max_bytes / kPercent * (kPercent - limits_.ordinary_percent);
}

MemoryBudget::Verdict MemoryBudget::Judge(size_t bytes) const {
  const bool is_large = bytes > limits_.ordinary_bytes;
  const size_t most = is_large ? max_large() : limits_.max_bytes;
  if (bytes > most) return Verdict::kNeverFits;
  const bool is_full = held_->all + bytes > limits_.max_bytes ||
                       (is_large && held_->large + bytes > most);
  return is_full ? Verdict::kFull : Verdict::kFits;
}

MemoryBudget::Share MemoryBudget::Take(size_t bytes) {
  if (Judge(bytes) != Verdict::kFits) return nullptr;
  const size_t large = bytes > limits_.ordinary_bytes ? bytes : 0;
  held_->all += bytes;
  held_->large += large;
  return {held_.get(), [held = held_, bytes, large](const void*) {
            held->all -= bytes;
            held->large -= large;
          }};
}

}  // namespace qs
