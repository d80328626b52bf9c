#include "held/job_scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "held_harness.h"
#include "quetzalspindle/step_graph.h"

namespace qs::test {
namespace {

constexpr Incarnation kGuardA{101};
constexpr Incarnation kGuardB{102};

class JobSchedulerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    scheduler_.SetCatalog(MakeCatalog(), At(0));
    scheduler_.OnEvacuations(MakeEvacuations({}), At(0));
    scheduler_.SetHasSeenAllWorkers(true, At(0));
  }

  void ConnectGuard(Incarnation guard, int64_t ms,
                    const RunReport& report = MakeReport(1)) {
    const auto port = static_cast<uint16_t>(guard.value);
    scheduler_.OnGuardUp(Address{1, port}, guard, At(ms));
    scheduler_.OnReport(guard, report, At(ms));
    CollectActions(ms);
  }

  void CollectActions(int64_t ms) {
    for (SchedulerAction& action : scheduler_.TakeActions(At(ms))) {
      if (auto* sent = std::get_if<SendOrders>(&action)) {
        for (RunOrder& order : sent->orders.orders) {
          orders_.emplace_back(sent->guard, std::move(order));
        }
        for (const uint64_t stop : sent->orders.stops) stops_.push_back(stop);
        echoes_[sent->guard] = sent->orders.echo;
      } else {
        const auto& answer = std::get<SendHeldAnswer>(action);
        answers_[answer.caller] = answer.answer;
      }
    }
  }

  void Submit(uint64_t caller, HeldJob job, int64_t ms) {
    scheduler_.OnJob(caller, std::move(job), At(ms), At(ms));
    CollectActions(ms);
  }

  // The guard that received an order reports the end of the run.
  void ReportEnd(size_t index, RunOutcome outcome, int64_t ms,
                 Reason reason = Reason::kNone,
                 RunReport report = MakeReport(2)) {
    const auto& [guard, order] = orders_.at(index);
    report.stamp = static_cast<uint64_t>(ms);
    report.seen_order = order.number;
    report.ends = {{order.number, outcome, reason, Millis(100)}};
    scheduler_.OnReport(guard, report, At(ms));
    CollectActions(ms);
  }

  std::vector<std::string> OrderedTasks() const {
    std::vector<std::string> tasks;
    for (const auto& [guard, order] : orders_) tasks.push_back(order.task);
    return tasks;
  }

  Observer observer_;
  DecisionLog log_;
  JobScheduler scheduler_{JobSchedulerOptions(), &observer_, &log_, 7,
                          At(-10'000)};
  std::vector<std::pair<Incarnation, RunOrder>> orders_;
  std::vector<uint64_t> stops_;
  std::map<Incarnation, uint64_t> echoes_;  // The newest.
  std::map<uint64_t, HeldAnswer> answers_;
};

TEST_F(JobSchedulerTest, AJobIsCompleteOnlyWhenEveryTaskIsDone) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 2), 10);
  ASSERT_EQ(orders_.size(), 2U);
  ReportEnd(0, RunOutcome::kDone, 100);
  EXPECT_TRUE(answers_.empty());
  ReportEnd(1, RunOutcome::kDone, 110);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kComplete);
}

TEST_F(JobSchedulerTest, AStepWaitsForTheStepsBeforeIt) {
  ConnectGuard(kGuardA, 0);
  HeldJob job = MakeJob("a", 1);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  Submit(1, job, 10);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].second.task, "a.0.0.0");
  ReportEnd(0, RunOutcome::kDone, 100);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].second.task, "a.0.1.0");
}

// A job whose steps each depend on the one before.
HeldJob MakeChain(const std::string& id, const std::vector<uint32_t>& tasks) {
  HeldJob job = MakeJob(id, 0);
  job.steps.resize(tasks.size(), job.steps[0]);
  for (uint32_t step = 0; step < tasks.size(); ++step) {
    job.steps[step].tasks = tasks[step];
    if (step > 0) job.steps[step].depends_on = {step - 1};
  }
  return job;
}

// Guards against a step that starts before what it depends on through steps
// without tasks.
TEST_F(JobSchedulerTest, AnEmptyStepKeepsTheOrderOfTheOthers) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeChain("a", {1, 0, 0, 1, 0}), 10);
  using Tasks = std::vector<std::string>;
  EXPECT_EQ(OrderedTasks(), Tasks{"a.0.0.0"});
  ReportEnd(0, RunOutcome::kDone, 100);
  EXPECT_EQ(OrderedTasks(), (Tasks{"a.0.0.0", "a.0.3.0"}));
  EXPECT_TRUE(answers_.empty());
  ReportEnd(1, RunOutcome::kDone, 200);
  EXPECT_EQ(answers_[1].state, HeldState::kComplete);
}

// Guards against a job that nothing ends, as none of its tasks does. No worker
// is connected, and the process is about to end.
TEST_F(JobSchedulerTest, AJobWithoutTasksIsCompleteAtOnce) {
  scheduler_.BeginStop(At(0));
  Submit(1, MakeChain("a", {0, 0, 0}), 10);
  Submit(2, MakeChain("b", {}), 10);
  for (const uint64_t caller : {1, 2}) {
    ASSERT_TRUE(answers_.contains(caller));
    EXPECT_EQ(answers_[caller].state, HeldState::kComplete);
  }
  EXPECT_EQ(scheduler_.held_jobs(), 0U);
  // A cancel comes too late for them, but in time for a later submission.
  scheduler_.OnCancel("a", CancelOrigin::kCaller, At(20));
  EXPECT_FALSE(scheduler_.cancels().WasHeld("a"));
  Submit(3, MakeChain("a", {0}), 30);
  EXPECT_EQ(answers_[3].reason, Reason::kCancelled);
}

TEST_F(JobSchedulerTest, AJobWithoutTasksIsCompleteThoughARunOfItsIdGoesOn) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnCallerLeft(1, At(20));
  CollectActions(20);
  ASSERT_TRUE(scheduler_.HasRunsAt(kGuardA));
  Submit(2, MakeChain("a", {0}), 30);
  ASSERT_TRUE(answers_.contains(2));
  EXPECT_EQ(answers_[2].state, HeldState::kComplete);
  EXPECT_EQ(orders_.size(), 1U);
}

// Jobs with one task, after an empty step that asks for what no worker has, or
// only one in zone z2.
std::vector<HeldJob> JobsWithNeedsOfEmptySteps() {
  HeldJob no_label = MakeChain("no-label", {0, 1});
  no_label.steps[0].required_label = "none";
  HeldJob too_large = MakeChain("too-large", {0, 1});
  too_large.steps[0].task_resources.cpu_millis = 1'000'000;
  HeldJob rare = MakeChain("rare", {0, 1});
  rare.steps[0].required_label = "rare";
  return {no_label, too_large, rare};
}

// Guards against a job that fails or is refused for a worker that none of its
// tasks needs.
TEST_F(JobSchedulerTest, AnEmptyStepNeedsNoWorker) {
  RunReport report = MakeReport(1);
  report.zone = "z1";
  ConnectGuard(kGuardA, 0, report);
  report.zone = "z2";
  report.labels = {"rare"};
  ConnectGuard(kGuardB, 0, report);
  scheduler_.OnEvacuations(MakeEvacuations({"z2"}, 2), At(5));
  for (const HeldJob& job : JobsWithNeedsOfEmptySteps()) Submit(1, job, 10);
  EXPECT_TRUE(answers_.empty());
  EXPECT_EQ(orders_.size(), 3U);
}

// The same for a job that waits when it becomes known that no worker has what
// its empty step asks for, and when z2 is evacuated.
TEST_F(JobSchedulerTest, AnEmptyStepNeedsNoWorkerWhileItsJobWaits) {
  scheduler_.SetHasSeenAllWorkers(false, At(0));
  RunReport report = MakeReport(1);
  report.zone = "z1";
  ConnectGuard(kGuardA, 0, report);
  report.zone = "z2";
  report.labels = {"rare"};
  ConnectGuard(kGuardB, 0, report);
  Submit(1, MakeJob("busy", 24), 5);
  const size_t orders = orders_.size();
  for (const HeldJob& job : JobsWithNeedsOfEmptySteps()) Submit(2, job, 10);
  ASSERT_EQ(scheduler_.held_jobs(), 4U);
  ASSERT_EQ(orders_.size(), orders);
  scheduler_.SetHasSeenAllWorkers(true, At(20));
  scheduler_.OnEvacuations(MakeEvacuations({"z2"}, 2), At(20));
  CollectActions(20);
  EXPECT_TRUE(answers_.empty());
  EXPECT_EQ(scheduler_.held_jobs(), 4U);
}

// Guards against an objective that counts the run time of a step that runs
// nothing.
TEST_F(JobSchedulerTest, AnEmptyStepTakesNoTime) {
  HeldJob job = MakeChain("a", {1, 0, 1});
  job.steps[1].estimate = Millis(10'000);
  EXPECT_EQ(CriticalPathEstimate(job), Millis(200));
  const std::vector<Millis> after{Millis(100), Millis(100), Millis(0)};
  EXPECT_EQ(EstimatesAfterSteps(job), after);
}

TEST_F(JobSchedulerTest, AFailedTaskIsRunAgainElsewhereAndThenFailsTheJob) {
  ConnectGuard(kGuardA, 0);
  ConnectGuard(kGuardB, 0);
  Submit(1, MakeJob("a", 1), 10);
  ReportEnd(0, RunOutcome::kFailed, 20, Reason::kBackendFailed);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_NE(orders_[1].first, orders_[0].first);
  EXPECT_GT(orders_[1].second.attempt, orders_[0].second.attempt);
  ReportEnd(1, RunOutcome::kFailed, 30, Reason::kBackendFailed);
  ReportEnd(2, RunOutcome::kFailed, 40, Reason::kBackendFailed);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kAttemptsExhausted);
}

TEST_F(JobSchedulerTest, ALostRunIsRepeatedOnlyAfterEveryLeaseHasExpired) {
  ConnectGuard(kGuardA, 0);
  ConnectGuard(kGuardB, 0);
  Submit(1, MakeJob("a", 1), 10);
  const Incarnation first = orders_[0].first;
  const Incarnation second = first == kGuardA ? kGuardB : kGuardA;
  scheduler_.OnGuardDown(first, At(20));
  for (int64_t ms = 40; ms <= 1800; ms += 20) {
    scheduler_.OnReport(second, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms < 1700) {
      ASSERT_EQ(orders_.size(), 1U) << ms;
    }
  }
  for (int64_t ms = 1820; ms <= 2100; ms += 20) {
    scheduler_.OnReport(second, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
  }
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].first, second);
}

// Guards against two runs of one task: with a short lease of the worker, a
// guard whose stops are not carried out renews it beyond the sum of the leases.
TEST_F(JobSchedulerTest, AShortWorkerLeaseDoesNotReleaseARunEarly) {
  JobSchedulerOptions options;
  options.worker_lease = Millis(100);
  JobScheduler scheduler{options, &observer_, &log_, 7, At(-10'000)};
  scheduler.SetCatalog(MakeCatalog(), At(0));
  scheduler.OnEvacuations(MakeEvacuations({}), At(0));
  scheduler.OnGuardUp(Address{1, 1}, kGuardA, At(0));
  scheduler.OnReport(kGuardA, MakeReport(1), At(0));
  scheduler.OnJob(1, MakeJob("a", 1), At(10), At(10));
  ASSERT_EQ(scheduler.TakeActions(At(10)).size(), 1U);
  // The runs may go on until 1031 ms; the sum of the leases is 1000 ms.
  for (int64_t ms = 20; ms <= 1030; ms += 10) scheduler.OnTimer(At(ms));
  EXPECT_TRUE(scheduler.HasRunsAt(kGuardA));
  for (int64_t ms = 1040; ms <= 1090; ms += 10) scheduler.OnTimer(At(ms));
  EXPECT_FALSE(scheduler.HasRunsAt(kGuardA));
}

TEST_F(JobSchedulerTest,
       ARestartedGuardReleasesTheRunsOfItsEarlierIncarnationOnceSettled) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnGuardDown(kGuardA, At(20));
  const Incarnation restarted{201};
  scheduler_.OnGuardUp(Address{1, static_cast<uint16_t>(kGuardA.value)},
                       restarted, At(100));
  RunReport unsettled = MakeReport(1);
  unsettled.is_settled = false;
  scheduler_.OnReport(restarted, unsettled, At(110));
  CollectActions(110);
  EXPECT_EQ(orders_.size(), 1U);
  scheduler_.OnReport(restarted, MakeReport(2), At(150));
  CollectActions(150);
  EXPECT_EQ(orders_.size(), 2U);
}

// Guards against two runs of one task: after a silence, the first report on the
// same connection does not say that the runs ordered on it have ended.
TEST_F(JobSchedulerTest, AReportAfterASilenceReleasesNoRunOfItsConnection) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnTimer(At(720));
  scheduler_.OnReport(kGuardA, MakeReport(2, 4000), At(730));
  CollectActions(730);
  EXPECT_EQ(orders_.size(), 1U);
  ReportEnd(0, RunOutcome::kLost, 790, Reason::kHomeSilent);
  EXPECT_EQ(orders_.size(), 2U);
}

// Guards against a run that nobody stops: its job was answered while its guard
// was silent.
TEST_F(JobSchedulerTest, ARegainedRunOfAnAnsweredJobIsStopped) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnTimer(At(720));
  scheduler_.OnCallerLeft(1, At(725));
  CollectActions(725);
  EXPECT_TRUE(stops_.empty());
  scheduler_.OnReport(kGuardA, MakeReport(2, 4000), At(730));
  CollectActions(730);
  EXPECT_EQ(stops_.size(), 1U);
}

// Guards against a run that stays open for ever: its order was lost with a
// connection that was replaced before its end was reported.
TEST_F(JobSchedulerTest, ARunOfAReplacedConnectionIsReleasedByTheNextReport) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  const Address address{1, static_cast<uint16_t>(kGuardA.value)};
  scheduler_.OnGuardUp(address, kGuardA, At(20));
  RunReport unended = MakeReport(2, 4000);
  unended.earlier_runs = 1;
  scheduler_.OnReport(kGuardA, unended, At(30));
  CollectActions(30);
  EXPECT_EQ(orders_.size(), 1U);
  scheduler_.OnReport(kGuardA, MakeReport(3), At(60));
  CollectActions(60);
  EXPECT_EQ(orders_.size(), 2U);
}

// Guards against two runs of one task: while the process did not run, a caller
// may have left and submitted its job elsewhere, and a report is handled before
// the end of the caller's connection.
TEST_F(JobSchedulerTest,
       AfterAPauseOfTheProcessNoTaskStartsBeforeCallersLeave) {
  // The guard has too much queued work to be sent another task, and too little
  // for the job to be refused.
  RunReport full = MakeReport(1, 32'000);
  full.queued_work = 3000;
  ConnectGuard(kGuardA, 0, full);
  scheduler_.OnTimer(At(0));
  Submit(1, MakeJob("a", 1, 4000, 3000), 10);
  ASSERT_TRUE(orders_.empty());
  ASSERT_TRUE(answers_.empty());
  scheduler_.OnTimer(At(20));
  scheduler_.OnReport(kGuardA, MakeReport(1500), At(1500));
  CollectActions(1500);
  scheduler_.OnTimer(At(1501));
  CollectActions(1501);
  EXPECT_TRUE(orders_.empty());
  scheduler_.OnCallerLeft(1, At(1502));
  scheduler_.OnTimer(At(1521));
  CollectActions(1521);
  EXPECT_TRUE(orders_.empty());
}

// As above, with a caller that is still there.
TEST_F(JobSchedulerTest, AfterAPauseOfTheProcessTheTasksOfOtherCallersStart) {
  RunReport full = MakeReport(1, 32'000);
  full.queued_work = 3000;
  ConnectGuard(kGuardA, 0, full);
  scheduler_.OnTimer(At(0));
  Submit(1, MakeJob("a", 1, 4000, 3000), 10);
  scheduler_.OnTimer(At(1500));
  scheduler_.OnReport(kGuardA, MakeReport(1500), At(1501));
  scheduler_.OnTimer(At(1520));
  CollectActions(1520);
  EXPECT_EQ(orders_.size(), 1U);
}

// Guards against two runs of one task: a request may have lain in the socket
// while the process did not run, so its caller's wait is counted from the pause
// and it starts nothing before the caller's leaving would have been noticed.
TEST_F(JobSchedulerTest, ARequestReadAfterAPauseMayBeAsOldAsThePause) {
  ConnectGuard(kGuardA, 0);
  scheduler_.OnTimer(At(0));
  scheduler_.OnReport(kGuardA, MakeReport(1500), At(1500));
  HeldJob job = MakeJob("a", 1);
  job.caller_timeout = Millis(1510);
  Submit(1, job, 1501);
  EXPECT_TRUE(orders_.empty());
  scheduler_.OnTimer(At(1502));
  CollectActions(1502);
  EXPECT_TRUE(orders_.empty());
  scheduler_.OnTimer(At(1522));
  CollectActions(1522);
  EXPECT_TRUE(orders_.empty());
  EXPECT_TRUE(answers_.contains(1));
}

// Guards against two runs of one task: an echo lets runs go on, so it must not
// cover a time in which a caller may have left unnoticed.
TEST_F(JobSchedulerTest, AnEchoCoversNoTimeOfWhichEventsMayBeUnread) {
  ConnectGuard(kGuardA, 0);
  for (int64_t ms = 10; ms <= 30; ms += 10) scheduler_.OnTimer(At(ms));
  Submit(1, MakeJob("a", 1), 30);
  ASSERT_EQ(orders_.size(), 1U);
  scheduler_.OnReport(kGuardA, MakeReport(35, 4000), At(35));
  scheduler_.OnTimer(At(40));
  // The process stands still, for less than the longest pause.
  scheduler_.OnReport(kGuardA, MakeReport(435, 4000), At(440));
  CollectActions(440);
  EXPECT_LE(echoes_[kGuardA], 35U);
  scheduler_.OnTimer(At(441));
  scheduler_.OnReport(kGuardA, MakeReport(445, 4000), At(445));
  CollectActions(446);
  EXPECT_LE(echoes_[kGuardA], 35U);
  scheduler_.OnCallerLeft(1, At(447));
  // The stop is sent only after all events of the pause were handled.
  for (int64_t ms = 451; ms <= 471; ms += 10) scheduler_.OnTimer(At(ms));
  CollectActions(471);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_LE(echoes_[kGuardA], 35U);
}

// Guards against runs that lapse: once all events are handled, reports are
// echoed again.
TEST_F(JobSchedulerTest, AfterAPauseNewReportsAreEchoedAgain) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnTimer(At(20));
  scheduler_.OnReport(kGuardA, MakeReport(435, 4000), At(440));
  for (int64_t ms = 441; ms <= 461; ms += 10) scheduler_.OnTimer(At(ms));
  CollectActions(461);
  EXPECT_EQ(echoes_[kGuardA], 435U);
}

// As above, for a guard that was connected during the pause.
TEST_F(JobSchedulerTest, AGuardGetsOrdersOnceItsReportCanBeEchoed) {
  for (int64_t ms = 0; ms <= 20; ms += 10) scheduler_.OnTimer(At(ms));
  ConnectGuard(kGuardA, 400);
  Submit(1, MakeJob("a", 1), 401);
  EXPECT_TRUE(orders_.empty());
  for (int64_t ms = 402; ms <= 422; ms += 10) {
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
  }
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(echoes_[kGuardA], 1U);
}

TEST_F(JobSchedulerTest, AJobSubmittedAgainWaitsForTheRunsOfTheFirst) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnCallerLeft(1, At(20));
  CollectActions(20);
  ASSERT_EQ(stops_.size(), 1U);
  Submit(2, MakeJob("a", 1), 30);
  EXPECT_EQ(orders_.size(), 1U);
  ReportEnd(0, RunOutcome::kLost, 60, Reason::kWithdrawn);
  EXPECT_EQ(orders_.size(), 2U);
}

TEST_F(JobSchedulerTest, ARepeatedRequestJoinsTheJobThatIsHeld) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  Submit(2, MakeJob("a", 1), 20);
  ASSERT_EQ(orders_.size(), 1U);
  scheduler_.OnCallerLeft(1, At(30));
  CollectActions(30);
  EXPECT_TRUE(stops_.empty());
  ReportEnd(0, RunOutcome::kDone, 100);
  EXPECT_EQ(answers_[2].state, HeldState::kComplete);
}

// The process itself was slow. The time that a request waited in it is part of
// the caller's wait, so that a job whose slack is used up is refused.
TEST_F(JobSchedulerTest, AJobThatWaitedInTheProcessForItsSlackIsRefused) {
  ConnectGuard(kGuardA, 0);
  scheduler_.OnReport(kGuardA, MakeReport(2, 32'000), At(9));
  scheduler_.OnJob(2, MakeJob("fresh", 4), At(20), At(20));
  scheduler_.OnJob(3, MakeJob("stale", 1), At(20), At(240));
  CollectActions(240);
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].reason, Reason::kWouldEndTooLate);
}

// In a rolling restart callers still send jobs to a stopping entry, because
// other entries stop too.
TEST_F(JobSchedulerTest,
       AStoppingSchedulerAdmitsWhatEndsInTimeAtTwiceItsEstimate) {
  ConnectGuard(kGuardA, 0);
  scheduler_.BeginStop(At(1000));
  Submit(1, MakeJob("a", 1, 4000, 400), 100);
  EXPECT_EQ(orders_.size(), 1U);
  Submit(2, MakeJob("b", 1, 4000, 400), 300);
  EXPECT_EQ(answers_[2].state, HeldState::kRefused);
  EXPECT_EQ(answers_[2].reason, Reason::kStopping);
  EXPECT_EQ(orders_.size(), 1U);
}

TEST_F(JobSchedulerTest, ARefusalIsGivenOnlyWhereNothingHasRun) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.GiveUpAll(Reason::kStopping, At(20));
  CollectActions(20);
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(DispositionOf(answers_[1].reason), Disposition::kUnknown);
}

TEST_F(JobSchedulerTest, AJobThatNoWorkerCanRunFailsAtOnce) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1, 40'000), 10);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kConstraintUnmet);
}

// An entry has links to only a part of the fleet, and another part may have a
// worker that fits the job.
TEST_F(JobSchedulerTest,
       AJobThatNoWorkerCanRunFailsOnlyOnceAllWorkersAreKnown) {
  scheduler_.SetHasSeenAllWorkers(false, At(0));
  ConnectGuard(kGuardA, 0);
  EXPECT_FALSE(scheduler_.TakeWantsMoreWorkers());
  Submit(1, MakeJob("a", 1, 40'000), 10);
  EXPECT_TRUE(answers_.empty());
  EXPECT_TRUE(scheduler_.TakeWantsMoreWorkers());
  // A guard that is linked later has a worker that can run the job.
  ConnectGuard(kGuardB, 20, MakeReport(1, 0, 64'000));
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].first, kGuardB);
  scheduler_.SetHasSeenAllWorkers(true, At(30));
  CollectActions(30);
  EXPECT_TRUE(answers_.empty());
  Submit(3, MakeJob("c", 1, 80'000), 40);
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].reason, Reason::kConstraintUnmet);
}

// The linked guards serve another service, and others may serve the right one.
TEST_F(JobSchedulerTest, AServiceThatNoLinkedWorkerServesAsksForMoreLinks) {
  ConnectGuard(kGuardA, 0);
  scheduler_.SetCatalog(MakeCatalog(2, "other"), At(5));
  Submit(1, MakeJob("a", 1), 10);
  EXPECT_EQ(answers_[1].reason, Reason::kNoGuardAvailable);
  EXPECT_TRUE(scheduler_.TakeWantsMoreWorkers());
}

// After a power loss no worker is known. Links to the whole fleet would only
// add load.
TEST_F(JobSchedulerTest, WithoutAnyWorkerNoMoreLinksAreAskedFor) {
  ConnectGuard(kGuardA, 0);
  scheduler_.OnGuardDown(kGuardA, At(5));
  Submit(1, MakeJob("a", 1), 10);
  RunReport no_worker;
  no_worker.state = ServingState::kAbsent;
  ConnectGuard(kGuardB, 20, no_worker);
  Submit(2, MakeJob("b", 1), 30);
  EXPECT_FALSE(scheduler_.TakeWantsMoreWorkers());
}

TEST_F(JobSchedulerTest, AJobThatWaitedForAllWorkersToBeKnownFailsThen) {
  scheduler_.SetHasSeenAllWorkers(false, At(0));
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1, 40'000), 10);
  EXPECT_TRUE(answers_.empty());
  scheduler_.SetHasSeenAllWorkers(true, At(20));
  CollectActions(20);
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

// An entry closes a link only if HasRunsAt returns false for its guard.
TEST_F(JobSchedulerTest, ALinkIsInUseUntilTheLastRunThereHasEnded) {
  ConnectGuard(kGuardA, 0);
  EXPECT_FALSE(scheduler_.HasRunsAt(kGuardA));
  Submit(1, MakeJob("a", 2), 10);
  EXPECT_TRUE(scheduler_.HasRunsAt(kGuardA));
  ReportEnd(0, RunOutcome::kDone, 100);
  scheduler_.OnCallerLeft(1, At(110));
  CollectActions(110);
  // The other run was told to stop, but its end is not reported yet.
  EXPECT_TRUE(scheduler_.HasRunsAt(kGuardA));
  ReportEnd(1, RunOutcome::kLost, 150, Reason::kWithdrawn);
  EXPECT_FALSE(scheduler_.HasRunsAt(kGuardA));
  EXPECT_FALSE(scheduler_.HasRunsAt(kGuardB));
}

// After a power loss of all processes callers reconnect before the first report
// of a guard arrives.
TEST_F(JobSchedulerTest, AfterItsStartAnEntryHoldsJobsUntilGuardsConnect) {
  JobScheduler scheduler{JobSchedulerOptions(), &observer_, &log_, 7, At(0)};
  scheduler.SetCatalog(MakeCatalog(), At(0));
  scheduler.OnEvacuations(MakeEvacuations({}), At(0));
  scheduler.OnJob(1, MakeJob("a", 1), At(50), At(50));
  scheduler.OnJob(2, MakeJob("b", 1), At(50), At(50));
  EXPECT_TRUE(scheduler.TakeActions(At(50)).empty());
  // The jobs are held no longer than an answer is of use.
  scheduler.OnTimer(At(800));
  const std::vector<SchedulerAction> given_up = scheduler.TakeActions(At(800));
  ASSERT_EQ(given_up.size(), 2U);
  EXPECT_EQ(std::get<SendHeldAnswer>(given_up[0]).answer.state,
            HeldState::kRefused);
  scheduler.OnJob(3, MakeJob("c", 1), At(900), At(900));
  scheduler.OnGuardUp(Address{1, 1}, kGuardA, At(1000));
  scheduler.OnReport(kGuardA, MakeReport(1), At(1000));
  // An entry starts nothing before it has handled its events up to the report.
  EXPECT_TRUE(scheduler.TakeActions(At(1000)).empty());
  scheduler.OnTimer(At(1005));
  EXPECT_TRUE(scheduler.TakeActions(At(1005)).empty());
  scheduler.OnTimer(At(1015));
  const std::vector<SchedulerAction> orders = scheduler.TakeActions(At(1015));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(std::get<SendOrders>(orders[0]).orders.orders.size(), 1U);
}

TEST_F(JobSchedulerTest, AStaleAttemptIsSkipped) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  ReportEnd(0, RunOutcome::kNotStarted, 20, Reason::kStaleAttempt);
  scheduler_.OnReport(kGuardA, MakeReport(40), At(40));
  CollectActions(40);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_GT(orders_[1].second.attempt, orders_[0].second.attempt);
}

TEST_F(JobSchedulerTest, ASuspendedEntryReportsThatTheOutcomeIsUnknown) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnSuspended(At(20));
  CollectActions(20);
  EXPECT_EQ(answers_[1].reason, Reason::kEntrySuspended);
  EXPECT_EQ(stops_.size(), 1U);
}

// Traffic pattern: a job with many parallel tasks on a lightly loaded fleet.
// The job ends with its slowest worker, so its tasks are spread.
TEST_F(JobSchedulerTest, TheTasksOfAWideJobAreSpread) {
  for (uint64_t i = 0; i < 4; ++i) ConnectGuard(Incarnation{300 + i}, 0);
  Submit(1, MakeJob("a", 8), 10);
  ASSERT_EQ(orders_.size(), 8U);
  std::map<Incarnation, int> count;
  for (const auto& [guard, order] : orders_) ++count[guard];
  EXPECT_EQ(count.size(), 4U);
  for (const auto& [guard, tasks] : count) EXPECT_LE(tasks, 3);
}

// Traffic pattern: overload. A job that could only end late is refused at its
// arrival.
TEST_F(JobSchedulerTest, InOverloadAJobIsRefusedAtItsArrival) {
  ConnectGuard(kGuardA, 0, MakeReport(1, 32'000));
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

// Traffic pattern: short jobs behind a backlog of long ones. The short jobs
// have less slack and are dispatched first.
TEST_F(JobSchedulerTest, AnUrgentJobIsDispatchedBeforeOneWithMoreSlack) {
  ConnectGuard(kGuardA, 0, MakeReport(1, 32'000));
  Submit(1, MakeJob("long", 2, 4000, 900), 10);
  Submit(2, MakeJob("short", 1, 4000, 60), 11);
  orders_.clear();
  RunReport report = MakeReport(20, 28'000);
  report.seen_order = 100;
  scheduler_.OnReport(kGuardA, report, At(20));
  CollectActions(20);
  ASSERT_FALSE(orders_.empty());
  EXPECT_EQ(orders_[0].second.task, "short.0.0.0");
}

// Traffic pattern: a worker stands free, while other entries have reported a
// long backlog a moment ago.
TEST_F(JobSchedulerTest, AJobThatFindsFreeRoomIsNotRefusedForABacklog) {
  RunReport report = MakeReport(1);
  report.linked_entries = 2;
  report.telling_entries = 2;
  report.waiting_work = {500'000, 0, 0};
  ConnectGuard(kGuardA, 0, report);
  Submit(1, MakeJob("a", 4), 10);
  EXPECT_EQ(orders_.size(), 4U);
  EXPECT_TRUE(answers_.empty());
}

class ScarceRoomTest : public JobSchedulerTest {
 protected:
  // Queue "low" is like "q", with a priority of 2.
  void SetUp() override {
    JobSchedulerTest::SetUp();
    Catalog catalog = *MakeCatalog();
    catalog.queues.push_back(catalog.queues[0]);
    catalog.queues[1].name = "low";
    catalog.queues[1].priority = 2;
    scheduler_.SetCatalog(std::make_shared<const Catalog>(catalog), At(0));
  }
  static RunReport MakeFullReport(uint64_t queued_work = 1500) {
    RunReport full = MakeReport(1, 32'000);
    full.queued_work = queued_work;
    return full;
  }
  // The guard reports room for `tasks` tasks of 4 cores.
  void FreeRoom(int64_t tasks, int64_t ms) {
    RunReport report =
        MakeReport(static_cast<uint64_t>(ms), 32'000 - 4000 * tasks);
    report.seen_order = 1000;
    scheduler_.OnReport(kGuardA, report, At(ms));
    CollectActions(ms);
  }
};

// Traffic pattern: overload, in which the oldest job cannot be on time any
// more. It is served once no other job needs the room.
TEST_F(ScarceRoomTest, ALateJobGivesWayToOneThatCanBeOnTime) {
  ConnectGuard(kGuardA, 0, MakeFullReport());
  Submit(1, MakeJob("old", 1), 10);
  scheduler_.OnReport(kGuardA, MakeFullReport(), At(100));
  Submit(2, MakeJob("new", 1), 100);
  ASSERT_TRUE(orders_.empty());
  FreeRoom(2, 140);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[0].second.task, "new.0.0.0");
  EXPECT_EQ(orders_[1].second.task, "old.0.0.0");
}

// Traffic pattern: wide jobs of low priority beside narrow urgent ones. A wide
// job of which most tasks have started is not overtaken for its priority.
TEST_F(ScarceRoomTest, AJobThatHasStartedGetsTheRoomForItsLastTasks) {
  ConnectGuard(kGuardA, 0, MakeFullReport(900));
  HeldJob wide = MakeJob("wide", 4);
  wide.queue = "low";
  Submit(1, wide, 10);
  FreeRoom(2, 20);
  const size_t started = orders_.size();
  ASSERT_GT(started, 0U);
  ASSERT_LT(started, 4U);
  scheduler_.OnReport(kGuardA, MakeFullReport(900), At(50));
  Submit(2, MakeJob("narrow", 1), 60);
  FreeRoom(2, 70);
  ASSERT_GT(orders_.size(), started);
  EXPECT_EQ(orders_[started].second.task, "wide.0.0." + Text(started));
}

// Traffic pattern: overload that lasts. A job that can be neither on time nor
// of use is refused as soon as that is known, and nothing of it has run.
TEST_F(ScarceRoomTest, AHopelessJobIsRefusedOnceItIsLate) {
  ConnectGuard(kGuardA, 0, MakeFullReport());
  Submit(1, MakeJob("a", 1), 10);
  scheduler_.OnReport(kGuardA, MakeFullReport(60'000), At(60));
  scheduler_.OnTimer(At(120));
  CollectActions(120);
  EXPECT_TRUE(answers_.empty());
  scheduler_.OnTimer(At(140));
  CollectActions(140);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kRefused);
  EXPECT_EQ(answers_[1].reason, Reason::kWaitedTooLong);
  EXPECT_EQ(answers_[1].retry_after, Millis(2000));
  EXPECT_TRUE(orders_.empty());
}

// One slow worker has as much free capacity as the others.
TEST_F(JobSchedulerTest, ASlowWorkerGetsOnlyTrialRuns) {
  RunReport slow = MakeReport(1);
  slow.slowness = 600;
  ConnectGuard(Incarnation{301}, 0);
  ConnectGuard(Incarnation{302}, 0);
  ConnectGuard(Incarnation{303}, 0, slow);
  Submit(1, MakeJob("a", 8), 10);
  int on_slow = 0;
  for (const auto& [guard, order] : orders_) {
    if (guard == Incarnation{303}) ++on_slow;
  }
  EXPECT_LE(on_slow, 1);
}

// Load of uneven servers: a third of the workers takes three times as long as
// the others. Half a second of slack is not enough for a long task there.
TEST_F(JobSchedulerTest, LongTasksGoToFastWorkers) {
  for (uint64_t i = 0; i < 12; ++i) {
    RunReport report = MakeReport(1, i % 3 == 0 ? 0 : 20'000);
    report.slowness = i % 3 == 0 ? 210 : 65;
    ConnectGuard(Incarnation{300 + i}, 0, report);
  }
  Submit(1, MakeJob("long", 4, 1600, 760), 10);
  Submit(2, MakeJob("longer", 4, 1600, 900), 10);
  ASSERT_EQ(orders_.size(), 8);
  for (const auto& [guard, order] : orders_) {
    EXPECT_NE((guard.value - 300) % 3, 0) << order.task;
  }
}

// The catalog drops a queue while jobs wait in it.
TEST_F(JobSchedulerTest, AJobOfADroppedQueueThatWaitsIsRefused) {
  // The guard has too much queued work to be sent another task, and too little
  // for the job to be refused.
  RunReport full = MakeReport(1, 32'000);
  full.queued_work = 1500;
  ConnectGuard(kGuardA, 0, full);
  Submit(1, MakeJob("waiting", 1), 10);
  ASSERT_TRUE(orders_.empty());
  ASSERT_TRUE(answers_.empty());
  auto empty = std::make_shared<Catalog>();
  empty->version = 2;
  scheduler_.SetCatalog(empty, At(20));
  CollectActions(20);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kRefused);
  EXPECT_EQ(answers_[1].reason, Reason::kNoSuchQueue);
}

class CrashingTaskTest : public JobSchedulerTest {
 protected:
  static constexpr uint64_t kFirstGuard = 101;
  static constexpr uint64_t kGuards = 4;

  void ConnectGuards() {
    for (uint64_t i = 0; i < kGuards; ++i) {
      ConnectGuard(Incarnation{kFirstGuard + i}, 0);
    }
  }

  // Lets all guards report, and a timer event pass.
  void ReportAll(int64_t ms) {
    for (uint64_t i = 0; i < kGuards; ++i) {
      RunReport report = MakeReport(static_cast<uint64_t>(ms));
      report.seen_order = UINT64_MAX;
      scheduler_.OnReport(Incarnation{kFirstGuard + i}, report, At(ms));
    }
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
  }

  // The guard of the last order tells that its worker refuses connections.
  void LoseLast(int64_t ms) {
    ReportEnd(orders_.size() - 1, RunOutcome::kLost, ms, Reason::kWorkerDown);
  }

  // The guard tells what became of its worker.
  void Tell(Incarnation guard, bool has_crashed,
            const std::vector<std::string>& tasks, int64_t ms,
            uint64_t started_at = 1000) {
    RunReport report = MakeReport(static_cast<uint64_t>(ms));
    report.seen_order = UINT64_MAX;
    report.worker_losses = {{started_at, has_crashed, tasks}};
    scheduler_.OnReport(guard, report, At(ms));
    CollectActions(ms);
  }

  // The worker of the last order crashes under a task, and its guard tells so.
  void CrashLast(const std::vector<std::string>& tasks, int64_t ms) {
    const Incarnation guard = orders_.back().first;
    RunReport report = MakeReport(2);
    report.worker_losses = {{1000, true, tasks}};
    ReportEnd(orders_.size() - 1, RunOutcome::kLost, ms, Reason::kWorkerDown,
              report);
    crashed_.push_back(guard);
  }

  std::vector<Incarnation> crashed_;
};

// Guards against a task that crashes one worker after the other: it runs alone
// after the first crash and is given up after the second.
TEST_F(CrashingTaskTest, ADeadlyTaskIsGivenUpAfterTwoCrashes) {
  ConnectGuards();
  Submit(1, MakeJob("a.b", 1), 10);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_FALSE(orders_[0].second.must_run_alone);
  CrashLast({"a.b.0.0.0", "other.0.0.0"}, 50);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_TRUE(orders_[1].second.must_run_alone);
  EXPECT_GT(orders_[1].second.attempt, orders_[0].second.attempt);
  EXPECT_NE(orders_[1].first, orders_[0].first);
  EXPECT_TRUE(answers_.empty());
  CrashLast({"a.b.0.0.0"}, 90);
  EXPECT_EQ(orders_.size(), 2U);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kCrashesWorkers);
}

// Guards against runs that go on for a job that was given up.
TEST_F(CrashingTaskTest, TheOtherRunsOfAConvictedJobAreStopped) {
  ConnectGuards();
  Submit(1, MakeJob("a", 2), 10);
  ASSERT_EQ(orders_.size(), 2U);
  const std::string deadly = orders_[1].second.task;
  CrashLast({deadly, "other.0.0.0"}, 50);
  ASSERT_EQ(orders_.size(), 3U);
  CrashLast({deadly}, 90);
  EXPECT_EQ(answers_[1].reason, Reason::kCrashesWorkers);
  EXPECT_EQ(stops_, std::vector<uint64_t>{orders_[0].second.number});
}

// Guards against a deadly task whose job is sent again to another entry, as
// after the loss of its answer, and starts again there.
TEST_F(CrashingTaskTest, AJobThatArrivesWithAConvictedTaskIsAnsweredAtOnce) {
  ConnectGuards();
  Tell(Incarnation{101}, true, {"a.0.0.1", "other.0.0.0"}, 5);
  Tell(Incarnation{102}, true, {"a.0.0.1"}, 6);
  Submit(1, MakeJob("a", 2), 10);
  EXPECT_TRUE(orders_.empty());
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kCrashesWorkers);
  // A neighbour in the first crash is not guilty.
  Submit(2, MakeJob("other", 1), 20);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_TRUE(orders_[0].second.must_run_alone);
}

// Guards against a deadly task that crashes workers for each entry anew: an
// entry is linked to a part of the guards.
TEST_F(CrashingTaskTest, CrashesThatOtherEntriesHeardOfCount) {
  ConnectGuards();
  Tell(Incarnation{101}, true, {"b.0.0.0"}, 5);
  const std::vector<CrashNotice> heard = scheduler_.TakeCrashes();
  ASSERT_EQ(heard.size(), 1U);
  EXPECT_EQ(heard[0].guard.port, 101);
  EXPECT_TRUE(scheduler_.TakeCrashes().empty());
  const Address elsewhere{9, 9};
  scheduler_.OnCrashNotice({elsewhere, {1000, true, {"a.0.0.0"}}}, At(6));
  // The same crash, as another entry tells of it.
  scheduler_.OnCrashNotice({elsewhere, {1000, true, {"a.0.0.0"}}}, At(7));
  EXPECT_TRUE(scheduler_.TakeCrashes().empty());
  Submit(1, MakeJob("a", 1), 10);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_TRUE(orders_[0].second.must_run_alone);
  // The job waits here, and is given up when it is convicted elsewhere.
  scheduler_.OnCrashNotice({Address{9, 10}, {1000, true, {"a.0.0.0"}}}, At(20));
  CollectActions(20);
  EXPECT_EQ(answers_[1].reason, Reason::kCrashesWorkers);
  EXPECT_EQ(stops_.size(), 1U);
  // A linked guard tells of its own.
  scheduler_.OnCrashNotice({heard[0].guard, {2000, true, {"c.0.0.0"}}}, At(30));
  Submit(2, MakeJob("c", 1), 40);
  EXPECT_FALSE(orders_.back().second.must_run_alone);
}

// Guards against a third worker that crashes while it is not yet known whether
// the first two did.
TEST_F(CrashingTaskTest, ATaskIsOnHoldUntilTheLossesAreResolved) {
  ConnectGuards();
  Submit(1, MakeJob("a", 1), 10);
  LoseLast(50);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_TRUE(orders_[1].second.must_run_alone);
  LoseLast(90);
  for (int64_t ms = 100; ms < 1000; ms += 100) ReportAll(ms);
  ASSERT_EQ(orders_.size(), 2U);
  Tell(orders_[1].first, true, {"a.0.0.0"}, 1010);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_TRUE(answers_.empty());
  Tell(orders_[0].first, true, {"a.0.0.0", "other.0.0.0"}, 1020);
  EXPECT_EQ(orders_.size(), 2U);
  EXPECT_EQ(answers_[1].reason, Reason::kCrashesWorkers);
}

// Guards against a sound task that is given up, or kept waiting, because
// workers were cut off or left as announced.
TEST_F(CrashingTaskTest, ATaskGoesOnOnceALossIsRefuted) {
  ConnectGuards();
  Submit(1, MakeJob("a", 1), 10);
  LoseLast(50);
  LoseLast(90);
  ASSERT_EQ(orders_.size(), 2U);
  Tell(orders_[1].first, false, {"a.0.0.0"}, 200);
  ASSERT_EQ(orders_.size(), 3U);
  EXPECT_TRUE(orders_[2].second.must_run_alone);
  Tell(orders_[0].first, false, {"a.0.0.0"}, 210);
  LoseLast(220);
  // All else is refuted, so that one loss is left.
  ASSERT_EQ(orders_.size(), 4U);
  ReportEnd(3, RunOutcome::kDone, 300);
  EXPECT_EQ(answers_[1].state, HeldState::kComplete);
}

// Guards against a task that waits for ever: the guard that should say what
// became of its worker was killed.
TEST_F(CrashingTaskTest, AHoldEndsAfterALimitedTime) {
  ConnectGuards();
  HeldJob job = MakeJob("a", 1);
  job.caller_timeout = Millis(60'000);
  Submit(1, job, 10);
  LoseLast(50);
  LoseLast(90);
  for (int64_t ms = 100; ms <= 10'000; ms += 100) {
    ReportAll(ms);
    ASSERT_EQ(orders_.size(), 2U) << ms;
  }
  ReportAll(10'100);
  EXPECT_EQ(orders_.size(), 3U);
}

// A hold lasts no longer than the caller waits, and the answer says that a part
// of the job may have run.
TEST_F(CrashingTaskTest, AJobOnHoldEndsAtItsDeadlineOrWhenItsCallerLeaves) {
  ConnectGuards();
  Submit(1, MakeJob("a", 1), 10);
  LoseLast(50);
  LoseLast(90);
  Submit(2, MakeJob("b", 1), 100);
  LoseLast(110);
  LoseLast(120);
  ASSERT_EQ(orders_.size(), 4U);
  scheduler_.OnCallerLeft(2, At(200));
  for (int64_t ms = 300; ms <= 5000; ms += 100) ReportAll(ms);
  EXPECT_TRUE(answers_.empty());
  ReportAll(5010);
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].state, HeldState::kFailed);
  EXPECT_EQ(answers_[1].reason, Reason::kGivenUpRunning);
  EXPECT_EQ(scheduler_.held_jobs(), 0U);
  // The holds have ended with the jobs.
  ReportAll(5100);
  ReportAll(11'000);
  EXPECT_EQ(orders_.size(), 4U);
}

// Guards against a partition that makes tasks suspect.
TEST_F(CrashingTaskTest, ATaskOfASilentWorkerIsNoSuspect) {
  ConnectGuards();
  Submit(1, MakeJob("a", 1), 10);
  ReportEnd(0, RunOutcome::kLost, 50, Reason::kWorkerLost);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_FALSE(orders_[1].second.must_run_alone);
}

// Guards against a fleet that stands still after one crash: suspects need a
// worker each, and other tasks must not wait for them.
TEST_F(CrashingTaskTest, SuspectsRunOneAtATimeAndOtherTasksPassThem) {
  ConnectGuards();
  std::vector<std::string> suspects(12);
  for (size_t i = 0; i < suspects.size(); ++i) {
    suspects[i] = "s" + std::to_string(i) + ".0.0.0";
  }
  Tell(Incarnation{101}, true, suspects, 5);
  for (uint64_t i = 0; i < 12; ++i) {
    Submit(i + 1, MakeJob("s" + std::to_string(i), 1), 10);
  }
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_TRUE(orders_[0].second.must_run_alone);
  Submit(50, MakeJob("sound", 1, 4000, 1000), 20);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].second.task, "sound.0.0.0");
  EXPECT_FALSE(orders_[1].second.must_run_alone);
  EXPECT_NE(orders_[1].first, orders_[0].first);
  // The next suspect follows when the first has ended.
  ReportEnd(0, RunOutcome::kDone, 60);
  ASSERT_EQ(orders_.size(), 3U);
  EXPECT_TRUE(orders_[2].second.must_run_alone);
}

// Guards against jobs that are refused beside idle workers: suspects that wait
// for a worker of their own delay no other task.
TEST_F(CrashingTaskTest, WaitingSuspectsAreNoWorkAheadOfOtherJobs) {
  ConnectGuards();
  std::vector<std::string> suspects(60);
  for (size_t i = 0; i < suspects.size(); ++i) {
    suspects[i] = "s.0.0." + std::to_string(i);
  }
  Tell(Incarnation{101}, true, suspects, 5);
  Submit(1, MakeJob("s", 60, 4000, 100), 10);
  ASSERT_EQ(orders_.size(), 1U);
  Submit(2, MakeJob("sound", 1, 4000, 100), 20);
  EXPECT_TRUE(answers_.empty());
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].second.task, "sound.0.0.0");
}

// With more workers more suspects run at a time.
TEST_F(CrashingTaskTest, TheLimitOfSuspectsRisesWithTheWorkers) {
  for (uint64_t i = 0; i < 33; ++i) ConnectGuard(Incarnation{101 + i}, 0);
  Tell(Incarnation{101}, true, {"a.0.0.0", "a.0.0.1", "a.0.0.2"}, 5);
  Submit(1, MakeJob("a", 3), 10);
  EXPECT_EQ(orders_.size(), 2U);
}

// Guards against a job that fails as impossible because the capacity of the
// workers is small when it arrives.
TEST_F(JobSchedulerTest, AJobWaitsWhileTheCapacityIsSmall) {
  ConnectGuard(kGuardA, 0);
  ConnectGuard(kGuardB, 0, MakeReport(1, 0, 4000));
  scheduler_.OnReport(kGuardA, MakeReport(2, 0, 4000), At(5));
  Submit(1, MakeJob("a", 1, 16'000), 10);
  EXPECT_TRUE(orders_.empty());
  EXPECT_TRUE(answers_.empty());
  scheduler_.OnReport(kGuardA, MakeReport(3), At(20));
  CollectActions(20);
  EXPECT_EQ(orders_.size(), 1U);
}

// The caller has left, but its run may still execute: its tables are held.
TEST_F(JobSchedulerTest, TheMemoryOfAJobIsGivenBackWithItsLastRun) {
  ConnectGuard(kGuardA, 0);
  MemoryBudget budget({100, 100, 0});
  scheduler_.OnJob(1, MakeJob("a", 1), At(10), At(10), budget.Take(60));
  CollectActions(10);
  ASSERT_EQ(orders_.size(), 1U);
  scheduler_.OnCallerLeft(1, At(20));
  EXPECT_EQ(budget.bytes(), 60U);
  ReportEnd(0, RunOutcome::kLost, 100);
  EXPECT_EQ(budget.bytes(), 0U);
  // A caller that joins a held job, and one that is refused, hold nothing more.
  scheduler_.OnJob(2, MakeJob("b", 1), At(110), At(110), budget.Take(60));
  scheduler_.OnJob(3, MakeJob("b", 1), At(110), At(110), budget.Take(30));
  EXPECT_EQ(budget.bytes(), 60U);
  HeldJob unknown = MakeJob("c", 1);
  unknown.queue = "none";
  scheduler_.OnJob(4, unknown, At(110), At(110), budget.Take(30));
  EXPECT_EQ(budget.bytes(), 60U);
}

// Orders that a full guard gives back may not go to and fro between it and the
// entries of several wide jobs.
TEST_F(JobSchedulerTest, AGuardThatIsFullGetsNoOrdersForAWhile) {
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 1, 0, 0), 10);
  ASSERT_EQ(orders_.size(), 1U);
  ReportEnd(0, RunOutcome::kNotStarted, 20, Reason::kGuardFull);
  for (int64_t ms = 40; ms < 100; ms += 20) {
    scheduler_.OnReport(kGuardA, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
  }
  EXPECT_EQ(orders_.size(), 1U);
  for (int64_t ms = 100; ms < 200; ms += 20) {
    scheduler_.OnReport(kGuardA, MakeReport(static_cast<uint64_t>(ms)), At(ms));
    scheduler_.OnTimer(At(ms));
    CollectActions(ms);
  }
  EXPECT_EQ(orders_.size(), 2U);
}

// One round over a wide job may not take so long that the leases of other jobs
// lapse meanwhile.
TEST_F(JobSchedulerTest, AWideJobIsSentInSeveralRounds) {
  constexpr size_t kTasks = 1500;
  constexpr size_t kOrdersOfTwoRounds = 512;
  for (uint64_t i = 1; i <= 8; ++i) ConnectGuard({100 + i}, 0);
  scheduler_.OnJob(1, MakeJob("a", kTasks, 0, 0), At(10), At(10));
  CollectActions(10);
  EXPECT_GT(orders_.size(), 0U);
  EXPECT_LE(orders_.size(), kOrdersOfTwoRounds);
  for (size_t round = 0; round < kTasks; ++round) {
    if (!scheduler_.is_dispatch_due()) break;
    CollectActions(10);
  }
  EXPECT_EQ(orders_.size(), kTasks);
}

// Tasks that state neither needs nor an estimate look as if any number of them
// fitted anywhere.
TEST_F(JobSchedulerTest, AGuardGetsNoMoreOrdersThanItsTableTakes) {
  const WorkerTableOptions limits;
  ConnectGuard(kGuardA, 0);
  Submit(1, MakeJob("a", 2000, 0, 0), 10);
  EXPECT_EQ(orders_.size(), limits.max_open_orders);
  ReportEnd(0, RunOutcome::kDone, 20);
  EXPECT_EQ(orders_.size(), limits.max_open_orders + 1);
}

TEST_F(JobSchedulerTest, AGuardGetsNoMoreBytesOfOrdersThanItsFrameTakes) {
  const WorkerTableOptions limits;
  ConnectGuard(kGuardA, 0);
  HeldJob job = MakeJob("a", 2000, 0, 0);
  job.payload.assign(4000, 'x');
  Submit(1, job, 10);
  EXPECT_GT(orders_.size(), 0U);
  EXPECT_LE(orders_.size() * job.payload.size(),
            limits.max_order_bytes + job.payload.size());
}

}  // namespace
}  // namespace qs::test
