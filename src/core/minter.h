#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

// Gives out the sequences of one home and knows which may still be handed in.
// A sequence is usable once: it is open from minting until it is used or its
// lifetime is over, and never again after that.
class Minter {
 public:
  enum class IdState { kNeverMinted, kOpen, kUsed };

  explicit Minter(Millis lifetime) : lifetime_(lifetime) {}

  Millis lifetime() const { return lifetime_; }

  // Returns the first of `count` new sequences.
  uint64_t Mint(uint32_t count, Instant now);
  IdState StateOf(uint64_t sequence) const;
  // Marks an open sequence as used.
  void MarkUsed(uint64_t sequence);
  // Ends the lifetime of old sequences.
  void OnTimer(Instant now);

 private:
  // All sequences below `end` were minted at `minted` or before.
  struct Batch {
    uint64_t end = 0;
    Instant minted;
  };

  Millis lifetime_;
  uint64_t next_ = 1;
  uint64_t retired_below_ = 1;         // Every sequence below is spent.
  std::unordered_set<uint64_t> used_;  // At or above the floor.
  std::deque<Batch> batches_;
};

}  // namespace qs
