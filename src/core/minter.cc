#include "core/minter.h"

#include <cassert>

namespace qs {

// Batches closer together than this share one record.
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

Minter::Standing Minter::StandingOf(uint64_t sequence) const {
  if (sequence == 0 || sequence >= next_) return Standing::kNeverMinted;
  if (sequence < floor_ || spent_.contains(sequence)) return Standing::kSpent;
  return Standing::kOpen;
}

void Minter::Spend(uint64_t sequence) {
  assert(StandingOf(sequence) == Standing::kOpen);
  spent_.insert(sequence);
}

void Minter::OnTimer(Instant now) {
  while (!batches_.empty() &&
         now - batches_.front().minted >= lifetime_ + kBatchSpan) {
    for (; floor_ < batches_.front().end; ++floor_) spent_.erase(floor_);
    batches_.pop_front();
  }
}

}  // namespace qs
