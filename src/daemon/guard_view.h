#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "core/membership.h"

namespace qs {

// What an entry's request threads know of the members. Immutable; the core
// thread publishes a new one when the members change.
struct GuardView {
  struct Guard {
    Address address;
    Incarnation incarnation;
  };

  bool are_members_known = false;
  std::vector<Guard> local;   // Live guards in the entry's availability zone.
  std::vector<Guard> remote;  // All other live guards.
  std::vector<MemberRecord> members;  // All processes, live or silent.
  std::vector<bool> is_live;          // Of each member.

  static GuardView Make(const Membership& membership, bool are_members_known);

  // Up to `count` different guards that could be the home of a new submission,
  // at random and in the order in which to try them: those of the own zone
  // first if it has several.
  std::vector<Guard> ChooseHomes(size_t count, std::minstd_rand* random) const;
  bool Knows(Address address) const;
};

}  // namespace qs
