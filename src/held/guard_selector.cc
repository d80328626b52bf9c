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
  found->second.is_up = true;
  found->second.since = now;
  found->second.seen = now;
  found->second.was_seen = true;
}

void GuardSelector::OnLinkDown(Address guard, Instant now) {
  const auto found = guards_.find(RankOf(guard));
  if (found == guards_.end() || !found->second.is_up) return;
  found->second.is_up = false;
  found->second.since = now;
  found->second.seen = now;
}

// A guard whose link is being opened, or that restarts, is given the time. Of
// one without a link nothing bad is known.
bool GuardSelector::CountsAsUp(const Guard& guard, Instant now) const {
  return guard.is_up || !guard.is_wanted ||
         now - guard.since < options_.down_after;
}

bool GuardSelector::HasSeenAll(Instant now) const {
  return std::all_of(guards_.begin(), guards_.end(), [&](const auto& item) {
    const Guard& guard = item.second;
    if (guard.is_up) return true;
    // Without a link although links to all were asked for: it is gone.
    const bool was_tried = guard.is_wanted && is_widened(now) &&
                           now - guard.since > options_.down_after;
    return was_tried ||
           (guard.was_seen && now - guard.seen < options_.offer_lifetime);
  });
}

size_t GuardSelector::Take(bool is_own_zone, size_t limit, Instant now,
                           std::vector<Address>* wanted) {
  size_t up = 0;
  for (auto& [rank, guard] : guards_) {
    if (guard.is_own_zone != is_own_zone) continue;
    const bool is_wanted = up < limit;
    if (is_wanted && !guard.is_wanted && !guard.is_up) guard.since = now;
    guard.is_wanted = is_wanted;
    if (!is_wanted) continue;
    wanted->push_back(rank.second);
    if (CountsAsUp(guard, now)) ++up;
  }
  return up;
}

std::vector<Address> GuardSelector::SelectGuards(Instant now) {
  std::vector<Address> wanted;
  const bool takes_all = is_widened(now) || guards_.size() <= options_.links;
  const size_t links = takes_all ? guards_.size() : options_.links;
  const size_t own_zone =
      takes_all ? links : links * options_.own_zone_percent / 100;
  const size_t other_zones = takes_all ? links : links - own_zone;
  const auto others_up = static_cast<size_t>(
      std::count_if(guards_.begin(), guards_.end(), [&](const auto& item) {
        return !item.second.is_own_zone && CountsAsUp(item.second, now);
      }));
  // What one side lacks, the other makes good.
  const size_t lacking = other_zones - std::min(other_zones, others_up);
  const size_t near = Take(true, own_zone + lacking, now, &wanted);
  Take(false, takes_all ? links : links - near, now, &wanted);
  return wanted;
}

}  // namespace qs
