#include "held/guard_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace qs {

GuardSelector::GuardSelector(const GuardSelectorOptions& options, Address self,
                             std::string zone)
    : options_(options), self_(self), zone_(std::move(zone)) {}

std::pair<uint64_t, Address> GuardSelector::RankOf(Address guard) const {
  const std::array<uint32_t, 4> pair = {self_.ip, self_.port, guard.ip,
                                        guard.port};
  return {XXH64(pair.data(), sizeof(pair), 0), guard};
}

void GuardSelector::Add(Address guard, const std::string& zone, Instant now) {
  const auto [entry, is_new] = guards_.try_emplace(RankOf(guard));
  if (!is_new) return;
  entry->second.is_own_zone = zone == zone_;
  entry->second.since = now;
}

void GuardSelector::Remove(Address guard) { guards_.erase(RankOf(guard)); }

void GuardSelector::OnLinkUp(Address guard, Instant now) {
  const auto found = guards_.find(RankOf(guard));
  if (found == guards_.end()) return;
  found->second.is_linked = true;
  found->second.since = now;
  found->second.last_linked_at = now;
  found->second.was_linked = true;
}

void GuardSelector::OnLinkDown(Address guard, Instant now) {
  const auto found = guards_.find(RankOf(guard));
  if (found == guards_.end() || !found->second.is_linked) return;
  found->second.is_linked = false;
  found->second.since = now;
  found->second.last_linked_at = now;
}

// A guard whose link is being opened, or that restarts, gets time to connect. A
// guard that is not selected has no link that could show it to be down.
bool GuardSelector::IsAvailable(const Guard& guard, Instant now) const {
  return guard.is_linked || !guard.is_selected ||
         now - guard.since < options_.reconnect_grace;
}

bool GuardSelector::HasSeenAll(Instant now) const {
  return std::all_of(guards_.begin(), guards_.end(), [&](const auto& item) {
    const Guard& guard = item.second;
    if (guard.is_linked) return true;
    // The guard is treated as down if it has no link although all guards were
    // selected for longer than the grace time.
    const bool was_tried = guard.is_selected && is_widened(now) &&
                           now - guard.since > options_.reconnect_grace;
    return was_tried || (guard.was_linked &&
                         now - guard.last_linked_at < options_.offer_lifetime);
  });
}

size_t GuardSelector::SelectFrom(bool is_own_zone, size_t limit, Instant now,
                                 std::vector<Address>* selected) {
  size_t available = 0;
  for (auto& [rank, guard] : guards_) {
    if (guard.is_own_zone != is_own_zone) continue;
    const bool select = available < limit;
    if (select && !guard.is_selected && !guard.is_linked) guard.since = now;
    guard.is_selected = select;
    if (!select) continue;
    selected->push_back(rank.second);
    if (IsAvailable(guard, now)) ++available;
  }
  return available;
}

std::vector<Address> GuardSelector::SelectGuards(Instant now) {
  std::vector<Address> selected;
  const bool selects_all = is_widened(now) || guards_.size() <= options_.links;
  const size_t links = selects_all ? guards_.size() : options_.links;
  const size_t own_zone =
      selects_all ? links : links * options_.own_zone_percent / 100;
  const size_t other_zones = selects_all ? links : links - own_zone;
  const auto available_in_other_zones = static_cast<size_t>(
      std::count_if(guards_.begin(), guards_.end(), [&](const auto& item) {
        return !item.second.is_own_zone && IsAvailable(item.second, now);
      }));
  // If the other zones have too few available guards for their share, the own
  // zone gets the remaining links, and vice versa.
  const size_t lacking =
      other_zones - std::min(other_zones, available_in_other_zones);
  const size_t available_in_own_zone =
      SelectFrom(true, own_zone + lacking, now, &selected);
  SelectFrom(false, selects_all ? links : links - available_in_own_zone, now,
             &selected);
  return selected;
}

}  // namespace qs
