#include "daemon/guard_view.h"

#include <algorithm>

namespace qs {
namespace {

// With fewer guards in its own zone an entry spreads its homes over all zones.
constexpr size_t kFewestLocalHomes = 2;

}  // namespace

GuardView GuardView::Make(const Membership& membership, bool is_warm) {
  GuardView view;
  view.is_warm = is_warm;
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

std::optional<GuardView::Guard> GuardView::ChooseHome(
    std::minstd_rand* random) const {
  const size_t local_count = local.size();
  const size_t count = local_count >= kFewestLocalHomes
                           ? local_count
                           : local_count + remote.size();
  if (count == 0) return std::nullopt;
  std::uniform_int_distribution<size_t> index(0, count - 1);
  const size_t i = index(*random);
  return i < local_count ? local[i] : remote[i - local_count];
}

bool GuardView::Knows(Address address) const {
  return std::any_of(
      members.begin(), members.end(),
      [&](const MemberRecord& m) { return m.address == address; });
}

}  // namespace qs
