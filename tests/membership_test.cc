#include "core/membership.h"

#include <gtest/gtest.h>

#include <memory>

namespace qs::test {
namespace {

MemberRecord Record(uint32_t host, uint64_t incarnation, uint64_t version) {
  MemberRecord record;
  record.address = {host, 7000};
  record.incarnation = {incarnation};
  record.version = version;
  record.role = Role::kGuard;
  return record;
}

class MembershipTest : public testing::Test {
 protected:
  bool Receive(const MemberRecord& record) {
    bool changed = false;
    members_.OnGossip({false, {record}}, now_, &changed);
    return changed;
  }
  const Membership::Peer& Peer(uint32_t host) {
    return members_.peers().at({host, 7000});
  }

  Instant now_{std::chrono::hours(1)};
  Membership members_{MembershipOptions(), Record(1, 11, 100), 7};
};

TEST_F(MembershipTest, TheHigherVersionWins) {
  EXPECT_TRUE(Receive(Record(2, 22, 5)));
  EXPECT_FALSE(Receive(Record(2, 21, 4)));
  EXPECT_EQ(Peer(2).record.incarnation.value, 22U);
  EXPECT_TRUE(Receive(Record(2, 23, 6)));
  EXPECT_EQ(Peer(2).record.incarnation.value, 23U);
}

TEST_F(MembershipTest, OutranksAnEarlierRunAtItsOwnAddress) {
  Receive(Record(1, 10, 900));
  EXPECT_EQ(members_.self().version, 901U);
  EXPECT_EQ(members_.self().incarnation.value, 11U);
  EXPECT_TRUE(members_.peers().empty());
}

TEST_F(MembershipTest, AMemberWithoutUpdatesIsNotLiveAndIsRemovedLater) {
  Receive(Record(2, 22, 5));
  EXPECT_TRUE(Peer(2).is_live);
  now_ += MembershipOptions().suspect_after;
  EXPECT_TRUE(members_.OnTimer(now_));
  EXPECT_FALSE(Peer(2).is_live);
  // An old record that still circulates does not make the member live again.
  Receive(Record(2, 22, 5));
  EXPECT_FALSE(Peer(2).is_live);
  EXPECT_TRUE(Receive(Record(2, 22, 6)));
  EXPECT_TRUE(Peer(2).is_live);
  now_ += MembershipOptions().remove_after;
  members_.OnTimer(now_);
  EXPECT_TRUE(members_.peers().empty());
  EXPECT_EQ(members_.TakeRemoved().size(), 1U);
  EXPECT_TRUE(members_.TakeRemoved().empty());
}

TEST_F(MembershipTest, RepliesOnlyToASenderThatIsNotLiveYet) {
  bool changed = false;
  const Gossip gossip{true, {Record(2, 22, 5)}};
  EXPECT_FALSE(members_.OnGossip(gossip, now_, &changed).members.empty());
  EXPECT_TRUE(members_.OnGossip(gossip, now_, &changed).members.empty());
}

TEST_F(MembershipTest, KeepsProbingASilentSeed) {
  members_.AddSeed({9, 7000});
  Receive(Record(2, 22, 5));
  const auto targets = members_.ChooseTargets();
  EXPECT_EQ(targets, (std::vector<Address>{{2, 7000}, {9, 7000}}));
}

// Members that each know one seed, run in simulated time and without faults.
class MembershipSpreadTest : public testing::Test {
 protected:
  static constexpr uint32_t kMembers = 100;

  MembershipSpreadTest() {
    for (uint32_t i = 0; i < kMembers; ++i) {
      members_.push_back(std::make_unique<Membership>(
          MembershipOptions(), Record(i, 100 + i, 1), 1000 + i));
      members_.back()->AddSeed({0, 7000});
    }
  }

  void Round() {
    now_ += Millis(500);
    for (const auto& member : members_) {
      for (const SendGossip& send : member->OnGossipRound(now_, true)) {
        bool changed = false;
        const Gossip reply =
            members_[send.to.ip]->OnGossip(send.gossip, now_, &changed);
        member->OnGossip(reply, now_, &changed);
      }
    }
    for (const auto& member : members_) member->OnTimer(now_);
  }

  // Counts the pairs of a member and another one that it knows, with
  // `live_only` only those where it considers the other one live.
  size_t Pairs(bool live_only) const {
    size_t pairs = 0;
    for (const auto& member : members_) {
      for (const auto& [address, peer] : member->peers()) {
        pairs += !live_only || peer.is_live ? 1 : 0;
      }
    }
    return pairs;
  }

  Instant now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Membership>> members_;
};

TEST_F(MembershipSpreadTest, EveryMemberLearnsOfEveryOther) {
  constexpr size_t kAllPairs = size_t{kMembers} * (kMembers - 1);
  for (int i = 0; i < 60 && Pairs(false) < kAllPairs; ++i) Round();
  EXPECT_EQ(Pairs(false), kAllPairs);
}

TEST_F(MembershipSpreadTest, FewLiveMembersAreSuspected) {
  for (int i = 0; i < 60; ++i) Round();
  size_t suspected = 0;
  size_t pairs = 0;
  for (int i = 0; i < 60; ++i) {
    Round();
    suspected += Pairs(false) - Pairs(true);
    pairs += Pairs(false);
  }
  EXPECT_LT(suspected * 1000, pairs) << suspected << " of " << pairs;
}

// In a deployment for held jobs there are many guards, and gossip rounds send
// to entries only.
TEST(MembershipEntriesTest,
     RoundsSendToEntriesOnlyAndARequestReturnsAllMembers) {
  MembershipOptions options;
  options.gossip_to_entries_only = true;
  options.fanout = 4;
  options.max_records = 2;
  MemberRecord self;
  self.address = {1, 1};
  Membership membership(options, self, 7);
  const Instant now = Instant() + std::chrono::hours(1);
  for (uint16_t i = 0; i < 30; ++i) {
    membership.AddRegistered({2, i}, Role::kGuard, "z", now);
  }
  membership.AddRegistered({3, 1}, Role::kEntry, "z", now);
  membership.AddRegistered({3, 2}, Role::kEntry, "z", now);
  const std::vector<SendGossip> round = membership.OnGossipRound(now, false);
  EXPECT_EQ(round.size(), 2U);
  for (const SendGossip& send : round) {
    EXPECT_EQ(send.to.ip, 3U);
    EXPECT_LE(send.gossip.members.size(), 3U);
  }
  MemberRecord other;
  other.address = {3, 3};
  bool changed = false;
  EXPECT_TRUE(
      membership.OnGossip({false, {other}}, now, &changed).members.empty());
  const Gossip all = membership.OnGossip({true, {other}}, now, &changed);
  EXPECT_EQ(all.members.size(), 34U);
}

// Guards send gossip rarely. One that is connected or registered must not be
// removed for lack of a newer record.
TEST(MembershipEntriesTest, AMemberThatIsConnectedOrRegisteredIsNotRemoved) {
  MembershipOptions options;
  options.gossip_to_entries_only = true;
  Membership membership(options, MemberRecord{}, 7);
  Instant now = Instant() + std::chrono::hours(1);
  for (uint16_t i = 1; i <= 3; ++i) {
    membership.AddRegistered({2, i}, Role::kGuard, "z", now);
  }
  for (int i = 0; i < 3; ++i) {
    now += options.remove_after * 2 / 3;
    membership.OnMemberConnected({2, 1}, now);
    membership.AddRegistered({2, 2}, Role::kGuard, "z", now);
    membership.OnTimer(now);
  }
  EXPECT_TRUE(membership.peers().contains({2, 1}));
  EXPECT_TRUE(membership.peers().contains({2, 2}));
  EXPECT_FALSE(membership.peers().contains({2, 3}));
}

}  // namespace
}  // namespace qs::test
