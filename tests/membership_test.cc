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
  bool Hear(const MemberRecord& record) {
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
  EXPECT_TRUE(Hear(Record(2, 22, 5)));
  EXPECT_FALSE(Hear(Record(2, 21, 4)));
  EXPECT_EQ(Peer(2).record.incarnation.value, 22U);
  EXPECT_TRUE(Hear(Record(2, 23, 6)));
  EXPECT_EQ(Peer(2).record.incarnation.value, 23U);
}

TEST_F(MembershipTest, OutranksAnEarlierRunAtItsOwnAddress) {
  Hear(Record(1, 10, 900));
  EXPECT_EQ(members_.self().version, 901U);
  EXPECT_EQ(members_.self().incarnation.value, 11U);
  EXPECT_TRUE(members_.peers().empty());
}

TEST_F(MembershipTest, ASilentMemberIsNotLiveAndIsForgottenLater) {
  Hear(Record(2, 22, 5));
  EXPECT_TRUE(Peer(2).is_live);
  now_ += MembershipOptions().suspect_after;
  EXPECT_TRUE(members_.OnTimer(now_));
  EXPECT_FALSE(Peer(2).is_live);
  // An old record that still circulates does not bring it back.
  Hear(Record(2, 22, 5));
  EXPECT_FALSE(Peer(2).is_live);
  EXPECT_TRUE(Hear(Record(2, 22, 6)));
  EXPECT_TRUE(Peer(2).is_live);
  now_ += MembershipOptions().forget_after;
  members_.OnTimer(now_);
  EXPECT_TRUE(members_.peers().empty());
  EXPECT_EQ(members_.TakeForgotten().size(), 1U);
  EXPECT_TRUE(members_.TakeForgotten().empty());
}

TEST_F(MembershipTest, TellsOnlyANewSenderInReturn) {
  bool changed = false;
  const Gossip gossip{true, {Record(2, 22, 5)}};
  EXPECT_FALSE(members_.OnGossip(gossip, now_, &changed).members.empty());
  EXPECT_TRUE(members_.OnGossip(gossip, now_, &changed).members.empty());
}

TEST_F(MembershipTest, KeepsProbingASilentSeed) {
  members_.AddSeed({9, 7000});
  Hear(Record(2, 22, 5));
  const auto targets = members_.ChooseTargets();
  EXPECT_EQ(targets, (std::vector<Address>{{2, 7000}, {9, 7000}}));
}

// Members that know one seed all learn of each other, in rounds that grow
// slowly with their number.
TEST(MembershipSpreadTest, EveryMemberLearnsOfEveryOther) {
  constexpr uint32_t kMembers = 100;
  constexpr int kRounds = 60;
  Instant now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Membership>> members;
  for (uint32_t i = 0; i < kMembers; ++i) {
    members.push_back(std::make_unique<Membership>(
        MembershipOptions(), Record(i, 100 + i, 1), 1000 + i));
    members.back()->AddSeed({0, 7000});
  }
  int round = 0;
  const auto is_complete = [&] {
    for (const auto& member : members) {
      if (member->peers().size() != kMembers - 1) return false;
    }
    return true;
  };
  for (; round < kRounds && !is_complete(); ++round) {
    now += Millis(500);
    for (uint32_t i = 0; i < kMembers; ++i) {
      for (const SendGossip& send : members[i]->OnRound(now)) {
        bool changed = false;
        const Gossip reply =
            members[send.to.ip]->OnGossip(send.gossip, now, &changed);
        members[i]->OnGossip(reply, now, &changed);
      }
    }
  }
  EXPECT_TRUE(is_complete()) << "after " << round << " rounds";
  RecordProperty("rounds", round);
}

}  // namespace
}  // namespace qs::test
