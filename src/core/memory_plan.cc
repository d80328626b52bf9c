#include "core/memory_plan.h"

#include <algorithm>
#include <limits>

namespace qs {
namespace {

constexpr uint32_t kSmallestMemoryMb = 120;
constexpr size_t kMib = size_t{1} << 20U;
constexpr size_t kPercent = 100;
constexpr size_t kConnectionPercent = 20;
constexpr size_t kCancelPercent = 5;
constexpr size_t kIntakePercent = 20;
constexpr size_t kWorkPercent = 20;
constexpr size_t kFramePercent = 10;
// Of a connection without a request, beside the socket.
constexpr size_t kSessionBytes = 8192;
// Of the id and the tables that know a cancel.
constexpr size_t kCancelBytes = 400;

}  // namespace

size_t MemoryPlan::MaxConnections(size_t receive_buffer_bytes,
                                  size_t most) const {
  return std::min(most,
                  connection_bytes / (receive_buffer_bytes + kSessionBytes));
}

size_t MemoryPlan::MaxCancels(size_t most) const {
  return std::min(most, cancel_bytes / kCancelBytes);
}

MemoryPlan MemoryPlan::Make(uint32_t memory_mb) {
  constexpr size_t kAny = std::numeric_limits<size_t>::max();
  const size_t memory = (memory_mb > 0 ? memory_mb : kSmallestMemoryMb) * kMib;
  MemoryPlan plan;
  plan.is_known = memory_mb > 0;
  plan.work_bytes = memory * kWorkPercent / kPercent;
  plan.connection_bytes =
      plan.is_known ? memory * kConnectionPercent / kPercent : kAny;
  plan.cancel_bytes = plan.is_known ? memory * kCancelPercent / kPercent : kAny;
  plan.intake_bytes = plan.is_known ? memory * kIntakePercent / kPercent : kAny;
  plan.frame_bytes = plan.is_known ? memory * kFramePercent / kPercent : kAny;
  return plan;
}

}  // namespace qs
