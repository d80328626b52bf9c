#include "held/run_supervisor.h"

#include <gtest/gtest.h>

#include "held_harness.h"

namespace qs::test {
namespace {

// A keeper with a serving worker and one home whose lease holds.
class RunSupervisorTest : public ::testing::Test {
 protected:
  void SetUp() override {
    keeper_.OnAnnouncement(MakeAnnouncement(), At(0));
    keeper_.OnSessionUp(kSession, kHome, At(0));
    Take(0);
    Hold(0, {}, {});
    Echo(kSession, 0);
  }

  std::vector<SupervisorAction> Take(int64_t ms) {
    std::vector<SupervisorAction> actions = keeper_.TakeActions(At(ms));
    for (const SendPoll& hold : ActionsOfType<SendPoll>(actions)) {
      (hold.is_immediate ? look_ : hold_) = hold;
      looks_ += hold.is_immediate ? 1 : 0;
    }
    for (const SendReport& sent : ActionsOfType<SendReport>(actions)) {
      for (const RunEnd& end : sent.report.ends) ends_.push_back(end);
      reports_[sent.session] = sent.report;
    }
    for (const SendStart& start : ActionsOfType<SendStart>(actions)) {
      starts_.push_back(start);
    }
    for (const SendStop& stop : ActionsOfType<SendStop>(actions))
      stops_.push_back(stop);
    return actions;
  }

  // The worker answers the open hold.
  void Hold(int64_t ms, std::vector<PollReply::Running> running,
            std::vector<PollReply::Ended> ended) {
    PollReply reply;
    reply.verdict = WorkerVerdict::kAccepted;
    reply.worker_clock = Millis(100'000 + ms);
    reply.started_at = life_;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    keeper_.OnPollReply(hold_, reply, At(ms), At(ms));
    Take(ms);
  }

  void Echo(uint64_t session, int64_t ms, WorkByUrgency waiting_work = {}) {
    RunOrders orders;
    orders.echo = reports_[session].stamp;
    orders.waiting_work = waiting_work;
    keeper_.OnOrders(session, orders, At(ms));
    Take(ms);
  }

  void Order(int64_t ms, std::vector<RunOrder> list,
             std::vector<uint64_t> stops = {}) {
    RunOrders orders;
    orders.echo = reports_[kSession].stamp;
    orders.orders = std::move(list);
    orders.stops = std::move(stops);
    keeper_.OnOrders(kSession, std::move(orders), At(ms));
    Take(ms);
  }

  void Accept(const SendStart& start, int64_t ms) {
    keeper_.OnStartReply(
        start, {WorkerVerdict::kAccepted, Millis(100'000 + ms)}, At(ms));
    Take(ms);
  }

  DecisionLog log_;
  RunSupervisor keeper_{RunSupervisorOptions(), 500, &log_, At(-10'000)};
  uint64_t life_ = 1000;
  SendPoll hold_;
  SendPoll look_;
  int looks_ = 0;
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
  Order(10, orders);
  ASSERT_EQ(starts_.size(), 8U);  // 8 x 4 cores of 32.
  EXPECT_EQ(keeper_.used().cpu_millis, 32'000);
  for (const SendStart& start : std::vector<SendStart>(starts_)) {
    Accept(start, 11);
  }
  EXPECT_EQ(starts_.size(), 8U);
  Hold(100, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 9U);
  EXPECT_EQ(starts_.back().call.task, "t9");
}

TEST_F(RunSupervisorTest, AStartDoesNotOutliveItsLease) {
  Order(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_LE(starts_[0].call.deadline, Millis(100'010 + 1000));
}

TEST_F(RunSupervisorTest, StopsTheRunsOfAHomeThatDisconnects) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  keeper_.OnSessionDown(kSession, At(20));
  Take(20);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.task, "t1");
  // The room is free only when the end is certain.
  EXPECT_EQ(keeper_.used().cpu_millis, 4000);
  keeper_.OnStopReply(stops_[0], {WorkerVerdict::kAccepted, std::nullopt},
                      At(22));
  Hold(30, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  EXPECT_EQ(keeper_.used().cpu_millis, 0);
}

TEST_F(RunSupervisorTest, StopsTheRunsOfAHomeThatIsSilentThoughConnected) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  keeper_.OnTimer(At(600));
  Take(600);
  EXPECT_TRUE(stops_.empty());
  keeper_.OnTimer(At(760));
  Take(760);
  EXPECT_EQ(stops_.size(), 1U);
}

TEST_F(RunSupervisorTest, RefusesAnOrderWhoseHomeEchoesAnOldReport) {
  keeper_.OnOrders(kSession,
                   {reports_[kSession].stamp, {}, {MakeOrder(1, "t1")}, {}},
                   At(2000));
  Take(2000);
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

TEST_F(RunSupervisorTest, ADrainingWorkerGetsNothingNew) {
  WorkerAnnouncement draining = MakeAnnouncement(1000, 2);
  draining.is_draining = true;
  keeper_.OnAnnouncement(draining, At(10));
  Order(11, {MakeOrder(1, "t1")});
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kExecutorDraining);
  // A heartbeat from before that was held up does not undo it.
  keeper_.OnAnnouncement(MakeAnnouncement(1000, 1), At(12));
  EXPECT_EQ(keeper_.state(At(12)), ServingState::kDraining);
}

TEST_F(RunSupervisorTest, AnAnnouncementOfAFormerLifeIsIgnored) {
  life_ = 2000;
  keeper_.OnAnnouncement(MakeAnnouncement(2000, 1), At(10));
  keeper_.OnAnnouncement(MakeAnnouncement(1000, 50), At(11));
  ASSERT_TRUE(keeper_.worker());
  EXPECT_EQ(keeper_.worker()->incarnation.started_at, 2000U);
}

TEST_F(RunSupervisorTest, ANewLifeOfTheWorkerEndsTheRunsOfTheOld) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  keeper_.OnAnnouncement(MakeAnnouncement(2000, 1), At(20));
  Take(20);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_EQ(keeper_.used().cpu_millis, 0);
}

TEST_F(RunSupervisorTest, RaisesAFencingTokenThatTheWorkerRefuses) {
  PollReply fenced;
  fenced.verdict = WorkerVerdict::kFenced;
  uint64_t last = hold_.call.fence;
  for (int i = 0; i < 5; ++i) {
    keeper_.OnPollReply(hold_, fenced, At(i), At(i));
    Take(i);
    EXPECT_GT(hold_.call.fence, last);
    last = hold_.call.fence;
  }
}

TEST_F(RunSupervisorTest, AnUnansweredStartKeepsItsRoomUntilItCannotHappen) {
  Order(10, {MakeOrder(1, "t1")});
  for (int i = 0; i < 3; ++i) {
    keeper_.OnStartReply(starts_.back(),
                         {WorkerVerdict::kNoAnswer, std::nullopt}, At(20 + i));
    Take(20 + i);
  }
  EXPECT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[0].call.attempt, starts_[2].call.attempt);
  Hold(200, {}, {});
  EXPECT_EQ(keeper_.used().cpu_millis, 4000);
  // Past the deadline on the worker's clock the order is refused as late.
  Hold(1100, {}, {});
  EXPECT_EQ(keeper_.used().cpu_millis, 0);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

TEST_F(RunSupervisorTest, StopsWhatItDidNotOrder) {
  Hold(50, {{"foreign", 3, 10}}, {});
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.task, "foreign");
}

// The first answer after a restart tells of ends and of runs of the former
// guard alike. Entries must not take that for a worker without them.
TEST(RunKeeperStartTest, IsNotSettledWhileARunOfItsFormerSelfGoesOn) {
  DecisionLog log;
  RunSupervisor keeper(RunSupervisorOptions(), 500, &log, At(0));
  keeper.OnAnnouncement(MakeAnnouncement(), At(100));
  keeper.OnSessionUp(kSession, kHome, At(100));
  const auto holds = ActionsOfType<SendPoll>(keeper.TakeActions(At(100)));
  ASSERT_EQ(holds.size(), 1U);
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.started_at = 1000;
  reply.running = {{"running", 1, 10}};
  reply.ended = {{1, "ended", 1, RunEnding::kDone}};
  keeper.OnPollReply(holds[0], reply, At(100), At(102));
  const auto reports = ActionsOfType<SendReport>(keeper.TakeActions(At(300)));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_FALSE(reports[0].report.is_settled);
  EXPECT_EQ(reports[0].report.state, ServingState::kAbsent);
}

TEST_F(RunSupervisorTest, ARunWithoutProgressIsStoppedAndReported) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  for (int64_t ms = 100; ms <= 300; ms += 50) {
    Echo(kSession, ms);
    Hold(ms, {{"t1", 1, 4}}, {});
  }
  ASSERT_EQ(stops_.size(), 1U);
  keeper_.OnStopReply(stops_[0], {WorkerVerdict::kAccepted, std::nullopt},
                      At(810));
  Hold(820, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kRunStalled);
}

TEST_F(RunSupervisorTest, ARunThatTakesLongButMovesGoesOn) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  for (int64_t ms = 100; ms <= 3000; ms += 100) {
    Echo(kSession, ms);
    Hold(ms, {{"t1", 1, static_cast<uint32_t>(ms / 100)}}, {});
  }
  EXPECT_TRUE(stops_.empty());
}

TEST_F(RunSupervisorTest, ASilentWorkersRunsAreLostOnceTheirLeaseHasLapsed) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  const PollReply silence;
  int64_t lost_at = 0;
  for (int64_t ms = 20; ms <= 4000 && lost_at == 0; ms += 20) {
    if (ms % 200 == 0) {
      keeper_.OnPollReply(hold_, silence, At(ms), At(ms));
      RunOrders echo;
      echo.echo = reports_[kSession].stamp;
      keeper_.OnOrders(kSession, echo, At(ms));
    }
    keeper_.OnTimer(At(ms));
    Take(ms);
    if (!ends_.empty()) lost_at = ms;
  }
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_GE(lost_at, 1020);
}

// Pattern: a worker that leaves calls unanswered under load. Ends, and the room
// that they make, must not wait for the timeout of a hold.
TEST_F(RunSupervisorTest, ALostHoldDoesNotHideEnds) {
  Order(10, {MakeOrder(1, "t1")});
  Accept(starts_[0], 11);
  const PollReply silence;
  keeper_.OnPollReply(hold_, silence, At(50), At(50));  // One loss is known.
  Take(50);
  ASSERT_EQ(looks_, 0);
  keeper_.OnTimer(At(80));  // The next hold is lost too.
  Take(80);
  ASSERT_EQ(looks_, 1);
  EXPECT_EQ(look_.call.wait, Millis(0));
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.started_at = life_;
  reply.ended = {{1, "t1", 1, RunEnding::kDone}};
  keeper_.OnPollReply(look_, reply, At(80), At(82));
  Take(82);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
  // The overtaken answer of the hold neither revives nor repeats anything.
  PollReply old;
  old.verdict = WorkerVerdict::kAccepted;
  old.started_at = life_;
  old.running = {{"t1", 1, 50}};
  keeper_.OnPollReply(hold_, old, At(51), At(90));
  Take(90);
  EXPECT_TRUE(stops_.empty());
  EXPECT_EQ(ends_.size(), 1U);
}

// Two looks under way while a start is: one saw the run, the other did not yet,
// and its answer comes last.
TEST_F(RunSupervisorTest, AnOvertakenAnswerDoesNotEndAYoungRun) {
  Order(10, {MakeOrder(1, "t1")});
  PollReply seen;
  seen.verdict = WorkerVerdict::kAccepted;
  seen.started_at = life_;
  seen.running = {{"t1", 1, 1}};
  keeper_.OnPollReply(hold_, seen, At(11), At(14));
  PollReply before;
  before.verdict = WorkerVerdict::kAccepted;
  before.started_at = life_;
  keeper_.OnPollReply(hold_, before, At(11), At(15));
  Take(15);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(keeper_.used().cpu_millis, 4000);
}

// Pattern: a full fleet of many entries, and short tasks. Who has tasks that
// wait must not hear of room only when others have taken it.
TEST_F(RunSupervisorTest, RoomIsToldAtOnceToEntriesWithWorkThatWaits) {
  constexpr uint64_t kMore = 6;
  for (uint64_t i = 0; i < kMore; ++i) {
    keeper_.OnSessionUp(100 + i, Incarnation{1000 + i}, At(5));
  }
  Take(5);
  Order(10, {MakeOrder(1, "t", 32'000)});
  Accept(starts_[0], 11);
  Hold(12, {{"t", 1, 0}}, {});
  Echo(104, 13, {5000, 0, 0});
  Take(300);
  Echo(104, 310, {5000, 0, 0});
  const uint64_t before = reports_[104].stamp;
  Hold(320, {}, {{1, "t", 1, RunEnding::kDone}});
  EXPECT_GT(reports_[104].stamp, before);
  EXPECT_EQ(reports_[104].used.cpu_millis, 0);
  size_t told = 0;
  for (const auto& [session, report] : reports_) {
    if (session != kSession && report.stamp == reports_[104].stamp) ++told;
  }
  EXPECT_EQ(told, RunSupervisorOptions().room_told);
}

// Pattern: an entry that is cut off in a burst. What it last told of its
// backlog must not make the others refuse.
TEST_F(RunSupervisorTest, WorkToldByAnEntryThatFellSilentIsForgotten) {
  keeper_.OnSessionUp(kOtherSession, kOtherHome, At(5));
  Take(5);
  Echo(kOtherSession, 10, {90'000, 0, 0});
  Echo(kSession, 400);
  keeper_.OnTimer(At(700));
  Take(700);
  EXPECT_EQ(reports_[kSession].waiting_work, WorkByUrgency{});
}

// Pattern: a full worker. Urgent tasks pass those that can wait.
TEST_F(RunSupervisorTest, UrgentTasksStartFirstWhenRoomIsShort) {
  Order(10, {MakeOrder(1, "big", 32'000)});
  Accept(starts_[0], 11);
  Order(12, {MakeOrder(2, "patient", 4000, 900)});
  Order(13, {MakeOrder(3, "urgent", 4000, 50)});
  Hold(30, {}, {{1, "big", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[1].call.task, "urgent");
}

// Pattern: bursts from several entries at once. The guard gives back what would
// wait long, so that it can go elsewhere.
TEST_F(RunSupervisorTest, AFullQueueGivesOrdersBack) {
  std::vector<RunOrder> orders = {MakeOrder(1, "big", 32'000)};
  for (uint64_t i = 2; i <= 8; ++i) {
    orders.push_back(MakeOrder(i, "t" + std::to_string(i)));
  }
  Order(10, orders);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().reason, Reason::kExecutorQueueFull);
  EXPECT_EQ(ends_.back().outcome, RunOutcome::kNotStarted);
}

// Pattern: a worker that fails all it starts looks idle and attracts work.
TEST_F(RunSupervisorTest, AWorkerThatFailsEverythingIsClosedAndTriedAgain) {
  for (uint64_t i = 1; i <= 3; ++i) {
    const std::string task = "t" + std::to_string(i);
    Order(10, {MakeOrder(i, task)});
    Accept(starts_.back(), 11);
    Hold(12, {}, {{i, task, 1, RunEnding::kFailed}});
  }
  EXPECT_EQ(keeper_.state(At(13)), ServingState::kBreakerOpen);
  Hold(700, {}, {});
  EXPECT_EQ(keeper_.state(At(700)), ServingState::kServing);
}

}  // namespace
}  // namespace qs::test
