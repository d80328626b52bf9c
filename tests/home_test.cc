#include "core/home.h"

#include <gtest/gtest.h>

#include "core/observer.h"
#include "core_harness.h"

namespace qs::test {
namespace {

TEST(HomeTest, AnswersARepeatedSubmissionOnce) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 2));
  h.Submit(id, MakeJob("a", 2));
  h.Settle();
  ASSERT_EQ(h.answers(id).size(), 2U);
  EXPECT_EQ(h.answers(id)[0].state, JobState::kComplete);
  EXPECT_EQ(h.answers(id)[1].results, h.answers(id)[0].results);
  EXPECT_EQ(h.starts().at("a-0"), 1);
}

TEST(HomeTest, RefusesOtherContentUnderTheSameId) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 2));
  h.Submit(id, MakeJob("b", 2));
  ASSERT_EQ(h.answers(id).size(), 1U);
  EXPECT_EQ(h.answers(id)[0].reason, Reason::kContentConflict);
  h.Settle();
  EXPECT_FALSE(h.starts().contains("b-0"));
  EXPECT_EQ(h.answers(id)[1].state, JobState::kComplete);
}

TEST(HomeTest, MintsNoIdWhileItWouldRefuseEveryJob) {
  Observer observer;
  HomeOptions options;
  options.needs_configuration = true;
  const auto home =
      Home::Make(options, PlacementRegistry::Instance().Make("least_loaded"),
                 &observer, 1);
  const Instant now = Instant() + Millis(1000);
  EXPECT_EQ(home->OnMint({1, 1}, now).reason, Reason::kNoConfiguration);
  home->SetDeclarations({});
  const MintReply cold = home->OnMint({2, 1}, now);
  EXPECT_EQ(cold.count, 0U);
  EXPECT_EQ(cold.reason, Reason::kWarmingUp);
  home->SetMembersKnown();
  EXPECT_EQ(home->OnMint({3, 1}, now).count, 1U);
}

TEST(HomeTest, RefusesAnIdThatItNeverMinted) {
  CoreHarness h(1);
  h.Submit(999, MakeJob("a", 1));
  ASSERT_EQ(h.answers(999).size(), 1U);
  EXPECT_EQ(h.answers(999)[0].reason, Reason::kIdNotMinted);
  h.Settle();
  EXPECT_TRUE(h.starts().empty());
}

TEST(HomeTest, ARefusalIsFinalForItsId) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  JobSpec job = MakeJob("a", 1);
  job.service = "nobody offers this";
  h.Submit(id, job);
  ASSERT_EQ(h.answers(id).size(), 1U);
  EXPECT_EQ(h.answers(id)[0].reason, Reason::kNoSuchService);
  h.Submit(id, job);
  ASSERT_EQ(h.answers(id).size(), 2U);
  EXPECT_EQ(h.answers(id)[1].reason, Reason::kNoSuchService);
}

TEST(HomeTest, RefusesAConstraintThatNobodyMeets) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  JobSpec job = MakeJob("a", 1);
  job.zone = "elsewhere";
  h.Submit(id, job);
  ASSERT_EQ(h.answers(id).size(), 1U);
  EXPECT_EQ(h.answers(id)[0].reason, Reason::kConstraintUnmet);
}

TEST(HomeTest, ALostExecutorMakesItsTasksUnknown) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 1));
  h.DeliverTo(0, 0, false);
  ASSERT_EQ(h.Running(0), 1U);
  h.CrashExecutor(0);
  h.Reconnect(0);
  ASSERT_EQ(h.answers(id).size(), 1U);
  const JobAnswer& answer = h.answers(id)[0];
  EXPECT_EQ(answer.state, JobState::kFailed);
  EXPECT_EQ(answer.results[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(answer.results[0].reason, Reason::kExecutorLost);
}

TEST(HomeTest, RegrantsAGrantThatWasLost) {
  CoreHarness h(2);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 1));
  for (int i = 0; i < 2; ++i) {
    while (h.InFlightTo(i) > 0) h.LoseTo(i, 0);
  }
  h.Settle();
  ASSERT_EQ(h.answers(id).size(), 1U);
  EXPECT_EQ(h.answers(id)[0].state, JobState::kComplete);
  EXPECT_EQ(h.starts().at("a-0"), 1);
}

TEST(HomeTest, IgnoresALateNotRunReplyToAnEarlierAttempt) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 1));
  h.executor(0).SetDraining(true, h.now());
  h.DeliverTo(0, 0, false);  // Refused; its reply is delivered twice below.
  ASSERT_EQ(h.InFlightFrom(0), 1U);
  h.DeliverFrom(0, 0, true);
  h.executor(0).SetDraining(false, h.now());
  h.Advance(Millis(2000));
  // The second attempt is granted when the reply to the first one is delivered
  // again.
  while (h.InFlightTo(0) > 0) h.DeliverTo(0, 0, false);
  h.DeliverFrom(0, 0, false);
  h.Settle();
  EXPECT_EQ(h.starts().at("a-0"), 1);
}

// The executor reported that it was full and sends no newer report. As the
// report ages, the home must grant to the executor again.
TEST(HomeTest, DoesNotTrustAnOldReportOfAFullExecutor) {
  CoreHarness h(1);
  const Incarnation incarnation = h.IncarnationOf(0);
  h.home().OnReplies(incarnation, {{2, 2, 2, 0, ServingState::kServing}, {}},
                     h.now());
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 1));
  EXPECT_EQ(h.InFlightTo(0), 0U);
  // Only the home's clock advances; the executor sends no report.
  for (int i = 1; i <= 20; ++i) {
    h.home().OnTimer(h.now() + Millis(20 * i));
  }
  h.Submit(id, MakeJob("a", 1));  // Makes the harness route the grant.
  EXPECT_EQ(h.InFlightTo(0), 1U);
}

TEST(HomeTest, StopsAJobAtItsFirstFailure) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 50, OnFailure::kStop));
  h.DeliverTo(0, 0, false);
  ASSERT_EQ(h.Running(0), 2U);
  h.EndTask(0, 0, {Outcome::kFailed, Reason::kBackendRejected, {}});
  h.Settle();
  ASSERT_EQ(h.answers(id).size(), 1U);
  const JobAnswer& answer = h.answers(id)[0];
  EXPECT_EQ(answer.state, JobState::kFailed);
  EXPECT_EQ(answer.reason, Reason::kBackendRejected);
  EXPECT_LT(h.starts().size(), 5U);
  EXPECT_EQ(answer.results.back().reason, Reason::kJobStopped);
}

TEST(HomeTest, AnswersAtTheDeadlineWhateverHappens) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 10));
  h.DeliverTo(0, 0, false);
  h.Disconnect(0);
  h.Advance(Millis(31'000));
  ASSERT_EQ(h.answers(id).size(), 1U);
  const JobAnswer& answer = h.answers(id)[0];
  EXPECT_EQ(answer.state, JobState::kFailed);
  EXPECT_EQ(answer.results[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(answer.results[9].outcome, Outcome::kNotRun);
}

TEST(HomeTest, RefusesWorkWhileStoppingAndEndsWhatItHas) {
  CoreHarness h(1);
  const uint64_t first = h.Mint();
  const uint64_t second = h.Mint();
  h.Submit(first, MakeJob("a", 2));
  h.home().Stop();
  h.Submit(second, MakeJob("b", 2));
  h.Settle();
  EXPECT_EQ(h.answers(first)[0].state, JobState::kComplete);
  EXPECT_EQ(h.answers(second)[0].reason, Reason::kStopping);
  EXPECT_GT(h.answers(second)[0].retry_after, Millis(0));
}

TEST(HomeTest, ACancelledIdRefusesItsJobForEver) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Cancel(id);
  h.Submit(id, MakeJob("a", 1));
  h.Settle();
  EXPECT_TRUE(h.starts().empty());
}

TEST(HomeTest, RetiresAnswersAndNeverRunsTheirIdsAgain) {
  CoreHarness h(1);
  const uint64_t id = h.Mint();
  h.Submit(id, MakeJob("a", 1));
  h.Settle();
  h.Advance(Millis(120'000));
  h.Submit(id, MakeJob("a", 1));
  EXPECT_EQ(h.answers(id).back().reason, Reason::kIdRetired);
  h.Advance(Millis(1'200'000));
  h.Submit(id, MakeJob("a", 1));
  EXPECT_EQ(h.answers(id).back().reason, Reason::kIdRetired);
  h.Settle();
  EXPECT_EQ(h.starts().at("a-0"), 1);
}

// Guards against a second start of a task that crashes backend servers, and
// against a caller that hears of the crash only at the deadline.
TEST(HomeTest, ADeadlyTaskCrashesOneBackendServerAndIsToldAtOnce) {
  CoreHarness h(2);
  h.SetSlots(1, 0);
  h.Advance(Millis(1000));  // The home hears of it.
  const uint64_t deadly = h.Mint();
  const uint64_t sound = h.Mint();
  h.Submit(deadly, MakeJob("deadly", 1));
  h.Submit(sound, MakeJob("sound", 3));
  h.MakeDeadly("deadly-0");
  while (h.InFlightTo(0) > 0) h.DeliverTo(0, 0, false);
  ASSERT_EQ(h.Running(0), 2U);
  h.SetSlots(1, 2);
  h.EndTask(0, 0, {});
  while (h.InFlightFrom(0) > 0) h.DeliverFrom(0, 0, false);
  // No time has passed.
  ASSERT_EQ(h.answers(deadly).size(), 1U);
  const TaskResult cut_off{Outcome::kUnknown, Reason::kBackendDisconnected, {}};
  EXPECT_EQ(h.answers(deadly)[0].state, JobState::kFailed);
  EXPECT_EQ(h.answers(deadly)[0].reason, Reason::kBackendDisconnected);
  EXPECT_EQ(h.answers(deadly)[0].results[0], cut_off);
  h.Settle();
  EXPECT_EQ(h.starts().at("deadly-0"), 1);
  EXPECT_EQ(h.crashes().size(), 1U);
  // The task beside it was cut off; the others ran.
  ASSERT_EQ(h.answers(sound).size(), 1U);
  const auto& results = h.answers(sound)[0].results;
  EXPECT_EQ(results[0], cut_off);
  EXPECT_EQ(results[1].outcome, Outcome::kDone);
  EXPECT_EQ(results[2].outcome, Outcome::kDone);
}

// Two jobs of half the memory fill it: the payloads count twice.
TEST(HomeTest, RefusesWhatItHasNoMemoryFor) {
  constexpr size_t kQuarter = size_t{16} << 20U;
  CoreHarness h(1);
  const auto submit = [&](const std::string& name, size_t bytes) {
    JobSpec job = MakeJob(name, 1);
    job.payloads[0].append(bytes, 'x');
    const uint64_t id = h.Mint();
    h.Submit(id, job);
    return id;
  };
  const uint64_t too_large = submit("a", 2 * kQuarter);
  ASSERT_EQ(h.answers(too_large).size(), 1U);
  EXPECT_EQ(h.answers(too_large)[0].reason, Reason::kJobTooLarge);
  const uint64_t held = submit("b", kQuarter);
  const uint64_t refused = submit("c", kQuarter);
  ASSERT_EQ(h.answers(refused).size(), 1U);
  EXPECT_EQ(h.answers(refused)[0].reason, Reason::kHomeOverloaded);
  const uint64_t ordinary = submit("d", 10);
  h.Settle();
  EXPECT_EQ(h.answers(held)[0].state, JobState::kComplete);
  EXPECT_EQ(h.answers(ordinary)[0].state, JobState::kComplete);
  const uint64_t next = submit("e", kQuarter);
  h.Settle();
  EXPECT_EQ(h.answers(next)[0].state, JobState::kComplete);
}

}  // namespace
}  // namespace qs::test
