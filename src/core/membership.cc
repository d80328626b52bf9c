#include "core/membership.h"

#include <algorithm>
#include <utility>

namespace qs {

Membership::Membership(const MembershipOptions& options, MemberRecord self,
                       uint32_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {}

void Membership::AddSeed(Address address) {
  if (address == self_.address) return;
  if (std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end()) return;
  seeds_.push_back(address);
}

void Membership::UpdateSelf(const Load& load,
                            const std::vector<std::string>& services) {
  self_.load = load;
  self_.services = services;
}

Gossip Membership::OnGossip(const Gossip& gossip, Instant now, bool* changed) {
  // The first record of a message is that of its sender. Unless
  // `gossip_to_entries_only` is set, only a sender that is not yet a live
  // member here receives records in reply; all others receive them in the
  // gossip rounds.
  const bool is_new_sender =
      !gossip.members.empty() && !IsLive(gossip.members.front());
  for (const MemberRecord& record : gossip.members) {
    if (Merge(record, now)) *changed = true;
  }
  if (!gossip.want_reply) return {};
  if (options_.gossip_to_entries_only) {
    return MakeGossip(false, now, options_.max_full_records);
  }
  return is_new_sender ? MakeGossip(false, now, options_.max_records)
                       : Gossip{};
}

void Membership::AddRegistered(Address address, Role role,
                               const std::string& zone, Instant now) {
  if (address == self_.address) return;
  const auto [entry, is_new] = peers_.try_emplace(address);
  Peer& peer = entry->second;
  if (is_new) {
    peer.record.address = address;
    peer.record.role = role;
    peer.record.zone = zone;
  }
  peer.last_update = now;
  peer.is_live = true;
}

void Membership::OnMemberConnected(Address address, Instant now) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) found->second.last_update = now;
}

bool Membership::IsLive(const MemberRecord& record) const {
  const auto found = peers_.find(record.address);
  return found != peers_.end() && found->second.is_live &&
         found->second.record.incarnation == record.incarnation;
}

bool Membership::Merge(const MemberRecord& record, Instant now) {
  if (record.address == self_.address) {
    // A record of an earlier incarnation at this address still circulates.
    // Raise the own version above it, so that the own record replaces it.
    if (record.incarnation != self_.incarnation) {
      self_.version = std::max(self_.version, record.version + 1);
    }
    return false;
  }
  const auto [entry, is_new] = peers_.try_emplace(record.address);
  Peer& peer = entry->second;
  if (!is_new && record.version <= peer.record.version) return false;
  const bool is_new_incarnation =
      is_new || record.incarnation != peer.record.incarnation;
  if (is_new_incarnation) peer.first_seen = now;
  const bool changed = is_new_incarnation || !peer.is_live ||
                       record.services != peer.record.services;
  peer.record = record;
  peer.last_update = now;
  peer.is_live = true;
  return changed;
}

void Membership::OnNewIncarnation(Address address, Incarnation incarnation,
                                  Instant now) {
  const auto found = peers_.find(address);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  if (peer.record.incarnation == incarnation) return;
  peer.record.incarnation = incarnation;
  peer.last_update = now;
}

std::vector<SendGossip> Membership::OnGossipRound(Instant now,
                                                  bool want_reply) {
  ++self_.version;
  const Gossip gossip = MakeGossip(want_reply, now, options_.max_records);
  std::vector<SendGossip> out;
  for (const Address target : ChooseTargets()) {
    out.push_back({target, gossip});
  }
  return out;
}

bool Membership::IsTarget(const Peer& peer) const {
  return !options_.gossip_to_entries_only || peer.record.role == Role::kEntry;
}

std::vector<Address> Membership::ChooseTargets(uint32_t count) {
  std::vector<Address> targets;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_live && IsTarget(peer)) targets.push_back(address);
  }
  // The order of an unordered_map differs between standard libraries. Sorting
  // before the shuffle makes a seed give the same choice with each of them.
  std::sort(targets.begin(), targets.end());
  std::shuffle(targets.begin(), targets.end(), random_);
  if (targets.size() > count) targets.resize(count);
  // Also try one address without a live member: a seed of which no record is
  // known or a member that is suspected.
  std::vector<Address> not_live;
  for (const Address seed : seeds_) {
    if (!peers_.contains(seed)) not_live.push_back(seed);
  }
  for (const auto& [address, peer] : peers_) {
    if (!peer.is_live && IsTarget(peer)) not_live.push_back(address);
  }
  if (!not_live.empty()) {
    std::sort(not_live.begin(), not_live.end());
    std::uniform_int_distribution<size_t> index(0, not_live.size() - 1);
    targets.push_back(not_live[index(random_)]);
  }
  return targets;
}

Gossip Membership::MakeGossip(bool want_reply, Instant now,
                              size_t limit) const {
  std::vector<const Peer*> freshest;
  freshest.reserve(peers_.size());
  for (const auto& [address, peer] : peers_) {
    if (peer.is_live) freshest.push_back(&peer);
  }
  const size_t count = std::min<size_t>(limit, freshest.size());
  std::partial_sort(
      freshest.begin(), freshest.begin() + static_cast<ptrdiff_t>(count),
      freshest.end(), [&](const Peer* a, const Peer* b) {
        const bool is_a_new =
            now - a->first_seen < options_.new_member_priority;
        const bool is_b_new =
            now - b->first_seen < options_.new_member_priority;
        return is_a_new != is_b_new ? is_a_new
                                    : a->last_update > b->last_update;
      });
  Gossip gossip{want_reply, {self_}};
  for (size_t i = 0; i < count; ++i) {
    gossip.members.push_back(freshest[i]->record);
  }
  return gossip;
}

// A message holds at most max_records records. With more members than that, the
// record of each is passed on less often in proportion, so the time until a
// member is suspected grows by the same factor, up to half of remove_after.
Millis Membership::SuspectAfter() const {
  const auto records = static_cast<int64_t>(options_.max_records);
  const auto count = static_cast<int64_t>(peers_.size());
  const Millis scaled = options_.suspect_after * std::max(count, records);
  return std::min(scaled / records, options_.remove_after / 2);
}

bool Membership::OnTimer(Instant now) {
  bool changed = false;
  const Millis suspect_after = SuspectAfter();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    Peer& peer = entry->second;
    const auto time_since_update = now - peer.last_update;
    const bool is_live = time_since_update < suspect_after;
    if (is_live != peer.is_live) changed = true;
    peer.is_live = is_live;
    if (time_since_update >= options_.remove_after) {
      removed_.push_back(entry->first);
      entry = peers_.erase(entry);
    } else {
      ++entry;
    }
  }
  return changed;
}

std::vector<Address> Membership::TakeRemoved() {
  return std::exchange(removed_, {});
}

}  // namespace qs
