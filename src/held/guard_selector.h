#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs {

struct GuardSelectorOptions {
  // Number of reachable guards that an entry keeps links to.
  size_t links = 48;
  // Percentage of the links that go to guards in the entry's own availability
  // zone. The rest goes to other zones, so that the entry can place tasks there
  // at once when its own zone is full or lost.
  size_t own_zone_percent = 50;
  // A guard whose link is down for longer than this is replaced by another.
  Millis reconnect_grace{1000};
  // Time for which Widen makes an entry keep links to all guards.
  Millis widened_duration{5000};
  // Time after which a worker's offer is no longer known once the link to its
  // guard is closed, since the offer may have changed meanwhile.
  Millis offer_lifetime{60'000};
};

// Selects the guards to which an entry keeps links, so that the cost per entry
// and per guard does not grow with the fleet. Rendezvous hashing gives each
// entry its own set, which changes little when guards join or leave. No I/O, no
// threads.
class GuardSelector {
 public:
  GuardSelector(const GuardSelectorOptions& options, Address self,
                std::string zone);

  // Adds a guard of the fleet. Does nothing if the guard was already added.
  void Add(Address guard, const std::string& zone, Instant now);
  // Removes a guard that is no longer a member of the fleet.
  void Remove(Address guard);

  void OnLinkUp(Address guard, Instant now);
  void OnLinkDown(Address guard, Instant now);

  // Selects every guard for a limited time. Called when no linked guard has a
  // worker that fits some task.
  void Widen(Instant now) { widened_until_ = now + options_.widened_duration; }
  bool is_widened(Instant now) const { return now < widened_until_; }
  // Whether each guard is linked, was linked within `offer_lifetime`, or
  // could not be reached while all were selected.
  bool HasSeenAll(Instant now) const;

  // Updates the selection and returns it, in no particular order.
  std::vector<Address> SelectGuards(Instant now);

  size_t guard_count() const { return guards_.size(); }

 private:
  struct Guard {
    bool is_own_zone = false;
    bool is_selected = false;
    bool is_linked = false;
    // When the link last came up or went down, or when the guard was added or
    // selected without a link, whichever is later.
    Instant since;
    Instant last_linked_at;  // When its link last came up or went down.
    bool was_linked = false;
  };
  // Guards by rank. This entry prefers guards with a lower rank.
  using Ranked = std::map<std::pair<uint64_t, Address>, Guard>;

  std::pair<uint64_t, Address> RankOf(Address guard) const;
  // Whether the guard is presumed to be up. False if it is selected and has
  // been without a link for at least `reconnect_grace`.
  bool IsAvailable(const Guard& guard, Instant now) const;
  // Selects guards of the own zone, or of the other zones, by rank until
  // `limit` of the selected are available. Adds them to `selected` and returns
  // the number of available ones.
  size_t SelectFrom(bool is_own_zone, size_t limit, Instant now,
                    std::vector<Address>* selected);

  GuardSelectorOptions options_;
  Address self_;
  std::string zone_;
  Instant widened_until_;
  Ranked guards_;
};

}  // namespace qs
