#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace qs {

struct MemoryBudgetLimits {
  size_t max_bytes = 0;  // Of all shares together.
  // A share that is no larger is ordinary.
  size_t ordinary_bytes = 0;
  // Part of `max_bytes` that is left to ordinary shares.
  uint32_t ordinary_percent = 0;
};

// Bounds the memory of what clients make a process hold, by estimates that the
// owner of each table makes before it takes something in. Large shares together
// leave a part of the budget to ordinary ones, so that a few large requests do
// not refuse all others. No I/O, no threads.
class MemoryBudget {
 public:
  enum class Verdict : uint8_t {
    kFits,
    kFull,      // Would fit if others had given back their shares.
    kNeverFits  // Exceeds the budget alone.
  };

  explicit MemoryBudget(const MemoryBudgetLimits& limits);

  Verdict Judge(size_t bytes) const;
  // Counts until the last copy is destroyed, which may be after the budget.
  using Share = std::shared_ptr<const void>;
  // Null if it does not fit.
  Share Take(size_t bytes);

  size_t bytes() const { return held_->all; }

 private:
  struct Held {
    size_t all = 0;
    size_t large = 0;
  };

  size_t max_large() const;

  MemoryBudgetLimits limits_;
  std::shared_ptr<Held> held_;
};

}  // namespace qs
