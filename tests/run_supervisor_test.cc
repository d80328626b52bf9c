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
    supervisor_.OnEvacuations(MakeEvacuations({}));
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
      for (const WorkerLoss& loss : sent.report.worker_losses) {
        losses_[sent.session].push_back(loss);
      }
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

  // Answers the outstanding long poll with a verdict other than "accepted".
  void FailPoll(int64_t ms, WorkerVerdict verdict) {
    PollReply reply;
    reply.verdict = verdict;
    supervisor_.OnPollReply(long_poll_, reply, At(ms), At(ms));
    CollectActions(ms);
  }

  // The worker starts again as another incarnation with the same id, and
  // answers the poll that names the former one.
  void ReplaceWorker(int64_t ms, uint64_t started_at) {
    worker_started_at_ = started_at;
    supervisor_.OnAnnouncement(MakeAnnouncement(started_at, 1), At(ms));
    CollectActions(ms);
    AnswerPoll(ms, {}, {});
  }

  // The same, and it answers a poll of its own.
  void RestartWorker(int64_t ms, uint64_t started_at) {
    ReplaceWorker(ms, started_at);
    AnswerPoll(ms, {}, {});
  }

  // Orders a run and has the worker accept its start.
  void StartRun(int64_t ms, const RunOrder& order) {
    const size_t before = starts_.size();
    PlaceOrders(ms, {order});
    ASSERT_EQ(starts_.size(), before + 1);
    AcceptStart(starts_.back(), ms);
  }

  // Lets time pass, with echoes of the home and no answer of the worker.
  void PassSilently(int64_t from_ms, int64_t to_ms) {
    for (int64_t ms = from_ms; ms <= to_ms; ms += 20) {
      EchoReport(kSession, ms);
      supervisor_.OnTimer(At(ms));
      CollectActions(ms);
    }
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
  std::map<uint64_t, std::vector<WorkerLoss>> losses_;  // By session.
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
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(2, "t2")};
  supervisor_.OnOrders(kOtherSession, orders, At(615));
  CollectActions(615);
  ASSERT_EQ(starts_.size(), 2U);
  AcceptStart(starts_[1], 616);
  orders.echo = 10'013;  // The report of 12 ms.
  orders.orders.clear();
  orders.stops = {2};
  supervisor_.OnOrders(kOtherSession, orders, At(617));
  CollectActions(617);
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

// Guards against two runs of one task: a lease that was extended for other runs
// before a run started must not keep it for longer than its home counts on.
TEST_F(RunSupervisorTest, ALeaseFromBeforeItsStartDoesNotOutliveARunsLimit) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t2")};
  Millis lease_end{0};
  const auto pass_time = [&](int64_t ms) {
    AnswerPoll(ms, {{"t1", 1, static_cast<uint32_t>(ms / 10)}}, {});
    EchoReport(kSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    lease_end =
        std::max(lease_end, long_poll_.call.deadline.value_or(Millis(0)));
  };
  for (int64_t ms = 100; ms <= 500; ms += 100) pass_time(ms);
  ASSERT_EQ(lease_end, Millis(100'500) + kRenewedLease);
  supervisor_.OnOrders(kOtherSession, orders, At(510));
  CollectActions(510);
  for (int64_t ms = 510; ms <= 700 && starts_.size() == 1; ms += 10) {
    pass_time(ms);
  }
  // The home's newest echo is of 12 ms.
  const Millis limit = Millis(100'012) + kUnstoppedRunLimit;
  EXPECT_TRUE(starts_.size() == 1 || lease_end <= limit);
}

// The same run starts once its home echoes a newer report.
TEST_F(RunSupervisorTest, ARunStartsOnceTheLeaseInForceFitsItsLimit) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t2")};
  CollectActions(290);
  EchoReport(kSession, 295);
  AnswerPoll(300, {{"t1", 1, 30}}, {});
  // The lease is asked for until 1300 ms, the run is limited to 1212 ms.
  supervisor_.OnOrders(kOtherSession, orders, At(310));
  CollectActions(310);
  EXPECT_EQ(starts_.size(), 1U);
  EchoReport(kOtherSession, 320);
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "t2");
}

TEST_F(RunSupervisorTest, AStartDoesNotOutliveItsLease) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  EXPECT_LE(starts_[0].call.deadline, Millis(100'010) + kRenewedLease);
}

// Guards against two runs of one task: an announcement may come from another
// writer, and a deadline by a clock that is ahead lets runs outlive their
// lease.
TEST_F(RunSupervisorTest, TheClockOfAnAnnouncementExtendsNoLease) {
  WorkerAnnouncement ahead = MakeAnnouncement(1000, 2);
  ahead.worker_clock = Millis(100'000'000);
  supervisor_.OnAnnouncement(ahead, At(10));
  PlaceOrders(15, {MakeOrder(1, "t1")});
  AnswerPoll(20, {}, {});
  PlaceOrders(30, {MakeOrder(2, "t2")});
  CollectActions(200);
  for (const SendStart& start : starts_) {
    EXPECT_LE(start.call.deadline, Millis(100'030) + kRenewedLease);
  }
  EXPECT_LE(long_poll_.call.deadline.value_or(Millis(0)),
            Millis(100'200) + kRenewedLease);
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
  // The home's last echo came 10 ms after the test began.
  EXPECT_LE(lease_end, Millis(100'010) + kUnstoppedRunLimit);
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
  EXPECT_LE(lease_end, Millis(100'020) + kUnstoppedRunLimit);
}

// Guards against two runs of one task: the packet that ends a caller's
// connection may be lost once, so that the entry learns of it 250 ms late and
// has echoed reports meanwhile. The caller counts its 1300 ms from the end.
TEST_F(RunSupervisorTest,
       ARunWhoseCallerIsMissedLateEndsBeforeItIsSubmittedAgain) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  constexpr int64_t kCallerLeft = 20;
  constexpr int64_t kNoticed = kCallerLeft + 250;
  Millis lease_end{0};
  for (int64_t ms = kCallerLeft; ms <= 3000; ms += 10) {
    if (ms <= kNoticed) EchoReport(kSession, ms);
    if (ms == kNoticed) PlaceOrders(ms, {}, {1});
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms % 100 == 0) AnswerPoll(ms, {{"t1", 1, 10}}, {});
    lease_end =
        std::max(lease_end, long_poll_.call.deadline.value_or(Millis(0)));
  }
  EXPECT_GT(stops_.size(), 1U);
  // A slow clock of the worker and its delay add up to 98 ms.
  EXPECT_LE(lease_end, Millis(100'000 + kCallerLeft + 1300 - 98));
}

// Guards against work that one entry's failure takes from the others: while the
// runs of a silent home stop, orders of another home go on to wait and start.
TEST_F(RunSupervisorTest, ASilentHomesStopGivesBackNoOrdersOfOthers) {
  StartRun(10, MakeOrder(1, "big", 32'000));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  for (int64_t ms = 100; ms <= 700; ms += 10) {
    EchoReport(kOtherSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms % 100 == 0) {
      AnswerPoll(ms, {{"big", 1, static_cast<uint32_t>(ms / 10)}}, {});
    }
  }
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "waiting")};
  supervisor_.OnOrders(kOtherSession, orders, At(702));
  CollectActions(702);
  for (int64_t ms = 710; ms <= 780; ms += 10) {
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    EXPECT_EQ(supervisor_.state(At(ms)), ServingState::kServing) << ms;
  }
  ASSERT_FALSE(stops_.empty());
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(785, {}, {{1, "big", 1, RunEnding::kInterrupted}});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "waiting");
}

// Guards against two runs of one task: a worker that was suspended along with
// its guard still has its leases when both resume.
TEST_F(RunSupervisorTest, ASuspendedGuardDoesNotCountTheWorkersLeaseAsExpired) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSuspended(At(1400));
  supervisor_.OnTimer(At(1400));
  CollectActions(1400);
  EXPECT_EQ(stops_.size(), 1U);
  EXPECT_TRUE(ends_.empty());
}

// Guards against two runs of one task: an order to stop that was held up does
// not put off the time by which the run must have ended.
TEST_F(RunSupervisorTest, AStopThatArrivesLateDoesNotPutOffTheEndOfTheRun) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  RunOrders held_up;
  held_up.echo = reports_[kSession].stamp;
  const uint64_t echo = held_up.echo;
  held_up.stops = {1};
  supervisor_.OnOrders(kSession, held_up, At(600));
  CollectActions(600);
  Millis lease_end{0};
  for (int64_t ms = 620; ms <= 3000; ms += 20) {
    EchoReport(kSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    if (ms % 100 == 0) AnswerPoll(ms, {{"t1", 1, 10}}, {});
    lease_end =
        std::max(lease_end, long_poll_.call.deadline.value_or(Millis(0)));
  }
  // The supervisor's stamps count from ten seconds before the test began.
  const auto echo_ms = static_cast<int64_t>(echo) - 1 - 10'000;
  EXPECT_LE(lease_end, Millis(100'000 + echo_ms) + kUnstoppedRunLimit);
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
  EXPECT_LE(starts_[0].call.deadline, Millis(100'110) + kRenewedLease);
}

// Guards against a start whose deadline means nothing: the worker's clock is
// not known after a suspension.
TEST_F(RunSupervisorTest, NothingStartsWhileTheWorkersClockIsNotKnown) {
  CollectActions(390);
  AnswerPoll(400, {}, {});
  EchoReport(kSession, 400);
  supervisor_.OnSuspended(At(410));
  CollectActions(420);
  CollectActions(620);
  EchoReport(kSession, 621);
  PlaceOrders(622, {MakeOrder(1, "t1")});
  EXPECT_TRUE(starts_.empty());
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

// Guards against two runs of one task: a home that was silent for longer than
// its lease counts on the end of its orders, so an echo that is read before the
// timer event does not revive them.
TEST_F(RunSupervisorTest, ALateEchoRevivesNoQueuedOrder) {
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  EchoReport(kOtherSession, 14);
  StartRun(15, MakeOrder(1, "big", 32'000));
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "queued")};
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  CollectActions(2500);
  ends_.clear();
  EchoReport(kOtherSession, 2510);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kHomeSilent);
  EchoReport(kSession, 2512);
  AnswerPoll(2520, {}, {{1, "big", 1, RunEnding::kDone}});
  EXPECT_EQ(starts_.size(), 1U);
}

// The same with a run: it is stopped, and limited by the echo before the
// silence.
TEST_F(RunSupervisorTest, ALateEchoRevivesNoRun) {
  StartRun(10, MakeOrder(1, "t1"));
  CollectActions(790);
  EchoReport(kSession, 795);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.task, "t1");
  for (int64_t ms = 800; ms <= 3000; ms += 50) {
    AnswerPoll(ms, {{"t1", 1, static_cast<uint32_t>(ms / 40)}}, {});
    EchoReport(kSession, ms);
    EXPECT_LE(long_poll_.call.deadline.value_or(Millis(0)),
              Millis(100'010 + 1200));
  }
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

// Guards against starts on a worker that drains: an announcement by another
// writer, whose count is higher than the worker's, hid all later ones of it.
TEST_F(RunSupervisorTest, AnotherWritersAnnouncementHidesNoneOfTheWorker) {
  const auto announce = [&](int64_t ms, uint64_t sequence, int64_t clock,
                            bool is_draining = false) {
    WorkerAnnouncement next = MakeAnnouncement(1000, sequence);
    next.worker_clock = Millis(clock);
    next.is_draining = is_draining;
    supervisor_.OnAnnouncement(next, At(ms));
  };
  constexpr uint64_t kHuge = uint64_t{1} << 53U;
  announce(10, 2, 100'010);
  // Its clock may be right.
  announce(20, kHuge, 100'020);
  announce(30, 3, 100'030, true);
  EXPECT_EQ(supervisor_.state(At(30)), ServingState::kDraining);
  // The worker's own earlier ones are late still.
  announce(40, 2, 100'010);
  announce(50, kHuge, 100'020);
  EXPECT_EQ(supervisor_.state(At(50)), ServingState::kDraining);
  // No clock of the worker is ahead of its answers.
  announce(60, kHuge, 10'000'000);
  EXPECT_EQ(supervisor_.state(At(60)), ServingState::kDraining);
  WorkerAnnouncement without_clock = MakeAnnouncement(1000, kHuge);
  without_clock.worker_clock.reset();
  supervisor_.OnAnnouncement(without_clock, At(70));
  EXPECT_EQ(supervisor_.state(At(70)), ServingState::kDraining);
}

// As above, where the other writer came first.
TEST_F(RunSupervisorTest, AnotherWritersFirstAnnouncementHidesNoneOfTheWorker) {
  WorkerAnnouncement odd = MakeAnnouncement(2000, uint64_t{1} << 53U);
  odd.worker_clock = Millis(10'000'000);
  worker_started_at_ = 2000;
  supervisor_.OnAnnouncement(odd, At(10));
  CollectActions(10);
  AnswerPoll(10, {}, {});
  AnswerPoll(12, {}, {});
  ASSERT_EQ(supervisor_.worker()->incarnation.started_at, 2000U);
  WorkerAnnouncement own = MakeAnnouncement(2000, 2);
  own.worker_clock = Millis(100'020);
  own.is_draining = true;
  supervisor_.OnAnnouncement(own, At(20));
  EXPECT_EQ(supervisor_.state(At(20)), ServingState::kDraining);
}

// Guards against leases without an end, and against starts that count as over
// while they may still be carried out: one answer states a huge clock.
TEST_F(RunSupervisorTest, AHugeClockInAnAnswerEndsNothingAndExtendsNoLease) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  PollReply huge;
  huge.verdict = WorkerVerdict::kAccepted;
  huge.started_at = worker_started_at_;
  huge.worker_clock = Millis(int64_t{1} << 53U);
  supervisor_.OnPollReply(long_poll_, huge, At(20), At(20));
  CollectActions(20);
  EXPECT_TRUE(ends_.empty());
  ASSERT_TRUE(long_poll_.call.deadline);
  EXPECT_LE(*long_poll_.call.deadline, Millis(100'020 + 1000));
  // The worker's clock was set, so that its next answer says the same.
  supervisor_.OnPollReply(long_poll_, huge, At(40), At(40));
  CollectActions(40);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

TEST_F(RunSupervisorTest, AnAnnouncementOfAnEarlierIncarnationIsIgnored) {
  RestartWorker(10, 2000);
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 50), At(11));
  AnswerPoll(12, {}, {});
  ASSERT_TRUE(supervisor_.worker());
  EXPECT_EQ(supervisor_.worker()->incarnation.started_at, 2000U);
}

// Guards against a worker that stays unused for ever: a withdrawal without a
// start time may be a late one of an earlier incarnation.
TEST_F(RunSupervisorTest, AWorkerThatAnnouncesItselfAgainIsNotWithdrawn) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnWithdrawn({"w", 0}, At(20));
  CollectActions(20);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.state(At(20)), ServingState::kAbsent);
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2), At(30));
  EXPECT_EQ(supervisor_.state(At(30)), ServingState::kServing);
}

// Guards against two runs of one task: a late announcement of an incarnation
// that has ended must not lead to starts, which its successor with the same id
// would carry out.
TEST_F(RunSupervisorTest, NothingStartsBeforeAnAnnouncedWorkerHasAnswered) {
  supervisor_.OnWithdrawn({"w", 1000}, At(20));
  supervisor_.OnAnnouncement(MakeAnnouncement(900, 1), At(30));
  CollectActions(30);
  EXPECT_EQ(long_poll_.call.wait, Millis(0));
  PlaceOrders(40, {MakeOrder(1, "t1")});
  EXPECT_TRUE(starts_.empty());
  worker_started_at_ = 2000;
  AnswerPoll(50, {}, {});
  EXPECT_EQ(supervisor_.state(At(50)), ServingState::kAbsent);
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(60));
  CollectActions(60);
  AnswerPoll(62, {}, {});
  EXPECT_EQ(supervisor_.state(At(62)), ServingState::kServing);
}

// Guards against two runs of one task: an announcement may be a late one, come
// from another writer, or be sent while the former incarnation still ends. Its
// start time may follow a jump of the wall clock.
TEST_F(RunSupervisorTest, AnAnnouncementEndsNoRunOfAWorkerThatAnswers) {
  StartRun(10, MakeOrder(1, "t1"));
  StartRun(12, MakeOrder(2, "t2"));
  WorkerAnnouncement other = MakeAnnouncement(9000, 1, 8000);
  other.incarnation.id = "v";
  for (const WorkerAnnouncement& announcement :
       {MakeAnnouncement(2000, 1), MakeAnnouncement(900, 1), other}) {
    supervisor_.OnAnnouncement(announcement, At(20));
    CollectActions(20);
    EXPECT_TRUE(ends_.empty());
    EXPECT_EQ(supervisor_.worker()->incarnation.started_at, 1000U);
    EXPECT_EQ(supervisor_.state(At(20)), ServingState::kServing);
  }
  EXPECT_EQ(supervisor_.used().cpu_millis, 8000);
  EXPECT_TRUE(stops_.empty());
  // The worker is asked at once, and answers as the one that is known.
  EXPECT_EQ(immediate_poll_count_, 1);
  AnswerPoll(30, {{"t1", 1, 10}, {"t2", 1, 10}}, {});
  StartRun(32, MakeOrder(3, "t3"));
  AnswerPoll(100, {{"t2", 1, 90}, {"t3", 1, 70}},
             {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
}

// Guards against two runs of one task: a worker that was announced without its
// start time is not another one when it is announced with it.
TEST(RunSupervisorStartTest, AStartTimeThatIsAnnouncedLaterEndsNoRun) {
  DecisionLog log;
  RunSupervisor supervisor(RunSupervisorOptions(), 500, &log, At(0));
  supervisor.OnEvacuations(MakeEvacuations({}));
  supervisor.OnAnnouncement(MakeAnnouncement(0), At(100));
  const auto answer_poll = [&](int64_t ms,
                               const std::vector<PollReply::Running>& running) {
    for (const SendPoll& poll :
         ActionsOfType<SendPoll>(supervisor.TakeActions(At(ms)))) {
      PollReply reply;
      reply.verdict = WorkerVerdict::kAccepted;
      reply.worker_clock = Millis(100'000 + ms);
      reply.started_at = 1000;
      reply.running = running;
      supervisor.OnPollReply(poll, reply, At(ms), At(ms));
    }
  };
  answer_poll(101, {});
  supervisor.OnSessionUp(kSession, kHome, At(110));
  RunOrders orders;
  orders.echo = ActionsOfType<SendReport>(supervisor.TakeActions(At(111)))
                    .at(0)
                    .report.stamp;
  orders.orders = {MakeOrder(1, "t1")};
  supervisor.OnOrders(kSession, orders, At(112));
  const auto starts = ActionsOfType<SendStart>(supervisor.TakeActions(At(113)));
  ASSERT_EQ(starts.size(), 1U);
  supervisor.OnStartReply(starts[0],
                          {WorkerVerdict::kAccepted, Millis(100'114)}, At(114));
  supervisor.OnAnnouncement(MakeAnnouncement(1000, 2), At(120));
  answer_poll(121, {{"t1", 1, 10}});
  answer_poll(260, {{"t1", 1, 20}});
  EXPECT_FALSE(supervisor.is_idle());
  EXPECT_EQ(supervisor.used().cpu_millis, 4000);
}

// Guards against a late start after a crash: the announced successor serves
// after two polls, one that names the former incarnation and one of its own.
TEST_F(RunSupervisorTest, AnAnnouncedSuccessorServesOnceItHasAnswered) {
  StartRun(10, MakeOrder(1, "t1"));
  WorkerAnnouncement next = MakeAnnouncement(2000, 1);
  next.incarnation.id = "v";
  supervisor_.OnAnnouncement(next, At(20));
  CollectActions(20);
  ASSERT_EQ(immediate_poll_count_, 1);
  EXPECT_EQ(immediate_poll_.call.incarnation.id, "w");
  PollReply reply;
  reply.verdict = WorkerVerdict::kOtherIncarnation;
  supervisor_.OnPollReply(immediate_poll_, reply, At(20), At(21));
  CollectActions(21);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  ASSERT_TRUE(supervisor_.worker());
  EXPECT_EQ(supervisor_.worker()->incarnation.id, "v");
  EXPECT_NE(supervisor_.state(At(21)), ServingState::kServing);
  worker_started_at_ = 2000;
  AnswerPoll(22, {}, {});
  EXPECT_EQ(supervisor_.state(At(22)), ServingState::kServing);
}

// The same with a worker that starts again under its id and tells by its answer
// that it is another one.
TEST_F(RunSupervisorTest, AnAnnouncedSuccessorWithTheSameIdServesAtOnce) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(20));
  CollectActions(20);
  FailPoll(21, WorkerVerdict::kOtherIncarnation);
  ASSERT_EQ(ends_.size(), 1U);
  worker_started_at_ = 2000;
  AnswerPoll(22, {}, {});
  EXPECT_EQ(supervisor_.state(At(22)), ServingState::kServing);
}

// Guards against a worker that stays unused: another writer's announcement may
// arrive after the one of the real successor, and before it.
TEST_F(RunSupervisorTest, ASuccessorServesBesideAnnouncementsOfNoWorker) {
  StartRun(10, MakeOrder(1, "t1"));
  WorkerAnnouncement none = MakeAnnouncement(9000, 1);
  none.incarnation.id = "none";
  WorkerAnnouncement next = MakeAnnouncement(2000, 1);
  next.incarnation.id = "v";
  supervisor_.OnAnnouncement(none, At(20));
  supervisor_.OnAnnouncement(next, At(21));
  none.incarnation.id = "no-one";
  supervisor_.OnAnnouncement(none, At(22));
  CollectActions(22);
  worker_started_at_ = 2000;
  for (int64_t ms = 23; ms < 30; ++ms) {
    if (long_poll_.call.incarnation.id == "v") {
      AnswerPoll(ms, {}, {});
    } else {
      FailPoll(ms, WorkerVerdict::kOtherIncarnation);
    }
  }
  EXPECT_EQ(supervisor_.state(At(30)), ServingState::kServing);
}

// Guards against two runs of one task: a run whose start the next incarnation
// may have carried out is not over because a third one is announced.
TEST_F(RunSupervisorTest, AnAnnouncementEndsNoRunBetweenTwoIncarnations) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  worker_started_at_ = 2000;
  AnswerPoll(20, {{"t1", 1, 1}}, {});
  ASSERT_FALSE(supervisor_.worker());
  WorkerAnnouncement other = MakeAnnouncement(9000, 1);
  other.incarnation.id = "v";
  supervisor_.OnAnnouncement(other, At(21));
  CollectActions(21);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  FailPoll(22, WorkerVerdict::kOtherIncarnation);
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(23));
  CollectActions(23);
  EXPECT_TRUE(ends_.empty());
  ASSERT_FALSE(stops_.empty());
  EXPECT_EQ(stops_.back().call.incarnation.started_at, 2000U);
}

TEST_F(RunSupervisorTest, ANewIncarnationOfTheWorkerEndsTheRunsOfTheOld) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  ReplaceWorker(20, 2000);
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

// Guards against a task that never ends: the worker refuses the second call of
// a start whose first call got no answer, and then no call is left to repeat.
TEST_F(RunSupervisorTest, AStartThatIsRefusedWhenRepeatedEndsAtItsDeadline) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  supervisor_.OnStartReply(starts_[0], {WorkerVerdict::kNoAnswer, std::nullopt},
                           At(20));
  CollectActions(20);
  ASSERT_EQ(starts_.size(), 2U);
  supervisor_.OnStartReply(starts_[1],
                           {WorkerVerdict::kUnhealthy, std::nullopt}, At(21));
  // The first call may still be carried out.
  AnswerPoll(500, {}, {});
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(1100, {}, {});
  EXPECT_EQ(supervisor_.used().cpu_millis, 0);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
}

// Guards against two runs of one task: a repeated start may carry an earlier
// deadline than the first one, which may still be carried out until its own.
TEST_F(RunSupervisorTest, AnUnansweredStartEndsOnlyAtItsLatestDeadline) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  PlaceOrders(20, {}, {1});
  for (int64_t ms = 200; ms <= 600; ms += 100) {
    EchoReport(kSession, ms);
    supervisor_.OnTimer(At(ms));
    CollectActions(ms);
    AnswerPoll(ms, {{"t1", 1, static_cast<uint32_t>(ms / 100)}}, {});
  }
  // The stop of t1 is not carried out, so the lease is not extended beyond
  // kUnstoppedRunLimit after the report that the home had echoed with it.
  PlaceOrders(655, {MakeOrder(2, "t2")});
  ASSERT_EQ(starts_.size(), 2U);
  const Millis first_deadline = starts_[1].call.deadline;
  EXPECT_EQ(first_deadline, Millis(100'000) + kUnstoppedRunLimit);
  for (int64_t ms = 1050; ms <= 1060; ms += 10) {
    supervisor_.OnStartReply(starts_.back(),
                             {WorkerVerdict::kNoAnswer, std::nullopt}, At(ms));
    CollectActions(ms);
  }
  ASSERT_EQ(starts_.size(), 4U);
  EXPECT_LT(starts_.back().call.deadline, first_deadline);
  PollReply early;
  early.verdict = WorkerVerdict::kAccepted;
  early.started_at = worker_started_at_;
  early.worker_clock = first_deadline - Millis(10);
  early.running = {{"t1", 1, 10}};
  supervisor_.OnPollReply(long_poll_, early, At(1065), At(1065));
  CollectActions(1065);
  EXPECT_TRUE(ends_.empty());
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
  supervisor.OnEvacuations(MakeEvacuations({}));
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

// Guards against two runs of one task: a fault of the network may refuse
// connections to a worker that runs on.
TEST_F(RunSupervisorTest, ARefusedConnectionEndsNoRunThatMayHaveStarted) {
  PlaceOrders(10, {MakeOrder(1, "t1", 32'000)});
  AcceptStart(starts_[0], 11);
  PlaceOrders(12, {MakeOrder(2, "t2")});
  PollReply refused;
  refused.verdict = WorkerVerdict::kUnreachable;
  supervisor_.OnPollReply(long_poll_, refused, At(50), At(50));
  CollectActions(50);
  // The queued run is given back at once, the started one is kept.
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].number, 2U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(supervisor_.used().cpu_millis, 32'000);
  EXPECT_EQ(reports_[kSession].state, ServingState::kAbsent);
  PlaceOrders(60, {MakeOrder(3, "t3")});
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].number, 3U);
  EXPECT_EQ(ends_[1].outcome, RunOutcome::kNotStarted);
  // The worker answers again, and still has the run.
  supervisor_.OnTimer(At(110));
  CollectActions(110);
  AnswerPoll(110, {{"t1", 1, 10}}, {});
  EXPECT_EQ(supervisor_.state(At(110)), ServingState::kServing);
  AnswerPoll(150, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 3U);
  EXPECT_EQ(ends_[2].outcome, RunOutcome::kDone);
}

// A worker that crashed refuses connections. Its runs are lost when their lease
// has expired, which the refused polls must not extend, nor must they be sent
// without a pause.
TEST_F(RunSupervisorTest,
       RunsOfAWorkerThatRefusesConnectionsEndWithTheirLease) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  AnswerPoll(40, {{"t1", 1, 10}}, {});
  PollReply refused;
  refused.verdict = WorkerVerdict::kUnreachable;
  int64_t lost_at = 0;
  int polls = 0;
  bool is_polling = true;
  for (int64_t ms = 50; ms <= 4000 && lost_at == 0; ms += 10) {
    if (ms % 100 == 0) EchoReport(kSession, ms);
    if (is_polling) {
      supervisor_.OnPollReply(long_poll_, refused, At(ms), At(ms));
    }
    supervisor_.OnTimer(At(ms));
    const auto due = ActionsOfType<SendPoll>(CollectActions(ms));
    is_polling = false;
    for (const SendPoll& poll : due) {
      ++polls;
      EXPECT_FALSE(poll.call.deadline);
      if (!poll.is_immediate) is_polling = true;
    }
    if (!ends_.empty()) lost_at = ms;
  }
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  // The lease was last extended at 40 ms.
  EXPECT_GE(lost_at, 1040);
  EXPECT_LE(lost_at, 1300);
  EXPECT_LE(polls, 60);
}

// A crashed worker that is back, as another incarnation, has no earlier run.
TEST_F(RunSupervisorTest, ANewIncarnationAfterRefusedConnectionsEndsTheRuns) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  PollReply reply;
  reply.verdict = WorkerVerdict::kUnreachable;
  supervisor_.OnPollReply(long_poll_, reply, At(50), At(50));
  CollectActions(50);
  EXPECT_TRUE(ends_.empty());
  CollectActions(110);
  reply.verdict = WorkerVerdict::kOtherIncarnation;
  supervisor_.OnPollReply(long_poll_, reply, At(110), At(111));
  CollectActions(111);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
}

// Guards against a loop of polls to a worker whose connections are reset.
TEST_F(RunSupervisorTest, APollThatIsLostAtOnceIsNotRepeatedAtOnce) {
  CollectActions(20);
  const PollReply no_answer;
  supervisor_.OnPollReply(long_poll_, no_answer, At(0), At(20));
  EXPECT_TRUE(ActionsOfType<SendPoll>(CollectActions(20)).empty());
  EXPECT_EQ(ActionsOfType<SendPoll>(CollectActions(60)).size(), 1U);
}

// Guards against two runs of one task: a worker may start again under its id,
// and the withdrawal of its earlier incarnation may arrive late.
TEST_F(RunSupervisorTest, AWithdrawalOfAnotherIncarnationIsIgnored) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnWithdrawn({"w", 999}, At(20));
  supervisor_.OnWithdrawn({"other", 1000}, At(20));
  CollectActions(20);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.state(At(20)), ServingState::kServing);
}

// Guards against two runs of one task: a worker withdraws before it ends, and a
// withdrawal does not say when its runs end.
TEST_F(RunSupervisorTest, AWithdrawnWorkerGetsNothingNewAndItsRunsAreTracked) {
  PlaceOrders(10, {MakeOrder(1, "t1", 32'000)});
  AcceptStart(starts_[0], 11);
  PlaceOrders(12, {MakeOrder(2, "t2")});
  supervisor_.OnWithdrawn({"w", 1000}, At(20));
  CollectActions(20);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].number, 2U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(supervisor_.used().cpu_millis, 32'000);
  // A heartbeat that was sent before the withdrawal does not revoke it.
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2), At(25));
  EXPECT_EQ(supervisor_.state(At(25)), ServingState::kAbsent);
  AnswerPoll(30, {{"t1", 1, 10}}, {});
  EXPECT_EQ(supervisor_.state(At(30)), ServingState::kAbsent);
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].outcome, RunOutcome::kDone);
  EXPECT_EQ(supervisor_.state(At(60)), ServingState::kAbsent);
  // The next incarnation serves.
  RestartWorker(70, 2000);
  EXPECT_EQ(supervisor_.state(At(70)), ServingState::kServing);
}

// A worker that leaves as a rule has no runs; there is nothing to wait for.
TEST_F(RunSupervisorTest, AnIdleWorkerThatWithdrawsIsNotPolledAnyMore) {
  supervisor_.OnWithdrawn({"w", 1000}, At(20));
  EXPECT_FALSE(supervisor_.worker());
  EXPECT_EQ(supervisor_.state(At(20)), ServingState::kAbsent);
  EXPECT_TRUE(ActionsOfType<SendPoll>(CollectActions(500)).empty());
}

// Guards against a start after a run has ended done: the first copy of a start
// may have run and ended before the worker refuses the second copy as stale.
TEST_F(RunSupervisorTest, AStaleRepeatedStartDoesNotHideTheEndOfTheFirst) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  supervisor_.OnStartReply(starts_[0], {WorkerVerdict::kNoAnswer, std::nullopt},
                           At(90));
  CollectActions(90);
  ASSERT_EQ(starts_.size(), 2U);
  const int polls_before = immediate_poll_count_;
  supervisor_.OnStartReply(
      starts_[1], {WorkerVerdict::kStaleAttempt, Millis(100'092)}, At(92));
  CollectActions(92);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  ASSERT_EQ(immediate_poll_count_, polls_before + 1);
  // An answer to a poll that was sent before decides nothing unless it lists
  // the end.
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.worker_clock = Millis(100'093);
  reply.started_at = worker_started_at_;
  supervisor_.OnPollReply(long_poll_, reply, At(50), At(93));
  CollectActions(93);
  EXPECT_TRUE(ends_.empty());
  reply.ended = {{1, "t1", 1, RunEnding::kDone}};
  supervisor_.OnPollReply(immediate_poll_, reply, At(93), At(94));
  CollectActions(94);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
}

// An earlier job with the same id used the attempt number. The entry needs to
// know soon, to use another one.
TEST_F(RunSupervisorTest, AStaleAttemptIsReportedAfterOnePoll) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  supervisor_.OnStartReply(starts_[0], {WorkerVerdict::kNoAnswer, std::nullopt},
                           At(90));
  CollectActions(90);
  supervisor_.OnStartReply(
      starts_[1], {WorkerVerdict::kStaleAttempt, Millis(100'092)}, At(92));
  CollectActions(92);
  EXPECT_TRUE(ends_.empty());
  PollReply reply;
  reply.verdict = WorkerVerdict::kAccepted;
  reply.worker_clock = Millis(100'093);
  reply.started_at = worker_started_at_;
  supervisor_.OnPollReply(immediate_poll_, reply, At(93), At(94));
  CollectActions(94);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kStaleAttempt);
  // Only one call was sent for this start, so it was refused and did not run.
  PlaceOrders(100, {MakeOrder(2, "t2")});
  supervisor_.OnStartReply(
      starts_.back(), {WorkerVerdict::kStaleAttempt, Millis(100'101)}, At(101));
  CollectActions(101);
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[1].reason, Reason::kStaleAttempt);
}

// Guards against a start after a run has ended done: a refusal of an earlier
// copy may arrive when the run is known to have started.
TEST_F(RunSupervisorTest, ALateStaleAnswerDoesNotEndAConfirmedRun) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  supervisor_.OnStartReply(starts_[0], {WorkerVerdict::kNoAnswer, std::nullopt},
                           At(20));
  CollectActions(20);
  ASSERT_EQ(starts_.size(), 2U);
  AnswerPoll(25, {{"t1", 1, 1}}, {});
  supervisor_.OnStartReply(
      starts_[1], {WorkerVerdict::kStaleAttempt, Millis(100'130)}, At(130));
  CollectActions(130);
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(132, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
}

// Guards against two runs of one task: calls name the worker's id, so a worker
// that starts again under its id may carry out a start that was sent to its
// earlier incarnation.
TEST_F(RunSupervisorTest, AnUnansweredStartMayRunOnTheNextIncarnation) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  ReplaceWorker(20, 2000);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(supervisor_.used().cpu_millis, 4000);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_EQ(stops_[0].call.incarnation.started_at, 2000U);
  EXPECT_GT(stops_[0].call.fence, starts_[0].call.fence);
  AnswerPoll(21, {{"t1", 1, 1}}, {});
  EXPECT_TRUE(ends_.empty());
  supervisor_.OnStopReply(stops_[0], {WorkerVerdict::kAccepted, std::nullopt},
                          At(22));
  AnswerPoll(25, {}, {});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_EQ(supervisor_.used().cpu_millis, 0);
}

// The same if the next incarnation accepted the start before it was known. Its
// clock tells that it is another one.
TEST_F(RunSupervisorTest, AStartThatTheNextIncarnationAcceptedIsTracked) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  supervisor_.OnStartReply(starts_[0], {WorkerVerdict::kAccepted, Millis(40)},
                           At(12));
  CollectActions(12);
  worker_started_at_ = 2000;
  AnswerPoll(15, {{"t1", 1, 1}}, {});
  EXPECT_TRUE(ends_.empty());
  supervisor_.OnTimer(At(200));
  CollectActions(200);
  EXPECT_TRUE(ends_.empty());
  WorkerAnnouncement next = MakeAnnouncement(2000, 1);
  next.worker_clock = Millis(230);
  supervisor_.OnAnnouncement(next, At(210));
  CollectActions(210);
  ASSERT_EQ(stops_.size(), 1U);
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(211, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kDone);
}

// A worker with another id refuses the calls to its predecessor.
TEST_F(RunSupervisorTest, AWorkerWithAnotherIdHasNoRunOfThePredecessor) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  WorkerAnnouncement next = MakeAnnouncement(2000, 1);
  next.incarnation.id = "v";
  supervisor_.OnAnnouncement(next, At(20));
  CollectActions(20);
  EXPECT_TRUE(ends_.empty());
  FailPoll(20, WorkerVerdict::kOtherIncarnation);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
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

// Load: entries have filled the queue with tasks that can wait when another
// entry sends urgent ones. The least urgent go back, not started.
TEST_F(RunSupervisorTest, UrgentOrdersTakeThePlacesOfOthersInAFullQueue) {
  PlaceOrders(10, {MakeOrder(1, "big", 32'000)});
  PlaceOrders(12, {MakeOrder(2, "p2", 4000, 800), MakeOrder(3, "p3", 4000, 900),
                   MakeOrder(4, "p4", 4000, 900)});
  ASSERT_EQ(ends_.size(), 1U);  // 8 of 32 cores may be queued.
  EXPECT_EQ(reports_[kSession].queued_by_urgency, (WorkByUrgency{0, 0, 800}));
  PlaceOrders(13, {MakeOrder(5, "urgent", 4000, 50)});
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_.back().number, 3U);
  EXPECT_EQ(ends_.back().outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_.back().reason, Reason::kExecutorQueueFull);
  PlaceOrders(14, {MakeOrder(6, "late", 4000, 950)});
  EXPECT_EQ(ends_.back().number, 6U);
  EXPECT_EQ(starts_.size(), 1U);
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

// Guards against a worker that is kept out for good: its probe was lost with
// the lease, which says nothing about the worker.
TEST_F(RunSupervisorTest, AProbeWhoseLeaseLapsesIsFollowedByAnother) {
  for (uint64_t i = 1; i <= 3; ++i) {
    const std::string task = "t" + std::to_string(i);
    PlaceOrders(10, {MakeOrder(i, task)});
    AcceptStart(starts_.back(), 11);
    AnswerPoll(12, {}, {{i, task, 1, RunEnding::kFailed}});
  }
  AnswerPoll(700, {}, {});
  PassSilently(701, 701);
  PlaceOrders(702, {MakeOrder(4, "probe")});
  ASSERT_EQ(starts_.size(), 4U);
  AcceptStart(starts_.back(), 703);
  FailPoll(780, WorkerVerdict::kNoAnswer);
  PassSilently(800, 3000);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().outcome, RunOutcome::kLost);
  AnswerPoll(3010, {}, {});
  EXPECT_EQ(supervisor_.state(At(3010)), ServingState::kServing);
  EchoReport(kSession, 3010);
  PlaceOrders(3020, {MakeOrder(5, "next")});
  EXPECT_EQ(starts_.size(), 5U);
}

// Guards against two runs of one task: a caller sent its job again, and the
// guard is still stopping the run that the former home ordered.
TEST_F(RunSupervisorTest, AnotherRunOfATaskWaitsForTheCertainEndOfTheFirst) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  supervisor_.OnSessionDown(kSession, At(13));
  CollectActions(13);
  ASSERT_EQ(stops_.size(), 1U);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t1"), MakeOrder(2, "t2")};
  orders.orders[0].attempt = 2;
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  CollectActions(20);
  // The order that waits holds up no other.
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "t2");
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[2].call.task, "t1");
  EXPECT_EQ(starts_[2].call.attempt, 2U);
}

// As above, with the attempt of the run that is being stopped: an entry that is
// told of a stale attempt tries the next one elsewhere at once.
TEST_F(RunSupervisorTest, AStaleAttemptIsRefusedOnlyOnceItsRunHasEnded) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  supervisor_.OnSessionDown(kSession, At(13));
  CollectActions(13);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t1")};
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  CollectActions(20);
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  EXPECT_EQ(starts_.size(), 1U);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kStaleAttempt);
}

// A home withdraws an order that waits for another run of its task. The stop
// and the end concern the order alone.
TEST_F(RunSupervisorTest, AWaitingOrderOfTheSameAttemptIsWithdrawnByItself) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  AcceptStart(starts_[0], 11);
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t1")};
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  orders.orders.clear();
  orders.stops = {1};
  supervisor_.OnOrders(kOtherSession, orders, At(21));
  CollectActions(21);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWithdrawn);
  EXPECT_TRUE(stops_.empty());
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].outcome, RunOutcome::kDone);
}

// Losses of the worker.

// Guards against a deadly task that crashes one worker after the other: the
// guard tells which tasks ran when its worker crashed.
TEST_F(RunSupervisorTest, ACrashIsToldWithItsTasksOnceTheNextOneAnswers) {
  StartRun(10, MakeOrder(1, "t1"));
  StartRun(12, MakeOrder(2, "t2"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  ReplaceWorker(200, 2000);
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kLost);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerDown);
  EXPECT_TRUE(losses_[kSession].empty());
  AnswerPoll(201, {}, {});
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
  EXPECT_EQ(losses_[kSession][0].started_at, 1000U);
  EXPECT_EQ(losses_[kSession][0].tasks, (std::vector<std::string>{"t1", "t2"}));
  CollectActions(1000);
  EXPECT_EQ(losses_[kSession].size(), 1U);
}

// Guards against an entry that never learns of a crash: it may connect later.
TEST_F(RunSupervisorTest, ALaterSessionIsToldOfEarlierLossesForALimitedTime) {
  StartRun(10, MakeOrder(1, "t1"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  RestartWorker(200, 2000);
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(5000));
  CollectActions(5000);
  ASSERT_EQ(losses_[kOtherSession].size(), 1U);
  EXPECT_EQ(losses_[kOtherSession][0].tasks, std::vector<std::string>{"t1"});
  const Millis lifetime = RunSupervisorOptions().losses.lifetime;
  const int64_t expired = 300 + lifetime.count();
  supervisor_.OnTimer(At(expired));
  supervisor_.OnSessionUp(3, Incarnation{13}, At(expired));
  CollectActions(expired);
  EXPECT_TRUE(losses_[3].empty());
}

// Guards against an innocent task that is given up: its worker went on behind a
// fault of the network that refused connections.
TEST_F(RunSupervisorTest, AWorkerThatAnswersAgainHasNotCrashed) {
  StartRun(10, MakeOrder(1, "t1"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  PassSilently(60, 1200);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerDown);
  FailPoll(1210, WorkerVerdict::kUnreachable);
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 9), At(1300));
  CollectActions(1300);
  AnswerPoll(1301, {}, {});
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_FALSE(losses_[kSession][0].has_crashed);
  EXPECT_EQ(losses_[kSession][0].tasks, std::vector<std::string>{"t1"});
}

// The same if its run goes on.
TEST_F(RunSupervisorTest, AWorkerThatListsItsRunAgainHasNotCrashed) {
  StartRun(10, MakeOrder(1, "t1"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  CollectActions(110);
  AnswerPoll(110, {{"t1", 1, 10}}, {});
  EXPECT_TRUE(ends_.empty());
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_FALSE(losses_[kSession][0].has_crashed);
}

// Runs that end with their lease are part of the loss that began before.
TEST_F(RunSupervisorTest, RunsThatEndedWithTheirLeaseBelongToTheCrash) {
  StartRun(10, MakeOrder(1, "t1"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  PassSilently(60, 1200);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerDown);
  RestartWorker(3000, 2000);
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
  EXPECT_EQ(losses_[kSession][0].tasks, std::vector<std::string>{"t1"});
}

// Guards against an innocent task that is given up: a partition ended its run
// before the worker was replaced or refused connections.
TEST_F(RunSupervisorTest, APartitionIsNoLoss) {
  StartRun(10, MakeOrder(1, "t1"));
  PassSilently(20, 1300);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerLost);
  FailPoll(1400, WorkerVerdict::kUnreachable);
  RestartWorker(1500, 2000);
  EXPECT_TRUE(losses_[kSession].empty());
}

// The same if this process stood still and handles the refusal or the new
// incarnation before its timer.
TEST_F(RunSupervisorTest, WhatIsSeenAfterTheLeaseHasExpiredIsNoLoss) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnAnnouncement(MakeAnnouncement(2000, 1), At(3000));
  worker_started_at_ = 2000;
  CollectActions(3000);
  AnswerPoll(3001, {}, {});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerLost);
  EXPECT_TRUE(losses_[kSession].empty());
}

// A worker that is back before a connection was refused has crashed as well.
TEST_F(RunSupervisorTest, ANewIncarnationWhileRunsAreOpenIsACrash) {
  StartRun(10, MakeOrder(1, "t1"));
  RestartWorker(100, 2000);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerDown);
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
}

// Guards against innocent tasks that are given up for a planned leave.
TEST_F(RunSupervisorTest, ADrainingOrWithdrawnWorkerDoesNotCrash) {
  StartRun(10, MakeOrder(1, "t1"));
  WorkerAnnouncement draining = MakeAnnouncement(1000, 2);
  draining.is_draining = true;
  supervisor_.OnAnnouncement(draining, At(20));
  FailPoll(50, WorkerVerdict::kUnreachable);
  RestartWorker(200, 2000);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerLost);
  StartRun(210, MakeOrder(2, "t2"));
  supervisor_.OnWithdrawn({"w", 2000}, At(220));
  FailPoll(250, WorkerVerdict::kUnreachable);
  RestartWorker(300, 3000);
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].reason, Reason::kWorkerLost);
  for (const WorkerLoss& loss : losses_[kSession]) {
    EXPECT_FALSE(loss.has_crashed);
  }
}

// The same if the withdrawal or the drain is learned after the refusal.
TEST_F(RunSupervisorTest, ALateWithdrawalRefutesTheLoss) {
  StartRun(10, MakeOrder(1, "t1"));
  FailPoll(50, WorkerVerdict::kUnreachable);
  PassSilently(60, 1200);
  supervisor_.OnWithdrawn({"w", 1000}, At(1210));
  RestartWorker(2000, 2000);
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_FALSE(losses_[kSession][0].has_crashed);
  StartRun(2010, MakeOrder(2, "t2"));
  FailPoll(2050, WorkerVerdict::kUnreachable);
  PassSilently(2060, 3200);
  WorkerAnnouncement draining = MakeAnnouncement(2000, 2);
  draining.is_draining = true;
  supervisor_.OnAnnouncement(draining, At(3210));
  RestartWorker(3300, 3000);
  ASSERT_EQ(losses_[kSession].size(), 2U);
  EXPECT_FALSE(losses_[kSession][1].has_crashed);
}

// Guards against an innocent task that counts as deadly: its start was refused,
// or it had ended before the worker crashed.
TEST_F(RunSupervisorTest, OnlyRunsThatMayHaveBeenOnTheWorkerBelongToTheLoss) {
  StartRun(10, MakeOrder(1, "ended"));
  AnswerPoll(20, {}, {{1, "ended", 1, RunEnding::kDone}});
  StartRun(22, MakeOrder(2, "t1"));
  PlaceOrders(24, {MakeOrder(3, "refused"), MakeOrder(4, "queued", 32'000)});
  const SendStart refused = starts_.back();
  FailPoll(50, WorkerVerdict::kUnreachable);
  supervisor_.OnStartReply(refused, {WorkerVerdict::kUnreachable, std::nullopt},
                           At(51));
  RestartWorker(200, 2000);
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_EQ(losses_[kSession][0].tasks, std::vector<std::string>{"t1"});
}

// Guards against a loss that is told before the end of its run: a run whose
// start had no answer is kept, as the next incarnation may carry the start out.
TEST_F(RunSupervisorTest, ACrashIsToldAfterTheEndsOfItsRuns) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ASSERT_EQ(starts_.size(), 1U);
  FailPoll(20, WorkerVerdict::kUnreachable);
  RestartWorker(60, 2000);
  EXPECT_TRUE(ends_.empty());
  EXPECT_TRUE(losses_[kSession].empty());
  ASSERT_FALSE(stops_.empty());
  supervisor_.OnStopReply(stops_.back(),
                          {WorkerVerdict::kAccepted, std::nullopt}, At(62));
  AnswerPoll(70, {}, {});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kWorkerDown);
  if (losses_[kSession].empty()) AnswerPoll(80, {}, {});
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
  EXPECT_TRUE(losses_[kSession][0].tasks.empty());
  EXPECT_EQ(losses_[kSession][0].unconfirmed_tasks,
            std::vector<std::string>{"t1"});
}

// The next incarnation lists the run, whose only start call it carried out.
TEST_F(RunSupervisorTest, ARunOfTheNextIncarnationDoesNotBelongToTheLoss) {
  PlaceOrders(10, {MakeOrder(1, "t1")});
  ReplaceWorker(20, 2000);
  AnswerPoll(21, {{"t1", 1, 1}}, {});
  AnswerPoll(25, {}, {{1, "t1", 1, RunEnding::kInterrupted}});
  ASSERT_EQ(ends_.size(), 1U);
  AnswerPoll(30, {}, {});
  EXPECT_TRUE(losses_[kSession].empty());
}

// Guards against a sound task that is taken for the only one at a crash: the
// next incarnation lists the end of a late copy of its neighbour's start.
TEST_F(RunSupervisorTest, ARunThatTheNextIncarnationEndedWasOnTheLostOneToo) {
  StartRun(10, MakeOrder(1, "sound"));
  PlaceOrders(12, {MakeOrder(2, "deadly")});
  supervisor_.OnStartReply(starts_.back(),
                           {WorkerVerdict::kNoAnswer, std::nullopt}, At(30));
  CollectActions(30);
  ASSERT_EQ(starts_.size(), 3U);
  AcceptStart(starts_.back(), 31);
  RestartWorker(100, 2000);
  AnswerPoll(120, {}, {{1, "deadly", 1, RunEnding::kInterrupted}});
  if (losses_[kSession].empty()) AnswerPoll(130, {}, {});
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
  EXPECT_EQ(losses_[kSession][0].tasks,
            (std::vector<std::string>{"deadly", "sound"}));
}

// The same with a second copy of the neighbour's only start call.
TEST_F(RunSupervisorTest, ARunThatWasConfirmedBelongsToTheLoss) {
  StartRun(10, MakeOrder(1, "sound"));
  PlaceOrders(12, {MakeOrder(2, "deadly")});
  AnswerPoll(20, {{"deadly", 1, 1}, {"sound", 1, 1}}, {});
  supervisor_.OnStartReply(starts_.back(),
                           {WorkerVerdict::kNoAnswer, std::nullopt}, At(30));
  RestartWorker(100, 2000);
  AnswerPoll(110, {{"deadly", 1, 1}}, {});
  AnswerPoll(120, {}, {{1, "deadly", 1, RunEnding::kInterrupted}});
  if (losses_[kSession].empty()) AnswerPoll(130, {}, {});
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_EQ(losses_[kSession][0].tasks,
            (std::vector<std::string>{"deadly", "sound"}));
}

// An answer to a poll that was sent before the refusal says nothing about it.
TEST_F(RunSupervisorTest, AnAnswerThatWasUnderWayDoesNotRefuteTheLoss) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnTimer(At(170));
  CollectActions(170);
  ASSERT_EQ(immediate_poll_count_, 1);
  PollReply reply;
  reply.verdict = WorkerVerdict::kUnreachable;
  supervisor_.OnPollReply(immediate_poll_, reply, At(170), At(171));
  reply.verdict = WorkerVerdict::kAccepted;
  reply.started_at = worker_started_at_;
  reply.running = {{"t1", 1, 50}};
  supervisor_.OnPollReply(long_poll_, reply, At(10), At(180));
  CollectActions(180);
  EXPECT_TRUE(losses_[kSession].empty());
  RestartWorker(300, 2000);
  ASSERT_EQ(losses_[kSession].size(), 1U);
  EXPECT_TRUE(losses_[kSession][0].has_crashed);
}

// Runs that are alone on the worker.

RunOrder MakeLoneOrder(uint64_t number, const std::string& task) {
  RunOrder order = MakeOrder(number, task);
  order.must_run_alone = true;
  return order;
}

// Guards against a neighbour that is taken for the cause of a crash.
TEST_F(RunSupervisorTest, ARunThatMustBeAloneStartsOnlyOnAnIdleWorker) {
  StartRun(10, MakeOrder(1, "t1"));
  PlaceOrders(12, {MakeLoneOrder(2, "alone")});
  EXPECT_EQ(starts_.size(), 1U);
  // A report tells that nothing else can start.
  CollectActions(200);
  EXPECT_EQ(reports_[kSession].used, MakeAnnouncement().capacity);
  PlaceOrders(202, {MakeOrder(3, "t3")});
  EXPECT_EQ(starts_.size(), 1U);
  AnswerPoll(210, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "alone");
}

TEST_F(RunSupervisorTest, NothingStartsBesideARunThatMustBeAlone) {
  StartRun(10, MakeLoneOrder(1, "alone"));
  PlaceOrders(12, {MakeOrder(2, "t2")});
  EXPECT_EQ(starts_.size(), 1U);
  CollectActions(200);
  EXPECT_EQ(reports_[kSession].used, MakeAnnouncement().capacity);
  // What is being stopped still counts.
  PlaceOrders(202, {MakeOrder(3, "t3")}, {1});
  EXPECT_EQ(starts_.size(), 1U);
  AnswerPoll(210, {}, {{1, "alone", 1, RunEnding::kInterrupted}});
  EXPECT_EQ(reports_[kSession].used.cpu_millis, 0);
  PlaceOrders(220, {MakeOrder(4, "t4")});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "t4");
}

TEST_F(RunSupervisorTest, OneRunThatMustBeAloneIsTakenAtATime) {
  StartRun(10, MakeLoneOrder(1, "alone"));
  PlaceOrders(12, {MakeLoneOrder(2, "other")});
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].number, 2U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kExecutorQueueFull);
}

// A run that must be alone goes after what waits already, and is not put off by
// urgent orders that come later.
TEST_F(RunSupervisorTest, LaterOrdersDoNotPutOffARunThatMustBeAlone) {
  StartRun(10, MakeOrder(1, "big", 32'000));
  PlaceOrders(12, {MakeOrder(2, "waiting", 4000, 2000)});
  PlaceOrders(13, {MakeLoneOrder(3, "alone")});
  PlaceOrders(14, {MakeOrder(4, "urgent", 4000, 1)});
  AnswerPoll(30, {}, {{1, "big", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "waiting");
  AcceptStart(starts_[1], 31);
  AnswerPoll(60, {}, {{2, "waiting", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[2].call.task, "alone");
}

// An order that waits, as the lease in force outlasts its limit, starts no run
// beside one that must be alone.
TEST_F(RunSupervisorTest, AnEarlierOrderWaitsForARunThatMustBeAlone) {
  StartRun(10, MakeOrder(1, "big", 32'000));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "waiting")};
  for (int64_t ms = 200; ms <= 600; ms += 100) {
    AnswerPoll(ms, {{"big", 1, static_cast<uint32_t>(ms / 10)}}, {});
    EchoReport(kSession, ms);
  }
  supervisor_.OnOrders(kOtherSession, orders, At(601));
  CollectActions(601);
  PlaceOrders(602, {MakeLoneOrder(2, "alone")});
  AnswerPoll(650, {}, {{1, "big", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "alone");
  EchoReport(kOtherSession, 652);
  EXPECT_EQ(starts_.size(), 2U);
  AcceptStart(starts_[1], 653);
  AnswerPoll(660, {}, {{2, "alone", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[2].call.task, "waiting");
}

// Guards against a worker that idles until the caller's deadline: a queued run
// that must be alone waits for another that waits for it.
TEST_F(RunSupervisorTest, ARunThatMustBeAloneStartsBesideAWaitingOrder) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeLoneOrder(1, "t1"), MakeLoneOrder(2, "t2")};
  orders.orders[0].attempt = 2;
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  CollectActions(20);
  EXPECT_EQ(starts_.size(), 1U);
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "t2");
  AcceptStart(starts_[1], 61);
  AnswerPoll(90, {}, {{2, "t2", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[2].call.task, "t1");
}

// Guards against a worker that idles: an order that waits for another run no
// longer fits, and blocks the queue once that run has ended.
TEST_F(RunSupervisorTest, AWaitingOrderThatNoLongerFitsIsGivenBackInItsTurn) {
  StartRun(10, MakeOrder(1, "t1"));
  supervisor_.OnSessionUp(kOtherSession, kOtherHome, At(12));
  CollectActions(12);
  RunOrders orders;
  orders.echo = reports_[kOtherSession].stamp;
  orders.orders = {MakeOrder(1, "t1")};
  orders.orders[0].attempt = 2;
  supervisor_.OnOrders(kOtherSession, orders, At(20));
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2, 2000), At(30));
  CollectActions(30);
  // It would start elsewhere beside the other run.
  EXPECT_TRUE(ends_.empty());
  AnswerPoll(60, {}, {{1, "t1", 1, RunEnding::kDone}});
  ASSERT_EQ(ends_.size(), 2U);
  EXPECT_EQ(ends_[1].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[1].reason, Reason::kConstraintUnmet);
}

// Capacity that changes.

// Guards against orders that wait for capacity that the worker no longer has.
TEST_F(RunSupervisorTest, QueuedOrdersThatNoLongerFitAreGivenBackAtOnce) {
  StartRun(10, MakeOrder(1, "t1", 32'000));
  PlaceOrders(12, {MakeOrder(2, "small", 4000), MakeOrder(3, "big", 8000)});
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2, 4000), At(20));
  CollectActions(20);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].number, 3U);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kConstraintUnmet);
}

// Guards against starts beyond a worker's capacity.
TEST_F(RunSupervisorTest, NoStartExceedsCapacityThatHasShrunk) {
  StartRun(10, MakeOrder(1, "t1", 16'000));
  PlaceOrders(12, {MakeOrder(2, "t2", 16'000)});
  ASSERT_EQ(starts_.size(), 2U);
  PlaceOrders(14, {MakeOrder(3, "t3", 8000)});
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2, 20'000), At(20));
  CollectActions(20);
  // The start of t2 is not sent again, since it may exceed the capacity now.
  supervisor_.OnStartReply(starts_[1], {WorkerVerdict::kNoAnswer, std::nullopt},
                           At(30));
  CollectActions(30);
  EXPECT_EQ(starts_.size(), 2U);
  // t1 still occupies its capacity while it is being stopped.
  PlaceOrders(40, {}, {1});
  supervisor_.OnStopReply(stops_.back(),
                          {WorkerVerdict::kAccepted, std::nullopt}, At(42));
  CollectActions(42);
  EXPECT_EQ(starts_.size(), 2U);
  AnswerPoll(50, {{"t2", 1, 1}}, {{1, "t1", 1, RunEnding::kInterrupted}});
  EXPECT_EQ(starts_.size(), 2U);
  AnswerPoll(60, {}, {{2, "t2", 1, RunEnding::kDone}});
  ASSERT_EQ(starts_.size(), 3U);
  EXPECT_EQ(starts_[2].call.task, "t3");
}

// Guards against orders that wait though there is capacity.
TEST_F(RunSupervisorTest, WhatWaitsStartsAtOnceWhenCapacityGrows) {
  StartRun(10, MakeOrder(1, "t1", 32'000));
  PlaceOrders(12, {MakeOrder(2, "t2")});
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 2, 40'000), At(20));
  CollectActions(20);
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_EQ(starts_[1].call.task, "t2");
  EXPECT_EQ(reports_[kSession].capacity.cpu_millis, 40'000);
}

TEST_F(RunSupervisorTest, AWorkerWithoutCapacityGetsNothing) {
  StartRun(10, MakeOrder(1, "t1", 32'000));
  PlaceOrders(12, {MakeOrder(2, "t2")});
  WorkerAnnouncement none = MakeAnnouncement(1000, 2, 0);
  none.capacity = {};
  supervisor_.OnAnnouncement(none, At(20));
  CollectActions(20);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].reason, Reason::kConstraintUnmet);
  AnswerPoll(30, {}, {{1, "t1", 1, RunEnding::kDone}});
  PlaceOrders(40, {MakeOrder(3, "t3")});
  ASSERT_EQ(ends_.size(), 3U);
  EXPECT_EQ(ends_[2].reason, Reason::kConstraintUnmet);
  supervisor_.OnAnnouncement(MakeAnnouncement(1000, 3), At(50));
  CollectActions(50);
  StartRun(60, MakeOrder(4, "t4"));
}

// Orders without needs fit into any room, but not into any memory.
TEST_F(RunSupervisorTest, RefusesWhatItHasNoMemoryFor) {
  const RunSupervisorOptions limits;
  std::vector<RunOrder> orders;
  for (uint64_t i = 1; i <= limits.max_runs + 1; ++i) {
    orders.push_back(MakeOrder(i, "t" + std::to_string(i), 0));
  }
  PlaceOrders(10, orders);
  ASSERT_EQ(ends_.size(), 1U);
  EXPECT_EQ(ends_[0].number, limits.max_runs + 1);
  EXPECT_EQ(ends_[0].outcome, RunOutcome::kNotStarted);
  EXPECT_EQ(ends_[0].reason, Reason::kGuardFull);
}

TEST_F(RunSupervisorTest, RefusesLargePayloadsThatItHasNoMemoryFor) {
  const RunSupervisorOptions limits;
  constexpr size_t kPayload = 1'000'000;
  std::vector<RunOrder> orders;
  for (uint64_t i = 1; i <= limits.max_run_bytes / kPayload; ++i) {
    orders.push_back(MakeOrder(i, "t" + std::to_string(i), 0));
    orders.back().payload.assign(kPayload, 'x');
  }
  PlaceOrders(10, orders);
  EXPECT_FALSE(ends_.empty());
  EXPECT_LE(starts_.size() * kPayload, limits.max_run_bytes);
  // An ended run makes room for the next.
  const size_t before = starts_.size();
  AcceptStart(starts_[0], 11);
  AnswerPoll(20, {}, {{1, "t1", 1, RunEnding::kDone}});
  RunOrder next = orders[0];
  next.number = 1000;
  next.task = "next";
  PlaceOrders(30, {next});
  EXPECT_EQ(starts_.size(), before + 1);
}

}  // namespace
}  // namespace qs::test
