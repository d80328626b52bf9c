#include "core/memory_plan.h"

#include <limits>

namespace qs {
namespace {

constexpr uint32_t kSmallestMemoryMb = 120;
constexpr size_t kMib = size_t{1} << 20U;
constexpr size_t kPercent = 100;
constexpr size_t kIntakePercent = 20;
constexpr size_t kWorkPercent = 20;
constexpr size_t kFramePercent = 10;

}  // namespace

MemoryPlan MemoryPlan::Make(uint32_t memory_mb) {
  constexpr size_t kAny = std::numeric_limits<size_t>::max();
  if (memory_mb == 0) {
    return {false, kAny, kSmallestMemoryMb * kMib * kWorkPercent / kPercent,
            kAny};
  }
  const size_t memory = memory_mb * kMib;
  return {true, memory * kIntakePercent / kPercent,
          memory * kWorkPercent / kPercent, memory * kFramePercent / kPercent};
}

}  // namespace qs
