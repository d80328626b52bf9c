#include "daemon/guard_view.h"

#include <algorithm>
#include <iterator>

namespace qs {
namespace {

// An entry with fewer guards in its own availability zone chooses homes from
// all zones alike.
constexpr size_t kMinLocalHomes = 2;

}  // namespace

GuardView GuardView::Make(const Membership& membership,
                          bool are_members_known) {
  GuardView view;
  view.are_members_known = are_members_known;
  view.members.push_back(membership.self());
  view.is_live.push_back(true);
  for (const auto& [address, peer] : membership.peers()) {
    view.members.push_back(peer.record);
    view.is_live.push_back(peer.is_live);
    const bool can_be_home = peer.is_live && peer.record.role == Role::kGuard &&
                             peer.record.load.state != ServingState::kStopping;
    if (!can_be_home) continue;
    const bool is_local = peer.record.zone == membership.self().zone;
    (is_local ? view.local : view.remote)
        .push_back({address, peer.record.incarnation});
  }
  return view;
}

std::vector<GuardView::Guard> GuardView::ChooseHomes(
    size_t count, std::minstd_rand* random) const {
  std::vector<Guard> homes;
  const auto draw = [&](const std::vector<Guard>& from) {
    std::sample(from.begin(), from.end(), std::back_inserter(homes),
                count - homes.size(), *random);
  };
  if (local.size() >= kMinLocalHomes) {
    draw(local);
    // std::sample keeps the order of its input, so the result is shuffled.
    std::shuffle(homes.begin(), homes.end(), *random);
    draw(remote);
    return homes;
  }
  std::vector<Guard> all = local;
  all.insert(all.end(), remote.begin(), remote.end());
  draw(all);
  std::shuffle(homes.begin(), homes.end(), *random);
  return homes;
}

bool GuardView::HasMember(Address address) const {
  return std::any_of(
      members.begin(), members.end(),
      [&](const MemberRecord& m) { return m.address == address; });
}

}  // namespace qs
