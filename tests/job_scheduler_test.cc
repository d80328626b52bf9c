#include "held/job_scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "held_harness.h"

namespace qs::test {
namespace {

constexpr Incarnation kGuardA{101};
constexpr Incarnation kGuardB{102};

class JobSchedulerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    desk_.SetCatalog(MakeCatalog(), At(0));
    desk_.SetHasSeenAllWorkers(true, At(0));
  }

  void Up(Incarnation guard, int64_t ms,
          const RunReport& report = MakeReport(1)) {
    const auto port = static_cast<uint16_t>(guard.value);
    desk_.OnGuardUp(Address{1, port}, guard, At(ms));
    desk_.OnReport(guard, report, At(ms));
    Take(ms);
  }

  void Take(int64_t ms) {
    for (SchedulerAction& action : desk_.TakeActions(At(ms))) {
      if (auto* sent = std::get_if<SendOrders>(&action)) {
        for (RunOrder& order : sent->orders.orders) {
          orders_.emplace_back(sent->guard, std::move(order));
        }
        for (const uint64_t stop : sent->orders.stops) stops_.push_back(stop);
      } else {
        const auto& answer = std::get<SendHeldAnswer>(action);
        answers_[answer.caller] = answer.answer;
      }
    }
  }

  void Submit(uint64_t caller, HeldJob job, int64_t ms) {
    desk_.OnJob(caller, std::move(job), At(ms), At(ms));
    Take(ms);
  }

  // The guard of an order tells of its end.
  void End(size_t index, RunOutcome outcome, int64_t ms,
           Reason reason = Reason::kNone, RunReport report = MakeReport(2)) {
    const auto& [guard, order] = orders_.at(index);
    report.stamp = static_cast<uint64_t>(ms);
    report.seen_order = order.number;
    report.ends = {{order.number, outcome, reason, Millis(100)}};
    desk_.OnReport(guard, report, At(ms));
    Take(ms);
  }

  Observer observer_;
  DecisionLog log_;
  JobScheduler desk_{JobSchedulerOptions(), &observer_, &log_, 7, At(-10'000)};
  std::vector<std::pair<Incarnation, RunOrder>> orders_;
  std::vector<uint64_t> stops_;
  std::map<uint64_t, HeldAnswer> answers_;
};

TEST_F(JobSchedulerTest, AJobIsCompleteOnlyWhenEveryTaskIsDone) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 2), 10);
  ASSERT_EQ(orders_.size(), 2U);
  End(0, RunOutcome::kDone, 100);
  EXPECT_TRUE(answers_.empty());
  End(1, RunOutcome::kDone, 110);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kComplete);
}

TEST_F(JobSchedulerTest, AStepWaitsForTheStepsBeforeIt) {
  Up(kGuardA, 0);
  HeldJob job = MakeJob("a", 1);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  Submit(1, job, 10);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].second.task, "a.0.0.0");
  End(0, RunOutcome::kDone, 100);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].second.task, "a.0.1.0");
}

TEST_F(JobSchedulerTest, AFailedTaskIsRunAgainElsewhereAndThenFailsTheJob) {
  Up(kGuardA, 0);
  Up(kGuardB, 0);
  Submit(1, MakeJob("a", 1), 10);
  End(0, RunOutcome::kFailed, 20, Reason::kBackendFailed);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_NE(orders_[1].first, orders_[0].first);
  EXPECT_GT(orders_[1].second.attempt, orders_[0].second.attempt);
  End(1, RunOutcome::kFailed, 30, Reason::kBackendFailed);
  End(2, RunOutcome::kFailed, 40, Reason::kBackendFailed);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kAttemptsExhausted);
}

TEST_F(JobSchedulerTest, ALostRunIsRepeatedOnlyAfterEveryLeaseHasLapsed) {
  Up(kGuardA, 0);
  Up(kGuardB, 0);
  Submit(1, MakeJob("a", 1), 10);
  const Incarnation first = orders_[0].first;
  const Incarnation second = first == kGuardA ? kGuardB : kGuardA;
  desk_.OnGuardDown(first, At(20));
  for (int64_t ms = 40; ms <= 1800; ms += 20) {
    desk_.OnReport(second, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    desk_.OnTimer(At(ms));
    Take(ms);
    if (ms < 1700) {
      ASSERT_EQ(orders_.size(), 1U) << ms;
    }
  }
  for (int64_t ms = 1820; ms <= 2100; ms += 20) {
    desk_.OnReport(second, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    desk_.OnTimer(At(ms));
    Take(ms);
  }
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].first, second);
}

TEST_F(JobSchedulerTest,
       ARestartedGuardFreesTheRunsOfItsFormerSelfOnceSettled) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  desk_.OnGuardDown(kGuardA, At(20));
  const Incarnation restarted{201};
  desk_.OnGuardUp(Address{1, static_cast<uint16_t>(kGuardA.value)}, restarted,
                  At(100));
  RunReport unsettled = MakeReport(1);
  unsettled.is_settled = false;
  desk_.OnReport(restarted, unsettled, At(110));
  Take(110);
  EXPECT_EQ(orders_.size(), 1U);
  desk_.OnReport(restarted, MakeReport(2), At(150));
  Take(150);
  EXPECT_EQ(orders_.size(), 2U);
}

TEST_F(JobSchedulerTest, AJobHandedInAgainWaitsForTheRunsOfTheFirst) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  desk_.OnCallerLeft(1, At(20));
  Take(20);
  ASSERT_EQ(stops_.size(), 1U);
  Submit(2, MakeJob("a", 1), 30);
  EXPECT_EQ(orders_.size(), 1U);
  End(0, RunOutcome::kLost, 60, Reason::kWithdrawn);
  EXPECT_EQ(orders_.size(), 2U);
}

TEST_F(JobSchedulerTest, ARepeatedRequestJoinsTheJobThatIsHeld) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  Submit(2, MakeJob("a", 1), 20);
  ASSERT_EQ(orders_.size(), 1U);
  desk_.OnCallerLeft(1, At(30));
  Take(30);
  EXPECT_TRUE(stops_.empty());
  End(0, RunOutcome::kDone, 100);
  EXPECT_EQ(answers_[2].state, HeldState::kComplete);
}

// The process itself was slow: what a request waited in it is a part of the
// caller's wait, and none of its slack is left.
TEST_F(JobSchedulerTest, AJobThatWaitedInTheProcessForItsSlackIsRefused) {
  Up(kGuardA, 0);
  desk_.OnReport(kGuardA, MakeReport(2, 32'000), At(9));
  desk_.OnJob(2, MakeJob("fresh", 4), At(20), At(20));
  desk_.OnJob(3, MakeJob("stale", 1), At(20), At(240));
  Take(240);
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].reason, Reason::kWouldEndTooLate);
}

// Rolling stops: callers keep coming for as long as other entries stop too.
TEST_F(JobSchedulerTest, AStoppingDeskTakesWhatEndsInTimeAtTwiceItsEstimate) {
  Up(kGuardA, 0);
  desk_.BeginStop(At(1000));
  Submit(1, MakeJob("a", 1, 4000, 400), 100);
  EXPECT_EQ(orders_.size(), 1U);
  Submit(2, MakeJob("b", 1, 4000, 400), 300);
  EXPECT_EQ(answers_[2].state, HeldState::kRefused);
  EXPECT_EQ(answers_[2].reason, Reason::kStopping);
  EXPECT_EQ(orders_.size(), 1U);
}

TEST_F(JobSchedulerTest, ARefusalIsGivenOnlyWhereNothingHasRun) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  desk_.GiveUpAll(Reason::kStopping, At(20));
  Take(20);
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(DispositionOf(answers_[1].reason), Disposition::kUnknown);
}

TEST_F(JobSchedulerTest, AJobThatNoWorkerCanRunFailsAtOnce) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1, 40'000), 10);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kConstraintUnmet);
}

// An entry has links to a part of the fleet.
TEST_F(JobSchedulerTest, ThatNoWorkerCanRunAJobIsSaidOnceAllAreKnown) {
  desk_.SetHasSeenAllWorkers(false, At(0));
  Up(kGuardA, 0);
  EXPECT_FALSE(desk_.TakeWantsMoreWorkers());
  Submit(1, MakeJob("a", 1, 40'000), 10);
  EXPECT_TRUE(answers_.empty());
  EXPECT_TRUE(desk_.TakeWantsMoreWorkers());
  // One of the others can run it.
  Up(kGuardB, 20, MakeReport(1, 0, 64'000));
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].first, kGuardB);
  desk_.SetHasSeenAllWorkers(true, At(30));
  Take(30);
  EXPECT_TRUE(answers_.empty());
  Submit(3, MakeJob("c", 1, 80'000), 40);
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].reason, Reason::kConstraintUnmet);
}

// The linked part of the fleet serves another service.
TEST_F(JobSchedulerTest, AServiceThatNoLinkedWorkerServesIsLookedFor) {
  Up(kGuardA, 0);
  desk_.SetCatalog(MakeCatalog(2, "other"), At(5));
  Submit(1, MakeJob("a", 1), 10);
  EXPECT_EQ(answers_[1].reason, Reason::kNoGuardAvailable);
  EXPECT_TRUE(desk_.TakeWantsMoreWorkers());
}

// All power was lost: links to the whole fleet would only make it worse.
TEST_F(JobSchedulerTest, WithoutAnyWorkerNoMoreLinksAreAskedFor) {
  Up(kGuardA, 0);
  desk_.OnGuardDown(kGuardA, At(5));
  Submit(1, MakeJob("a", 1), 10);
  RunReport no_worker;
  no_worker.state = ServingState::kAbsent;
  Up(kGuardB, 20, no_worker);
  Submit(2, MakeJob("b", 1), 30);
  EXPECT_FALSE(desk_.TakeWantsMoreWorkers());
}

TEST_F(JobSchedulerTest, AJobThatWaitedForAllWorkersToBeKnownFailsThen) {
  desk_.SetHasSeenAllWorkers(false, At(0));
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1, 40'000), 10);
  EXPECT_TRUE(answers_.empty());
  desk_.SetHasSeenAllWorkers(true, At(20));
  Take(20);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kConstraintUnmet);
}

TEST_F(JobSchedulerTest, WithoutAnyWorkerAJobIsRefusedAtOnce) {
  Submit(1, MakeJob("a", 1), 10);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kRefused);
  EXPECT_GT(answers_[1].retry_after, Millis(0));
}

// An entry drops a link only where this says that nothing depends on it.
TEST_F(JobSchedulerTest, ALinkIsInUseUntilTheLastRunThereHasEnded) {
  Up(kGuardA, 0);
  EXPECT_FALSE(desk_.HasRunsAt(kGuardA));
  Submit(1, MakeJob("a", 2), 10);
  EXPECT_TRUE(desk_.HasRunsAt(kGuardA));
  End(0, RunOutcome::kDone, 100);
  desk_.OnCallerLeft(1, At(110));
  Take(110);
  // The stop of the other run is on its way.
  EXPECT_TRUE(desk_.HasRunsAt(kGuardA));
  End(1, RunOutcome::kLost, 150, Reason::kWithdrawn);
  EXPECT_FALSE(desk_.HasRunsAt(kGuardA));
  EXPECT_FALSE(desk_.HasRunsAt(kGuardB));
}

// All processes lost power at once: callers are back before the first report.
TEST_F(JobSchedulerTest, RightAfterItsStartAnEntryHoldsJobsForTheGuards) {
  JobScheduler desk{JobSchedulerOptions(), &observer_, &log_, 7, At(0)};
  desk.SetCatalog(MakeCatalog(), At(0));
  desk.OnJob(1, MakeJob("a", 1), At(50), At(50));
  desk.OnJob(2, MakeJob("b", 1), At(50), At(50));
  EXPECT_TRUE(desk.TakeActions(At(50)).empty());
  // Not for longer than the answer is of use.
  desk.OnTimer(At(800));
  const std::vector<SchedulerAction> over = desk.TakeActions(At(800));
  ASSERT_EQ(over.size(), 2U);
  EXPECT_EQ(std::get<SendHeldAnswer>(over[0]).answer.state,
            HeldState::kRefused);
  desk.OnJob(3, MakeJob("c", 1), At(900), At(900));
  desk.OnGuardUp(Address{1, 1}, kGuardA, At(1000));
  desk.OnReport(kGuardA, MakeReport(1), At(1000));
  const std::vector<SchedulerAction> orders = desk.TakeActions(At(1000));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(std::get<SendOrders>(orders[0]).orders.orders.size(), 1U);
}

TEST_F(JobSchedulerTest, AStaleAttemptIsSkipped) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  End(0, RunOutcome::kNotStarted, 20, Reason::kStaleAttempt);
  desk_.OnReport(kGuardA, MakeReport(40), At(40));
  Take(40);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_GT(orders_[1].second.attempt, orders_[0].second.attempt);
}

TEST_F(JobSchedulerTest, ASuspendedEntryAnswersNothingFalse) {
  Up(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  desk_.OnSuspended(At(20));
  Take(20);
  EXPECT_EQ(answers_[1].reason, Reason::kEntrySuspended);
  EXPECT_EQ(stops_.size(), 1U);
}

// Pattern: a wide job on a quiet fleet ends with its slowest worker, so its
// tasks spread.
TEST_F(JobSchedulerTest, AWideJobIsSpread) {
  for (uint64_t i = 0; i < 4; ++i) Up(Incarnation{300 + i}, 0);
  Submit(1, MakeJob("a", 8), 10);
  ASSERT_EQ(orders_.size(), 8U);
  std::map<Incarnation, int> count;
  for (const auto& [guard, order] : orders_) ++count[guard];
  EXPECT_EQ(count.size(), 4U);
  for (const auto& [guard, tasks] : count) EXPECT_LE(tasks, 3);
}

// Pattern: overload. A job that could only end late is refused at its arrival.
TEST_F(JobSchedulerTest, InOverloadAJobIsRefusedAtItsArrival) {
  Up(kGuardA, 0, MakeReport(1, 32'000));
  int refused = 0;
  for (uint64_t caller = 1; caller <= 60; ++caller) {
    Submit(caller, MakeJob("j" + std::to_string(caller), 4), 10);
    if (!answers_.contains(caller)) continue;
    EXPECT_EQ(answers_[caller].state, HeldState::kRefused);
    EXPECT_EQ(answers_[caller].reason, Reason::kWouldEndTooLate);
    ++refused;
  }
  EXPECT_GT(refused, 30);
  EXPECT_LT(refused, 60);
}

// Pattern: short jobs in a backlog of long ones. The short have less slack and
// go first.
TEST_F(JobSchedulerTest, AnUrgentJobPassesAPatientOne) {
  Up(kGuardA, 0, MakeReport(1, 32'000));
  Submit(1, MakeJob("long", 2, 4000, 900), 10);
  Submit(2, MakeJob("short", 1, 4000, 60), 11);
  orders_.clear();
  RunReport report = MakeReport(20, 28'000);
  report.seen_order = 100;
  desk_.OnReport(kGuardA, report, At(20));
  Take(20);
  ASSERT_FALSE(orders_.empty());
  EXPECT_EQ(orders_[0].second.task, "short.0.0.0");
}

// Pattern: one slow worker looks as free as the others.
TEST_F(JobSchedulerTest, ASlowWorkerGetsOnlyTrialRuns) {
  RunReport slow = MakeReport(1);
  slow.slowness = 600;
  Up(Incarnation{301}, 0);
  Up(Incarnation{302}, 0);
  Up(Incarnation{303}, 0, slow);
  Submit(1, MakeJob("a", 8), 10);
  int on_slow = 0;
  for (const auto& [guard, order] : orders_) {
    if (guard == Incarnation{303}) ++on_slow;
  }
  EXPECT_LE(on_slow, 1);
}

// Pattern: the catalog drops a queue while jobs wait in it.
TEST_F(JobSchedulerTest, AJobOfADroppedQueueThatWaitsIsRefused) {
  // Too much waits at the guard for more to be sent ahead of room, and too
  // little for the job to be refused.
  RunReport full = MakeReport(1, 32'000);
  full.queued_work = 1500;
  Up(kGuardA, 0, full);
  Submit(1, MakeJob("waiting", 1), 10);
  ASSERT_TRUE(orders_.empty());
  ASSERT_TRUE(answers_.empty());
  auto empty = std::make_shared<Catalog>();
  empty->version = 2;
  desk_.SetCatalog(empty, At(20));
  Take(20);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kRefused);
  EXPECT_EQ(answers_[1].reason, Reason::kNoSuchQueue);
}

}  // namespace
}  // namespace qs::test
