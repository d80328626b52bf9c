#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs {

struct GuardSelectorOptions {
  // Links that an entry keeps to guards that answer.
  size_t links = 48;
  // Of these, to guards of its own availability zone, in percent. The rest goes
  // to the others, for when the own zone is full or lost.
  size_t own_zone_percent = 50;
  // A link that does not stand for so long is made good by another one.
  Millis down_after{1000};
  // Widened, an entry keeps links to all guards for so long.
  Millis widened_for{5000};
  // A worker may have changed since its offer was last seen.
  Millis offer_lifetime{60'000};
};

// Chooses to which guards an entry keeps links, so that the work of an entry
// and of a guard does not grow with the fleet. Rendezvous hashing gives each
// entry a set of its own, that a change of the fleet hardly changes. No I/O, no
// threads.
class GuardSelector {
 public:
  GuardSelector(const GuardSelectorOptions& options, Address self,
                std::string zone);

  // A guard of the fleet. One that is known already changes nothing.
  void Add(Address guard, const std::string& zone, Instant now);
  // A guard that is no member any more.
  void Remove(Address guard);

  void OnLinkUp(Address guard, Instant now);
  void OnLinkDown(Address guard, Instant now);

  // Links to every guard, as no chosen one has a worker for some task.
  void Widen(Instant now) { widened_until_ = now + options_.widened_for; }
  bool is_widened(Instant now) const { return now < widened_until_; }
  // Whether every guard had a link lately, or did not answer.
  bool HasSeenAll(Instant now) const;

  // To which guards links are to be kept now, in no particular order.
  std::vector<Address> SelectGuards(Instant now);

  size_t guard_count() const { return guards_.size(); }

 private:
  struct Guard {
    bool is_own_zone = false;
    bool is_wanted = false;
    bool is_up = false;
    Instant since;  // Of is_up, or of is_wanted where that is later.
    Instant seen;   // When its link last stood.
    bool was_seen = false;
  };
  // By rank: the lower, the more this entry prefers the guard.
  using Ranked = std::map<std::pair<uint64_t, Address>, Guard>;

  std::pair<uint64_t, Address> RankOf(Address guard) const;
  bool CountsAsUp(const Guard& guard, Instant now) const;
  // Of one side, own zone or others, by rank until `limit` of them are up.
  // Returns how many are.
  size_t Take(bool is_own_zone, size_t limit, Instant now,
              std::vector<Address>* wanted);

  GuardSelectorOptions options_;
  Address self_;
  std::string zone_;
  Instant widened_until_;
  Ranked guards_;
};

}  // namespace qs
