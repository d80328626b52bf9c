#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

// Mints (allocates) the sequence numbers of one home's submission ids and
// tracks which of them a caller may still submit a job under. Each sequence can
// be used once: it is open from its allocation until it is used or its lifetime
// is over, and is never open again.
class Minter {
 public:
  enum class IdState { kNeverMinted, kOpen, kUsed };

  explicit Minter(Millis lifetime) : lifetime_(lifetime) {}

  Millis lifetime() const { return lifetime_; }

  // Allocates `count` consecutive sequences and returns the first.
  uint64_t Mint(uint32_t count, Instant now);
  IdState StateOf(uint64_t sequence) const;
  // Marks a sequence as used. It must be open.
  void MarkUsed(uint64_t sequence);
  // Retires the sequences whose lifetime is over.
  void OnTimer(Instant now);

 private:
  // The sequences from the end of the previous batch up to `end`, exclusive.
  // The first of them were allocated at `minted`.
  struct Batch {
    uint64_t end = 0;
    Instant minted;
  };

  Millis lifetime_;
  uint64_t next_ = 1;
  uint64_t retired_below_ = 1;         // All below count as used.
  std::unordered_set<uint64_t> used_;  // At or above `retired_below_`.
  std::deque<Batch> batches_;
};

}  // namespace qs
