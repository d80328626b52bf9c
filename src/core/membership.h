#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "wire/messages.h"

namespace qs {

struct MembershipOptions {
  uint32_t fanout = 2;  // Live members that each gossip round sends to.
  // Records of other members in a message of a gossip round, and in a reply to
  // a sender that asks for all members.
  uint32_t max_records = 32;
  uint32_t max_full_records = 1500;
  // A member is suspected, and gets no new work, when its record was not
  // updated for this time. The time grows with the number of members, see
  // Membership::SuspectAfter.
  Millis suspect_after{3000};
  // A member whose record was not updated for this time is removed.
  Millis remove_after{600'000};
  // Records of members first seen within this time precede all others in
  // messages.
  Millis new_member_priority{5000};
  // Whether gossip rounds send to entries only, for deployments whose guards do
  // not use it. A sender that wants a reply then receives up to
  // `max_full_records` records.
  bool gossip_to_entries_only = false;
};

struct SendGossip {
  Address to;
  Gossip gossip;
};

// The members that this process knows, maintained by gossip. Each process
// raises the version of its own record in every round and passes on the records
// that it received most recently. Of two records for one address, the one with
// the higher version is kept. Does no I/O and uses no threads.
class Membership {
 public:
  // One other process.
  struct Peer {
    MemberRecord record;
    // When a new record, a connection or the registration last showed that the
    // process was alive.
    Instant last_update;
    bool is_live = false;  // Updated within SuspectAfter().
    Instant first_seen;    // When this incarnation was first received.
  };

  Membership(const MembershipOptions& options, MemberRecord self,
             uint32_t seed);

  const MemberRecord& self() const { return self_; }
  const std::unordered_map<Address, Peer>& peers() const { return peers_; }

  // A member that is registered in the platform store at present. Its record,
  // unlike a seed, is passed on to other members.
  void AddRegistered(Address address, Role role, const std::string& zone,
                     Instant now);
  // Adds an address to send gossip to while no record of it is known.
  void AddSeed(Address address);
  // Replaces the load and the services in this process's own record.
  void UpdateSelf(const Load& load, const std::vector<std::string>& services);
  void SetConfigVersion(uint64_t version) { self_.config_version = version; }
  void SetEvacuationRevision(uint64_t revision) {
    self_.evacuation_revision = revision;
  }
  // Merges received records. Returns the records to reply with, none if the
  // sender wants no reply or needs none. Sets `*changed` if a member is new,
  // has another incarnation or other services, or was not live.
  Gossip OnGossip(const Gossip& gossip, Instant now, bool* changed);
  // A connection to this member is established.
  void OnMemberConnected(Address address, Instant now);
  // The process at this address identified itself with this incarnation, which
  // may differ from the recorded one.
  void OnNewIncarnation(Address address, Incarnation incarnation, Instant now);
  // Runs one gossip round: raises the version of the own record and returns the
  // messages to send.
  std::vector<SendGossip> OnGossipRound(Instant now, bool want_reply);
  // A message with the own record only.
  Gossip Announcement() const { return {false, {self_}}; }
  // Chooses up to `fanout` live members at random, and one address without a
  // live member (a suspected member or an unanswered seed), if there is any.
  std::vector<Address> ChooseTargets() {
    return ChooseTargets(options_.fanout);
  }
  std::vector<Address> ChooseTargets(uint32_t count);
  // Updates which members are live and removes those without an update for
  // `remove_after`. Returns whether any member became live or stopped being
  // live.
  bool OnTimer(Instant now);
  // Returns the addresses of the members removed since the last call.
  std::vector<Address> TakeRemoved();

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
