#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "wire/messages.h"

namespace qs {

struct MembershipOptions {
  uint32_t fanout = 2;               // Members told in each round.
  uint32_t max_records = 32;         // Per gossip message of a round.
  uint32_t max_full_records = 1500;  // Of one that tells all members.
  Millis suspect_after{3000};        // Without news a member gets no new work.
  Millis remove_after{600'000};      // Without news a member is dropped.
  // A member that is new here goes first in messages for so long.
  Millis new_member_priority{5000};
  // Gossip is sent to entries only: guards have no use for it. Who asks for a
  // reply is told all members.
  bool entries_only = false;
};

struct SendGossip {
  Address to;
  Gossip gossip;
};

// What this process knows of all others. Each process raises the version of its
// own record and passes on the freshest records it has; the higher version at
// an address wins. No I/O, no threads.
class Membership {
 public:
  // What is known of one other process.
  struct Peer {
    MemberRecord record;
    Instant last_update;   // When its version last rose here.
    bool is_live = false;  // Heard of within suspect_after.
    Instant first_seen;    // When this incarnation became known here.
  };

  Membership(const MembershipOptions& options, MemberRecord self,
             uint32_t seed);

  const MemberRecord& self() const { return self_; }
  const std::unordered_map<Address, Peer>& peers() const { return peers_; }

  // A member that is registered now. Unlike a seed it is passed on to others.
  void AddRegistered(Address address, Role role, const std::string& zone,
                     Instant now);
  // An address to try, of which nothing else is known yet.
  void AddSeed(Address address);
  // Replaces load and services of the own record.
  void UpdateSelf(const Load& load, const std::vector<std::string>& services);
  void SetConfigVersion(uint64_t version) { self_.config_version = version; }
  // Returns the records to send back when the sender wants them. Sets
  // `*changed` when a member was new or changed its incarnation.
  Gossip OnGossip(const Gossip& gossip, Instant now, bool* changed);
  // A connection to this member stands.
  void OnAlive(Address address, Instant now);
  // Another incarnation than the recorded one answered at this address.
  void OnIncarnation(Address address, Incarnation incarnation, Instant now);
  // One round: raises the own version and chooses whom to tell.
  std::vector<SendGossip> OnRound(Instant now, bool want_reply);
  // The own record alone: what the sender has, without news of others.
  Gossip Announcement() const { return {false, {self_}}; }
  // Some live members at random, and one that is silent, if any.
  std::vector<Address> ChooseTargets() {
    return ChooseTargets(options_.fanout);
  }
  std::vector<Address> ChooseTargets(uint32_t count);
  // Re-judges who is live. Returns whether that changed for any member.
  bool OnTimer(Instant now);
  // The addresses dropped since the last call.
  std::vector<Address> TakeForgotten();

 private:
  Millis SuspectAfter() const;
  Gossip MakeGossip(bool want_reply, Instant now, size_t limit) const;
  bool IsLive(const MemberRecord& record) const;
  bool Merge(const MemberRecord& record, Instant now);
  bool IsTarget(const Peer& peer) const;

  MembershipOptions options_;
  MemberRecord self_;
  std::minstd_rand random_;
  std::unordered_map<Address, Peer> peers_;
  std::vector<Address> seeds_;
  std::vector<Address> removed_;
};

}  // namespace qs
