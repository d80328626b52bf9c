#include "core/minter.h"

#include <cassert>

namespace qs {

// Sequences allocated within this time of the start of a batch join that batch.
// Their lifetime may end up to this much later.
constexpr Millis kBatchSpan{1000};

uint64_t Minter::Mint(uint32_t count, Instant now) {
  const uint64_t first = next_;
  next_ += count;
  if (!batches_.empty() && now - batches_.back().minted < kBatchSpan) {
    batches_.back().end = next_;
  } else {
    batches_.push_back({next_, now});
  }
  return first;
}

Minter::IdState Minter::StateOf(uint64_t sequence) const {
  if (sequence == 0 || sequence >= next_) return IdState::kNeverMinted;
  if (sequence < retired_below_ || used_.contains(sequence)) {
    return IdState::kUsed;
  }
  return IdState::kOpen;
}

void Minter::MarkUsed(uint64_t sequence) {
  assert(StateOf(sequence) == IdState::kOpen);
  used_.insert(sequence);
}

void Minter::OnTimer(Instant now) {
  while (!batches_.empty() &&
         now - batches_.front().minted >= lifetime_ + kBatchSpan) {
    for (; retired_below_ < batches_.front().end; ++retired_below_) {
      used_.erase(retired_below_);
    }
    batches_.pop_front();
  }
}

}  // namespace qs
