#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace qs {

struct CancelLedgerOptions {
  // Time for which a cancel is remembered. A job may be sent again at any time
  // within it.
  Millis max_age{600'000};
  size_t max_cancels = 65'536;  // Beyond it, the oldest is forgotten.
  size_t max_ids_per_message = 1000;
  // Minimum time between two messages to one entry, with and without news.
  Millis news_interval{20};
  Millis repeat_interval{200};
  // Other entries are asked to pass a cancel on when an entry has not confirmed
  // it for this long.
  Millis pass_on_after{500};
  size_t relays = 2;  // Entries that are asked to pass a cancel on.
};

// How this entry learned of a cancel.
enum class CancelOrigin : uint8_t {
  kCaller,  // This entry tells all others.
  kRelay,   // Another entry asked to pass it on, so this one tells all others.
  kEntry    // Another entry tells all others.
};

// Remembers the ids of cancelled jobs, and which of them the other entries have
// confirmed. An entry of a new incarnation is told all that is remembered, as
// it has forgotten what it knew.
// No I/O, no threads.
class CancelLedger {
 public:
  explicit CancelLedger(const CancelLedgerOptions& options)
      : options_(options) {}

  // Returns the number of the cancel.
  uint64_t Add(const std::string& id, CancelOrigin origin, Instant now);
  bool Contains(const std::string& id) const { return by_id_.contains(id); }
  // The job was held, here or at another entry.
  void MarkHeld(const std::string& id);
  bool WasHeld(const std::string& id) const;
  void Expire(Instant now);
  size_t size() const { return cancels_.size(); }

  // A link to another entry was established.
  void OnEntryUp(Address entry, Incarnation incarnation);
  // The incarnation of the entry has ended.
  void OnEntryGone(Address entry, Incarnation incarnation);
  void OnConfirmed(Address entry, Incarnation incarnation, uint64_t number);

  // Another entry has opened a connection to this one. Returns what to tell it
  // there at once if it is a new incarnation. Its answer confirms nothing.
  std::vector<JobCancels> Greet(Address entry, Incarnation incarnation);
  // Returns the messages that are due to `entries`, the other live entries. One
  // without ids asks for a link to the entry.
  std::vector<std::pair<Address, JobCancels>> TakeDue(
      const std::vector<Address>& entries, Instant now);
  // Whether each of `entries` that has not ended has confirmed the cancel.
  bool IsConfirmed(uint64_t number, const std::vector<Address>& entries) const;

 private:
  struct Cancel {
    std::string id;
    CancelOrigin origin = CancelOrigin::kEntry;
    Instant added_at;
    bool was_held = false;
    bool is_passed_on = false;  // Other entries were asked to pass it on.
  };
  struct Entry {
    Incarnation incarnation;
    uint64_t confirmed = 0;  // Highest number.
    uint64_t sent = 0;       // Highest number.
    // Cancels up to this number are told whatever their origin.
    uint64_t tell_all_until = 0;
    Instant last_sent;
    bool is_gone = false;
  };

  void Remove(std::map<uint64_t, Cancel>::iterator cancel);
  JobCancels MessageTo(Entry* entry) const;
  // Asks entries that confirmed a cancel to pass it on, if another one did not.
  void AskRelays(const std::vector<Address>& entries, Instant now,
                 std::vector<std::pair<Address, JobCancels>>* due);

  CancelLedgerOptions options_;
  uint64_t last_number_ = 0;
  Instant relays_asked_at_;
  std::map<uint64_t, Cancel> cancels_;  // By number, which rises with time.
  std::unordered_map<std::string, uint64_t> by_id_;
  std::unordered_map<Address, Entry> entries_;
  std::unordered_map<Address, Incarnation> greeted_;
};

}  // namespace qs
