#include "held/run_supervisor.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "held_harness.h"

namespace qs::test {
namespace {

// A supervisor with a serving worker and one home whose lease is valid.
class RunSupervisorTest : public ::testing::Test {
 protected:
  void SetUp() override {
    supervisor_.OnAnnouncement(MakeAnnouncement(), At(0));
    supervisor_.OnSessionUp(kSession, kHome, At(0));
    CollectActions(0);
    AnswerPoll(0, {}, {});
    EchoReport(kSession, 0);
  }

  // Fetches the actions that are due and records them in the members below.
  std::vector<SupervisorAction> CollectActions(int64_t ms) {
    std::vector<SupervisorAction> due = supervisor_.TakeActions(At(ms));
    for (const SendPoll& hold : ActionsOfType<SendPoll>(due)) {
      (hold.is_immediate ? immediate_poll_ : long_poll_) = hold;
      immediate_poll_count_ += hold.is_immediate ? 1 : 0;
    }
    for (const SendReport& sent : ActionsOfType<SendReport>(due)) {
      for (const RunEnd& end : sent.report.ends) ends_.push_back(end);
      reports_[sent.session] = sent.report;
    }
    for (const SendStart& start : ActionsOfType<SendStart>(due)) {
      starts_.push_back(start);
    }
    for (const SendStop& s : ActionsOfType<SendStop>(due)) stops_.push_back(s);
    return due;
  }

  // Answers the outstanding long poll as the worker would.
  void AnswerPoll(int64_t ms, std::vector<PollReply::Running> running,
                  std::vector<PollReply::Ended> ended) {
    PollReply reply;
    reply.verdict = WorkerVerdict::kAccepted;
    reply.worker_clock = Millis(100'000 + ms);
    reply.started_at = worker_started_at_;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    supervisor_.OnPollReply(long_poll_, reply, At(ms), At(ms));
    CollectActions(ms);
  }

  // Echoes the newest report of the session.
  void EchoReport(uint64_t session, int64_t ms,
                  WorkByUrgency waiting_work = {}) {
    RunOrders orders;
    orders.echo = reports_[session].stamp;
    orders.waiting_work = waiting_work;
    supervisor_.OnOrders(session, orders, At(ms));
    CollectActions(ms);
  }

  void PlaceOrders(int64_t ms, std::vector<RunOrder> list,
                   std::vector<uint64_t> stops = {}) {
    RunOrders orders;
    orders.echo = reports_[kSession].stamp;
    orders.orders = std::move(list);
    orders.stops = std::move(stops);
    supervisor_.OnOrders(kSession, std::move(orders), At(ms));
    CollectActions(ms);
  }

  void AcceptStart(const SendStart& start, int64_t ms) {
    supervisor_.OnStartReply(
        start, {WorkerVerdict::kAccepted, Millis(100'000 + ms)}, At(ms));
    CollectActions(ms);
  }

  DecisionLog log_;
  RunSupervisor supervisor_{RunSupervisorOptions(), 500, &log_, At(-10'000)};
  uint64_t worker_started_at_ = 1000;
  SendPoll long_poll_;
  SendPoll immediate_poll_;
  int immediate_poll_count_ = 0;
  std::vector<SendStart> starts_;
  std::vector<SendStop> stops_;
  std::vector<RunEnd> ends_;
  std::map<uint64_t, RunReport> reports_;
};

TEST_F(RunSupervisorTest, StartsOnlyWhatFitsAndTheNextWhenAnEndIsCertain) {
  std::vector<RunOrder> orders;
  for (uint64_t i = 1; i <= 9; ++i) {
    orders.push_back(MakeOrder(i, "t" + std::to_string(i)));
  }
  PlaceOrders(10, orders);
  ASSERT_EQ(starts_.size(), 8U);  // 8 x 4 cores of 32.
  EXPECT_EQ(supervisor_.used().cpu_millis, 32'000);
  for (const SendStart& start : std::vector<SendStart>(starts_)) {
    AcceptStart(start, 11);
  }
  EXPECT_EQ(starts_.size(), 8U);
  AnswerPoll(100, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 9U);
  EXPECT_EQ(starts_.back().call.task, "t9");
}

// Guards against a run that is reported as not started while an earlier copy of
// its start can still be carried out: a later copy may have an earlier
// deadline.
TEST_F(RunSupervisorTest, AStartIsOverOnlyWhenAllItsCopiesAre) {
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  for (int64_t ms = 100; ms <= 600; ms += 100) {
    AnswerPoll(ms, {}, {});
    EchoReport(kSession, ms);
  }
  PlaceOrders(610, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  const Millis first_deadline = starts_[0].call.deadline;
  RunOrders orders;
  orders.echo = 10'013;  // The report of 12 ms.
  orders.orders = {MakeOrder(2, "t2")};
  supervisor_.OnOrders(kOtherSession, orders, At(615));
  CollectActions(615);
  ASSERT_EQ(starts_.size(), 2U);
  AcceptStart(starts_[1], 616);
  for (const int64_t ms : {690, 770, 850}) {
    supervisor_.OnStartReply(starts_[ms == 690 ? 0 : starts_.size() - 1],
                             {WorkerVerdict::kNoAnswer, std::nullopt}, At(ms));
    CollectActions(ms);
  }
  ASSERT_EQ(starts_.size(), 4U);
  ASSERT_LT(starts_.back().call.deadline, first_deadline);
  const auto end_of_first = [&] {
    return std::count_if(ends_.begin(), ends_.end(),
                         [](const RunEnd& end) { return end.number == 1; });
  };
  for (int64_t ms = 900; Millis(100'000 + ms) <= first_deadline; ms += 50) {
    EchoReport(kSession, ms);
    AnswerPoll(ms, {}, {});
    EXPECT_EQ(end_of_first(), 0) << "at " << ms;
  }
  const int64_t over = first_deadline.count() - 100'000 + 1;
  AnswerPoll(over, {}, {});
  EXPECT_EQ(end_of_first(), 1);
}

TEST_F(RunSupervisorTest, AStartDoesNotOutliveItsLease) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_LE(starts_[0].call.deadline, Millis(100'010 + 1000));
}

TEST_F(RunSupervisorTest, StopsTheRunsOfAHomeThatDisconnects) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSessionDown(kSession, At(20));
  CollectActions(20);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.task, "t1");
  // The capacity becomes free only when the end is certain.
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  supervisor_.OnStopReply(stops_[0], {WorkerVerdict::kAccepted, std::nullopt},
                          At(22));
  AnswerPoll(30, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  EXPECT_EQ(supervisor_.used().cpu_millis, 0);
}

TEST_F(RunSupervisorTest, StopsTheRunsOfAHomeThatIsSilentThoughConnected) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnTimer(At(600));
  CollectActions(600);
  EXPECT_TRUE(stops_.empty());
  supervisor_.OnTimer(At(760));
  CollectActions(760);
  EXPECT_EQ(stops_.size(), 1U);
}

// Guards against two runs of one task: a worker that carries out no stop, but
// answers polls, must not keep a run for longer than its home counts on.
TEST_F(RunSupervisorTest, AnUnstoppableRunsLeaseEndsThoughOtherRunsNeedIt) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t2")};
  supervisor_.OnOrders(kOtherSession, orders, At(15));
  CollectActions(15);
  ASSERT_EQ(starts_.size(), 2U);
  AcceptStart(starts_[1], 16);
  Millis lease_end{0};
  for (int64_t ms = 20; ms <= 4000; ms += 20) {
    EchoReport(kOtherSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms % 100 == 0) {
      const auto percent = static_cast<uint32_t>(ms / 50);
      AnswerPoll(ms, {{"t1", 1, percent}, {"t2", 1, percent}}, {});
    }
    lease_end =
        std::max(lease_end, long_poll_.call.deadline.value_or(Millis(0)));
  }
  EXPECT_GT(stops_.size(), 1U);
  // The home repeats the task 1900 ms after the last report, which it echoed
  // when the test began.
  EXPECT_LT(lease_end, Millis(100'000 + 1900 - 200));
  EXPECT_NE(supervisor_.state(At(4000)), ServingState::kServing);
}

// Guards against two runs of one task: a caller submits its job again 1300 ms
// after it lost the answer, and by then a withdrawn run must have ended.
TEST_F(RunSupervisorTest, AWithdrawnRunEndsBeforeItsJobCanBeSubmittedAgain) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  PlaceOrders(20, {}, {1});
  Millis lease_end{0};
  for (int64_t ms = 40; ms <= 3000; ms += 20) {
    EchoReport(kSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms % 100 == 0) AnswerPoll(ms, {{"t1", 1, 10}}, {});
    lease_end =
        std::max(lease_end, long_poll_.call.deadline.value_or(Millis(0)));
  }
  EXPECT_GT(stops_.size(), 1U);
  EXPECT_LT(lease_end, Millis(100'020 + 1300));
}

// Guards against a lease that is measured from the late arrival of a call: a
// worker that was suspended along with its guard has an earlier clock than the
// guard's estimate.
TEST_F(RunSupervisorTest, ASuspendedGuardReadsTheWorkersClockAnew) {
  supervisor_.OnSuspended(At(3000));
  AnswerPoll(3000, {}, {});
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.worker_clock = Millis(100'100);
  reply.started_at = worker_started_at_;
  supervisor_.OnSuspended(At(3010));
  supervisor_.OnPollReply(long_poll_, reply, At(3020), At(3020));
  CollectActions(3020);
  EchoReport(kSession, 3020);
  PlaceOrders(3030, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_LE(starts_[0].call.deadline, Millis(100'110 + 1000));
}

TEST_F(RunSupervisorTest, RefusesAnOrderWhoseHomeEchoesAnOldReport) {
  supervisor_.OnOrders(kSession,
                       {reports_[kSession].stamp, {}, {MakeOrder(1, "t1")}, {}},
                       At(2000));
  CollectActions(2000);
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

TEST_F(RunSupervisorTest, ADrainingWorkerGetsNothingNew) {
  WorkerAnnouncement draining = MakeAnnouncement(1000, 2);
  draining.is_draining = true;
  supervisor_.OnAnnouncement(draining, At(10));
  PlaceOrders(11, {MakeOrder(1, "t1")});
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kExecutorDraining);
  // A delayed heartbeat from before the drain does not end the drain.
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 1), At(12));
  EXPECT_EQ(supervisor_.state(At(12)), ServingState::kDraining);
}

TEST_F(RunSupervisorTest, AnAnnouncementOfAnEarlierIncarnationIsIgnored) {
  worker_started_at_ = 2000;
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(10));
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 50), At(11));
  ASSERT_TRUE(supervisor_.worker());
  EXPECT_EQ(supervisor_.worker()->incarnation.started_at, 2000U);
}

TEST_F(RunSupervisorTest, ANewIncarnationOfTheWorkerEndsTheRunsOfTheOld) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(20));
  CollectActions(20);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_EQ(supervisor_.used().cpu_millis, 0);
}

TEST_F(RunSupervisorTest, RaisesAFencingTokenThatTheWorkerRefuses) {
  PollReply fenced;
  fenced.verdict = WorkerVerdict::kFenced;
  uint64_t last = long_poll_.call.fence;
  for (int i = 0; i < 5; ++i) {
    supervisor_.OnPollReply(long_poll_, fenced, At(i), At(i));
    CollectActions(i);
    EXPECT_GT(long_poll_.call.fence, last);
    last = long_poll_.call.fence;
  }
}

TEST_F(RunSupervisorTest, AnUnansweredStartOccupiesCapacityUntilItsDeadline) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  for (int i = 0; i < 3; ++i) {
    supervisor_.OnStartReply(
        starts_.back(), {WorkerVerdict::kNoAnswer, std::nullopt}, At(20 + i));
    CollectActions(20 + i);
  }
  EXPECT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[0].call.attempt, starts_[2].call.attempt);
  AnswerPoll(200, {}, {});
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  // Once the worker's clock has passed the deadline, the worker would refuse
  // the start, so the run cannot start any more.
  AnswerPoll(1100, {}, {});
  EXPECT_EQ(supervisor_.used().cpu_millis, 0);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

TEST_F(RunSupervisorTest, StopsRunsThatItDidNotStart) {
  AnswerPoll(50, {{"foreign", 3, 10}}, {});
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.task, "foreign");
}

// The first poll answer after a restart of the guard lists ends and current
// runs that the earlier process started. Until those runs have ended, the
// guard's reports must not say that the worker is settled.
TEST(RunSupervisorStartTest, IsNotSettledWhileARunOfAnEarlierProcessIsRunning) {
  DecisionLog log;
  RunSupervisor supervisor(RunSupervisorOptions(), 500, &log, At(0));
  supervisor.OnAnnouncement(MakeAnnouncement(), At(100));
  supervisor.OnSessionUp(kSession, kHome, At(100));
  const auto polls = ActionsOfType<SendPoll>(supervisor.TakeActions(At(100)));
  ASSERT_EQ(polls.size(), 1U);
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.started_at = 1000;
  reply.running = {{"running", 1, 10}};
  reply.ended = {{1, "ended", 1, RunEnding::kDone}};
  supervisor.OnPollReply(polls[0], reply, At(100), At(102));
  const auto reports =
      ActionsOfType<SendReport>(supervisor.TakeActions(At(300)));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_FALSE(reports[0].report.is_settled);
  EXPECT_EQ(reports[0].report.state, ServingState::kAbsent);
}

TEST_F(RunSupervisorTest, ARunWithoutProgressIsStoppedAndReported) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  for (int64_t ms = 100; ms <= 300; ms += 50) {
    EchoReport(kSession, ms);
    AnswerPoll(ms, {{"t1", 1, 4}}, {});
  }
  ASSERT_EQ(stops_.size(), 1U);
  supervisor_.OnStopReply(stops_[0], {WorkerVerdict::kAccepted, std::nullopt},
                          At(810));
  AnswerPoll(820, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kRunStalled);
}

TEST_F(RunSupervisorTest, ALongRunWithProgressIsNotStopped) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  for (int64_t ms = 100; ms <= 3000; ms += 100) {
    EchoReport(kSession, ms);
    AnswerPoll(ms, {{"t1", 1, static_cast<uint32_t>(ms / 100)}}, {});
  }
  EXPECT_TRUE(stops_.empty());
}

TEST_F(RunSupervisorTest, ASilentWorkersRunsAreLostOnceTheirLeaseHasExpired) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  const PollReply no_answer;
  int64_t lost_at = 0;
  for (int64_t ms = 20; ms <= 4000 && lost_at == 0; ms += 20) {
    if (ms % 200 == 0) {
      supervisor_.OnPollReply(long_poll_, no_answer, At(ms), At(ms));
      RunOrders echo;
      echo.echo = reports_[kSession].stamp;
      supervisor_.OnOrders(kSession, echo, At(ms));
    }
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (!ends_.empty()) lost_at = ms;
  }
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_GE(lost_at, 1020);
}

// Guards against a worker that does not answer some calls under load: ends, and
// the capacity that they free, must not wait for the timeout of a poll.
TEST_F(RunSupervisorTest, ALostPollDoesNotDelayEnds) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  const PollReply no_answer;
  // One poll gets no answer.
  supervisor_.OnPollReply(long_poll_, no_answer, At(50), At(50));
  CollectActions(50);
  ASSERT_EQ(immediate_poll_count_, 0);
  // The next long poll gets no answer either.
  supervisor_.OnTimer(At(80));
  CollectActions(80);
  ASSERT_EQ(immediate_poll_count_, 1);
  EXPECT_EQ(immediate_poll_.call.wait, Millis(0));
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.started_at = worker_started_at_;
  reply.ended = {{1, "t1", 1, RunEnding::kDone}};
  supervisor_.OnPollReply(immediate_poll_, reply, At(80), At(82));
  CollectActions(82);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
  // The overtaken answer of the long poll neither stops the ended run nor
  // reports its end again.
  PollReply overtaken;
  overtaken.verdict = WorkerVerdict::kAccepted;
  overtaken.started_at = worker_started_at_;
  overtaken.running = {{"t1", 1, 50}};
  supervisor_.OnPollReply(long_poll_, overtaken, At(51), At(90));
  CollectActions(90);
  EXPECT_TRUE(stops_.empty());
  EXPECT_EQ(ends_.size(), 1U);
}

// Two polls are outstanding while a start is carried out. The answer to one
// lists the run. The answer to the other was compiled before the run started
// and arrives last; it must not end the run.
TEST_F(RunSupervisorTest, AnOvertakenAnswerDoesNotEndANewRun) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  PollReply with_run;
  with_run.verdict = WorkerVerdict::kAccepted;
  with_run.started_at = worker_started_at_;
  with_run.running = {{"t1", 1, 1}};
  supervisor_.OnPollReply(long_poll_, with_run, At(11), At(14));
  PollReply without_run;
  without_run.verdict = WorkerVerdict::kAccepted;
  without_run.started_at = worker_started_at_;
  supervisor_.OnPollReply(long_poll_, without_run, At(11), At(15));
  CollectActions(15);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
}

// Guards against late reports in a full fleet with many entries and short
// tasks: an entry with waiting tasks must not get a report of free capacity
// only after other entries have taken that capacity.
TEST_F(RunSupervisorTest,
       FreedCapacityIsReportedAtOnceToEntriesWithWaitingWork) {
  constexpr uint64_t kOtherEntries = 6;
  for (uint64_t i = 0; i < kOtherEntries; ++i) {
    supervisor_.OnSessionUp(100 + i, Incarnation{1000 + i}, At(5));
  }
  CollectActions(5);
  PlaceOrders(10, {MakeOrder(1, "t", 32'000)});
  AcceptStart(starts_[0], 11);
  AnswerPoll(12, {{"t", 1, 0}}, {});
  EchoReport(104, 13, {5000, 0, 0});
  CollectActions(300);
  EchoReport(104, 310, {5000, 0, 0});
  const uint64_t before = reports_[104].stamp;
  AnswerPoll(320, {}, {{1, "t", 1, RunEnding::kDone}});
  EXPECT_GT(reports_[104].stamp, before);
  EXPECT_EQ(reports_[104].used.cpu_millis, 0);
  size_t count = 0;
  for (const auto& [session, report] : reports_) {
    if (session != kSession && report.stamp == reports_[104].stamp) ++count;
  }
  EXPECT_EQ(count, RunSupervisorOptions().freed_capacity_notices);
}

// Guards against an entry that becomes unreachable during a burst: its last
// report of waiting work must not make other entries refuse jobs.
TEST_F(RunSupervisorTest, WaitingWorkOfAnUnreachableEntryExpires) {
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(5));
  CollectActions(5);
  EchoReport(kOtherSession, 10, {90'000, 0, 0});
  EchoReport(kSession, 400);
  supervisor_.OnTimer(At(700));
  CollectActions(700);
  EXPECT_EQ(reports_[kSession].waiting_work, WorkByUrgency{});
}

// On a full worker, urgent tasks start before tasks that can wait.
TEST_F(RunSupervisorTest, UrgentTasksStartFirstWhenCapacityIsShort) {
  PlaceOrders(10, {MakeOrder(1, "big", 32'000)});
  AcceptStart(starts_[0], 11);
  PlaceOrders(12, {MakeOrder(2, "patient", 4000, 900)});
  PlaceOrders(13, {MakeOrder(3, "urgent", 4000, 50)});
  AnswerPoll(30, {}, {{1, "big", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[1].call.task, "urgent");
}

// Guards against long waits when several entries send bursts at once: the guard
// refuses orders that would wait long, so that they can go to other workers.
TEST_F(RunSupervisorTest, AFullQueueRefusesOrders) {
  std::vector<RunOrder> orders = {MakeOrder(1, "big", 32'000)};
  for (uint64_t i = 2; i <= 8; ++i) {
    orders.push_back(MakeOrder(i, "t" + std::to_string(i)));
  }
  PlaceOrders(10, orders);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().reason, Reason::kExecutorQueueFull);
  EXPECT_EQ(ends_.back().outcome, RunOutcome::kNotStarted);
}

// Guards against a worker that fails every run at once: it seems to be idle and
// would attract work.
TEST_F(RunSupervisorTest,
       AWorkerThatFailsEverythingOpensTheBreakerAndIsProbed) {
  for (uint64_t i = 1; i <= 3; ++i) {
    const std::string task = "t" + std::to_string(i);
    PlaceOrders(10, {MakeOrder(i, task)});
    AcceptStart(starts_.back(), 11);
    AnswerPoll(12, {}, {{i, task, 1, RunEnding::kFailed}});
  }
  EXPECT_EQ(supervisor_.state(At(13)), ServingState::kBreakerOpen);
  AnswerPoll(700, {}, {});
  EXPECT_EQ(supervisor_.state(At(700)), ServingState::kServing);
}

}  // namespace
}  // namespace qs::test
