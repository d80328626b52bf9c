#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

struct CrashGossipOptions {
  // As long as a guard tells new sessions of a loss.
  Millis lifetime{60'000};
  size_t max_notices = 256;  // Beyond it, the oldest is forgotten.
};

// The crashes that this entry heard of from guards, and which of them each
// other entry was told of. An entry may have no link to the guards of a task
// that crashes workers, and start it once more for each entry that fails.
class CrashGossip {
 public:
  explicit CrashGossip(const CrashGossipOptions& options = {})
      : options_(options) {}

  void Add(CrashNotice notice, Instant now);
  void Expire(Instant now);
  bool is_empty() const { return notices_.empty(); }
  // A link to another entry was established. What was sent before may be lost.
  void OnEntryUp(Address entry) { told_.erase(entry); }
  // Returns what the entry, to which a link is up, was not told yet.
  CrashNotices TakeDue(Address entry);

 private:
  struct Remembered {
    uint64_t number = 0;
    Instant added_at;
    CrashNotice notice;
  };

  CrashGossipOptions options_;
  uint64_t last_number_ = 0;
  std::deque<Remembered> notices_;
  std::unordered_map<Address, uint64_t> told_;  // Highest number, by entry.
};

}  // namespace qs
