#include "core/executor.h"

#include <gtest/gtest.h>

#include "core/observer.h"

namespace qs::test {
namespace {

constexpr Incarnation kSelf{5};
constexpr Incarnation kHome{9};

class ExecutorTest : public testing::Test {
 protected:
  ExecutorTest() { Announce(); }

  void Announce(uint32_t slots = 2) {
    Announcement announcement;
    announcement.address = {1, 1};
    announcement.services = {"sketch"};
    announcement.slots = slots;
    executor_.OnAnnouncement(announcement, now_);
  }

  void SendGrant(GrantNumber number, GrantNumber watermark = 0) {
    GrantBatch batch{
        watermark, kSelf, {{number, Millis(10'000), "sketch", "p"}}};
    executor_.OnGrants(kHome, std::move(batch), now_);
  }

  // Takes the executor's actions. Appends the numbers of started grants to
  // started_ and the statuses sent to the home to replies_.
  void CollectActions() {
    for (ExecutorAction& action : executor_.TakeActions()) {
      if (auto* start = std::get_if<StartTask>(&action)) {
        started_.push_back(start->key.number);
      } else {
        for (const auto& status :
             std::get<SendReplies>(action).replies.statuses) {
          replies_.push_back(status);
        }
      }
    }
  }

  void EndAsDone(GrantNumber number) {
    executor_.OnTaskEnded({kHome, number}, {Outcome::kDone, Reason::kNone, {}},
                          now_);
  }

  void EndWithFailure(GrantNumber number) {
    executor_.OnTaskEnded({kHome, number},
                          {Outcome::kFailed, Reason::kBackendFailed, {}}, now_);
  }

  Observer observer_;
  Instant now_{std::chrono::hours(1)};
  Executor executor_{ExecutorOptions(), kSelf, &observer_};
  std::vector<GrantNumber> started_;
  std::vector<GrantStatus> replies_;
};

TEST_F(ExecutorTest, StartsAGrantThatIsDeliveredRepeatedlyOnlyOnce) {
  SendGrant(1);
  SendGrant(1);
  executor_.OnTaskEnded({kHome, 1}, {Outcome::kDone, Reason::kNone, "x"}, now_);
  SendGrant(1);
  CollectActions();
  EXPECT_EQ(started_, std::vector<GrantNumber>{1});
}

TEST_F(ExecutorTest, IgnoresAGrantBelowTheWatermark) {
  SendGrant(7, 7);
  SendGrant(3, 2);
  CollectActions();
  EXPECT_EQ(started_, std::vector<GrantNumber>{7});
}

TEST_F(ExecutorTest, RefusesAGrantWhoseStatusWasRequestedBeforeItArrived) {
  executor_.OnAsk(kHome, {0, kSelf, false, {4}}, now_);
  SendGrant(4);
  CollectActions();
  EXPECT_TRUE(started_.empty());
  ASSERT_FALSE(replies_.empty());
  EXPECT_EQ(replies_[0].result.reason, Reason::kGrantLost);
}

TEST_F(ExecutorTest, StartsNoGrantSentToAnEarlierIncarnation) {
  GrantBatch batch{0, {4}, {{1, Millis(10'000), "sketch", "p"}}};
  executor_.OnGrants(kHome, std::move(batch), now_);
  CollectActions();
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(replies_[0].result.outcome, Outcome::kUnknown);
}

TEST_F(ExecutorTest, NeverAnswersNotRunForDroppedRecords) {
  SendGrant(1);
  executor_.OnHomeTerminated(kHome, now_);
  executor_.OnAsk(kHome, {0, kSelf, true, {1}}, now_);
  SendGrant(1);
  CollectActions();
  EXPECT_EQ(started_, std::vector<GrantNumber>{1});
  EXPECT_EQ(replies_.back().result.outcome, Outcome::kUnknown);
}

TEST_F(ExecutorTest, ADrainReturnsQueuedGrantsAndRefusesNewOnes) {
  for (GrantNumber i = 1; i <= 3; ++i) SendGrant(i);
  executor_.SetDraining(true, now_);
  SendGrant(4);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2}));
  ASSERT_EQ(replies_.size(), 2U);
  EXPECT_EQ(replies_[0].result.reason, Reason::kExecutorDraining);
  EXPECT_EQ(replies_[1].result.reason, Reason::kExecutorDraining);
}

TEST_F(ExecutorTest, DoesNotStartAfterTheDeadline) {
  for (GrantNumber i = 1; i <= 3; ++i) SendGrant(i);
  now_ += Millis(20'000);
  Announce();
  executor_.OnTaskEnded({kHome, 1}, {Outcome::kDone, Reason::kNone, {}}, now_);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2}));
}

TEST_F(ExecutorTest, TheBreakerOpensAndClosesAfterASuccessfulProbe) {
  for (GrantNumber i = 1; i <= 5; ++i) {
    SendGrant(i);
    EndWithFailure(i);
  }
  EXPECT_EQ(executor_.state(now_), ServingState::kBreakerOpen);
  SendGrant(6);
  CollectActions();
  EXPECT_EQ(replies_.back().result.reason, Reason::kBreakerOpen);
  now_ += Millis(600);
  EXPECT_EQ(executor_.state(now_), ServingState::kServing);
  SendGrant(7);
  SendGrant(8);  // Refused: the first one is the probe.
  CollectActions();
  EXPECT_EQ(started_.back(), 7U);
  EXPECT_EQ(replies_.back().result.reason, Reason::kBreakerOpen);
  executor_.OnTaskEnded({kHome, 7}, {Outcome::kDone, Reason::kNone, {}}, now_);
  SendGrant(9);
  CollectActions();
  EXPECT_EQ(started_.back(), 9U);
}

TEST_F(ExecutorTest, ABackendServerThatStopsAnnouncingGetsNoNewWork) {
  now_ += Millis(4000);
  SendGrant(1);
  CollectActions();
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(replies_[0].result.reason, Reason::kBackendAbsent);
}

TEST_F(ExecutorTest, AStopDoesNotWaitForAnUnreachableHome) {
  SendGrant(1);
  executor_.OnTaskEnded({kHome, 1}, {Outcome::kDone, Reason::kNone, {}}, now_);
  executor_.Stop(now_);
  EXPECT_FALSE(executor_.AllAcknowledged());
  executor_.OnHomeUnreachable(kHome, now_);
  EXPECT_TRUE(executor_.AllAcknowledged());
  // A message from the home arrives before the process has ended, so that the
  // stop waits for the home again.
  executor_.OnAsk(kHome, {1, kSelf, false, {1}}, now_);
  EXPECT_FALSE(executor_.AllAcknowledged());
  executor_.OnAsk(kHome, {2, kSelf, false, {}}, now_);
  EXPECT_TRUE(executor_.AllAcknowledged());
}

TEST_F(ExecutorTest, ReturnsTheQueuedGrantsOfAHomeThatStaysUnreachable) {
  for (GrantNumber i = 1; i <= 3; ++i) SendGrant(i);
  executor_.OnHomeUnreachable(kHome, now_);
  now_ += Millis(6000);
  Announce();
  executor_.OnTimer(now_);
  executor_.OnTaskEnded({kHome, 1}, {Outcome::kDone, Reason::kNone, {}}, now_);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2}));
}

// Guards against queued grants that wait for a slot of a backend server that
// has become smaller, while other executors could run them.
TEST_F(ExecutorTest, ReturnsAtOnceWhatASmallerBackendServerCannotTake) {
  Announce(4);
  for (GrantNumber i = 1; i <= 8; ++i) SendGrant(i);
  CollectActions();
  ASSERT_EQ(started_.size(), 4U);
  ASSERT_TRUE(replies_.empty());
  Announce(3);  // Four run, so that two may be queued.
  CollectActions();
  ASSERT_EQ(replies_.size(), 2U);
  EXPECT_EQ(replies_[0].number, 8U);
  EXPECT_EQ(replies_[1].number, 7U);
  for (const GrantStatus& reply : replies_) {
    EXPECT_EQ(reply.result.outcome, Outcome::kNotRun);
    EXPECT_EQ(reply.result.reason, Reason::kExecutorQueueFull);
  }
  // The returned grants do not start when the capacity grows again.
  Announce(8);
  SendGrant(7);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2, 3, 4, 5, 6}));
}

// Guards against starts over the slots announced last: what runs counts.
TEST_F(ExecutorTest, StartsNothingOverTheSlotsAnnouncedLast) {
  Announce(4);
  for (GrantNumber i = 1; i <= 4; ++i) SendGrant(i);
  Announce(2);
  SendGrant(5);  // Refused: four run, and two slots admit four grants.
  CollectActions();
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(replies_[0].result.reason, Reason::kExecutorQueueFull);
  EndAsDone(1);
  SendGrant(6);  // Queued.
  EndAsDone(2);
  CollectActions();
  EXPECT_EQ(started_.size(), 4U);
  EndAsDone(3);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2, 3, 4, 6}));
}

// Guards against grants that stay queued at a backend server without slots.
TEST_F(ExecutorTest, ABackendServerWithoutSlotsKeepsAndTakesNoGrant) {
  for (GrantNumber i = 1; i <= 3; ++i) SendGrant(i);
  Announce(0);
  SendGrant(4);
  EndAsDone(1);
  EndAsDone(2);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2}));
  ASSERT_EQ(replies_.size(), 4U);
  EXPECT_EQ(replies_[0].number, 3U);
  EXPECT_EQ(replies_[0].result.reason, Reason::kExecutorQueueFull);
  EXPECT_EQ(replies_[1].number, 4U);
  EXPECT_EQ(replies_[1].result.reason, Reason::kExecutorQueueFull);
  Announce(1);
  SendGrant(5);
  CollectActions();
  EXPECT_EQ(started_.back(), 5U);
}

// Guards against queued grants that wait for the next end of a task although
// the backend server has grown.
TEST_F(ExecutorTest, GrowthStartsWhatWaitsAtOnce) {
  for (GrantNumber i = 1; i <= 4; ++i) SendGrant(i);
  CollectActions();
  ASSERT_EQ(started_.size(), 2U);
  Announce(3);
  CollectActions();
  EXPECT_EQ(started_, (std::vector<GrantNumber>{1, 2, 3}));
}

}  // namespace
}  // namespace qs::test
