#include "held/guard_selector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "held_harness.h"

namespace qs::test {
namespace {

constexpr int kZones = 6;
constexpr size_t kLinks = 48;

Address GuardAddress(int zone, int number) {
  return {0x0a000000U + (static_cast<uint32_t>(zone) << 16U) +
              static_cast<uint32_t>(number),
          7720};
}

Address EntryAddress(int number) {
  return {0x0b000000U + static_cast<uint32_t>(number), 7720};
}

std::string ZoneName(int zone) { return "z" + std::to_string(zone); }

GuardSelector MakeSelector(int entry, int guards_per_zone) {
  GuardSelectorOptions options;
  options.links = kLinks;
  GuardSelector selector(options, EntryAddress(entry),
                         ZoneName(entry % kZones));
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < guards_per_zone; ++i) {
      selector.Add(GuardAddress(zone, i), ZoneName(zone), At(0));
    }
  }
  return selector;
}

void ConnectSelected(GuardSelector* selector, int64_t ms) {
  for (const Address guard : selector->SelectGuards(At(ms))) {
    selector->OnLinkUp(guard, At(ms));
  }
}

size_t CountInZone(const std::vector<Address>& guards, int zone) {
  return static_cast<size_t>(
      std::count_if(guards.begin(), guards.end(), [&](Address guard) {
        return (guard.ip >> 16U & 0xffU) == static_cast<uint32_t>(zone);
      }));
}

TEST(GuardSelectorTest, AllGuardsOfASmallFleetAreSelected) {
  EXPECT_EQ(MakeSelector(0, 8).SelectGuards(At(0)).size(), kLinks);
  EXPECT_EQ(MakeSelector(0, 2).SelectGuards(At(0)).size(), 12U);
}

// Fleets of 240 guards, the size of the large deployment, and five times that.
TEST(GuardSelectorTest, TheLinksOfAnEntryDoNotGrowWithTheFleet) {
  for (const int guards : {40, 200}) {
    const std::vector<Address> selected =
        MakeSelector(1, guards).SelectGuards(At(0));
    EXPECT_EQ(selected.size(), kLinks);
    EXPECT_EQ(CountInZone(selected, 1), kLinks / 2);
  }
}

TEST(GuardSelectorTest, EveryGuardIsReachedByEntriesOfItsZoneAndOthers) {
  constexpr int kEntries = 55;
  std::map<Address, int> own;
  std::map<Address, int> others;
  for (int entry = 0; entry < kEntries; ++entry) {
    for (const Address guard : MakeSelector(entry, 40).SelectGuards(At(0))) {
      const int zone = static_cast<int>(guard.ip >> 16U & 0xffU);
      ++(zone == entry % kZones ? own : others)[guard];
    }
  }
  EXPECT_EQ(own.size(), 240U);
  EXPECT_GE(others.size(), 235U);
  for (const auto& [guard, count] : own) EXPECT_LE(count + others[guard], 25);
}

// All guards of a zone lose their links, as in a rolling restart of the guards
// beside backend servers or after the loss of the zone.
TEST(GuardSelectorTest, GuardsThatAreDownAreReplacedByOthers) {
  GuardSelector selector = MakeSelector(0, 40);
  ConnectSelected(&selector, 0);
  const std::vector<Address> before = selector.SelectGuards(At(10));
  for (int i = 0; i < 40; ++i) selector.OnLinkDown(GuardAddress(0, i), At(100));
  EXPECT_EQ(selector.SelectGuards(At(500)), before);
  // The remaining guards of the own zone are tried first, then guards of other
  // zones replace them.
  EXPECT_GT(selector.SelectGuards(At(2000)).size(), kLinks);
  const std::vector<Address> after = selector.SelectGuards(At(3100));
  EXPECT_GE(after.size() - CountInZone(after, 0), kLinks);
}

TEST(GuardSelectorTest, AGuardThatReconnectsIsSelectedAgain) {
  GuardSelector selector = MakeSelector(0, 40);
  ConnectSelected(&selector, 0);
  const std::vector<Address> before = selector.SelectGuards(At(10));
  selector.OnLinkDown(before[0], At(100));
  EXPECT_EQ(selector.SelectGuards(At(2000)).size(), kLinks + 1);
  selector.OnLinkUp(before[0], At(3000));
  EXPECT_EQ(selector.SelectGuards(At(4000)), before);
}

TEST(GuardSelectorTest, ANewGuardChangesAtMostOneLink) {
  GuardSelector selector = MakeSelector(0, 40);
  const std::vector<Address> before = selector.SelectGuards(At(0));
  selector.Add(GuardAddress(3, 99), ZoneName(3), At(10));
  const std::vector<Address> after = selector.SelectGuards(At(20));
  const std::set<Address> old(before.begin(), before.end());
  EXPECT_LE(std::count_if(after.begin(), after.end(),
                          [&](Address guard) { return !old.contains(guard); }),
            1);
}

// A task requires a label that no linked worker has. The entry may conclude
// that no worker has it only after it has reached every guard.
TEST(GuardSelectorTest, WideningReachesEveryGuardThatAnswers) {
  GuardSelector selector = MakeSelector(0, 40);
  ConnectSelected(&selector, 0);
  EXPECT_FALSE(selector.HasSeenAll(At(3000)));
  selector.Widen(At(3000));
  const std::vector<Address> all = selector.SelectGuards(At(3010));
  EXPECT_EQ(all.size(), 240U);
  for (size_t i = 1; i < all.size(); ++i) selector.OnLinkUp(all[i], At(3050));
  EXPECT_TRUE(selector.HasSeenAll(At(4500)));
  EXPECT_EQ(selector.SelectGuards(At(9000)).size(), kLinks);
}

}  // namespace
}  // namespace qs::test
