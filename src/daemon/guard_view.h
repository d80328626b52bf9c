#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "core/membership.h"

namespace qs {

// The members as an entry's HTTP threads see them. Immutable; the core thread
// publishes a new view when the members change.
struct GuardView {
  struct Guard {
    Address address;
    Incarnation incarnation;
  };

  bool are_members_known = false;
  // Live guards of the entry's availability zone that accept submissions.
  std::vector<Guard> local;
  std::vector<Guard> remote;          // Such guards of all other zones.
  std::vector<MemberRecord> members;  // All known processes, live or not.
  std::vector<bool> is_live;          // One element per member.

  static GuardView Make(const Membership& membership, bool are_members_known);

  // Up to `count` different guards that can be the home of a new submission,
  // chosen at random, in the order in which to try them. Guards of the entry's
  // own zone come first if there are at least kMinLocalHomes of them.
  std::vector<Guard> ChooseHomes(size_t count, std::minstd_rand* random) const;
  bool HasMember(Address address) const;
};

}  // namespace qs
