#include "core/memory_budget.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "core/memory_plan.h"
#include "held/job_budget.h"
#include "held_harness.h"

namespace qs::test {
namespace {

using Verdict = MemoryBudget::Verdict;

constexpr size_t kMib = size_t{1} << 20U;
constexpr uint32_t kSmallestEntryMb = 120;  // Of the deployments' sheets.

JobBudgetLimits Limits() {
  return {10'000, MemoryPlan::Make(kSmallestEntryMb).work_bytes};
}

TEST(MemoryBudgetTest, LargeSharesLeaveAPartToOrdinaryOnes) {
  MemoryBudget budget({1000, 100, 40});
  EXPECT_EQ(budget.Judge(601), Verdict::kNeverFits);
  std::vector<MemoryBudget::Share> large = {budget.Take(300), budget.Take(300)};
  EXPECT_EQ(budget.Judge(101), Verdict::kFull);
  EXPECT_EQ(budget.Take(101), nullptr);
  std::vector<MemoryBudget::Share> ordinary;
  ordinary.reserve(4);
  for (int i = 0; i < 4; ++i) ordinary.push_back(budget.Take(100));
  EXPECT_NE(ordinary.back(), nullptr);
  EXPECT_EQ(budget.Judge(1), Verdict::kFull);
  large.pop_back();
  EXPECT_EQ(budget.Judge(300), Verdict::kFits);
  EXPECT_EQ(budget.bytes(), 700U);
}

TEST(MemoryBudgetTest, AShareCountsUntilItsLastCopyIsGone) {
  std::optional<MemoryBudget> budget(std::in_place,
                                     MemoryBudgetLimits{1000, 1000, 0});
  MemoryBudget::Share share = budget->Take(1000);
  MemoryBudget::Share copy = share;
  share.reset();
  EXPECT_EQ(budget->bytes(), 1000U);
  copy.reset();
  EXPECT_EQ(budget->bytes(), 0U);
  // A share may outlive the budget.
  copy = budget->Take(1);
  budget.reset();
  copy.reset();
}

TEST(MemoryPlanTest, ItsPartsLeaveTheRestToTheProgram) {
  for (const uint32_t memory_mb : {kSmallestEntryMb, 128U, 260U, 512U}) {
    const MemoryPlan plan = MemoryPlan::Make(memory_mb);
    EXPECT_LE(plan.intake_bytes + plan.work_bytes + plan.frame_bytes +
                  plan.connection_bytes + plan.cancel_bytes,
              memory_mb * kMib * 3 / 4);
  }
}

TEST(MemoryPlanTest, ConnectionsAndCancelsAreCountedByWhatTheyTake) {
  constexpr size_t kMany = 1'000'000;
  constexpr size_t kReceiveBuffer = 32'768;
  const MemoryPlan plan = MemoryPlan::Make(kSmallestEntryMb);
  const size_t connections = plan.MaxConnections(kReceiveBuffer, kMany);
  EXPECT_LE(connections * kReceiveBuffer, plan.connection_bytes);
  EXPECT_EQ(plan.MaxConnections(kReceiveBuffer, 100), 100U);
  EXPECT_GT(plan.MaxConnections(0, kMany), connections);
  EXPECT_LT(plan.MaxCancels(kMany), kMany);
  // A machine that does not say what it has leaves it to the settings.
  const MemoryPlan unknown = MemoryPlan::Make(0);
  EXPECT_EQ(unknown.MaxConnections(kReceiveBuffer, kMany), kMany);
  EXPECT_EQ(unknown.MaxCancels(kMany), kMany);
  EXPECT_EQ(unknown.work_bytes, plan.work_bytes);
}

// The widest job that the system is designed for, with the longest payload, and
// as many of the sheets' jobs as the smallest entry may hold.
TEST(JobBudgetTest, HonestJobsAreHeld) {
  JobBudget budget(Limits());
  HeldJob widest = MakeJob("a", 640);
  widest.payload.assign(4000, 'x');
  EXPECT_EQ(budget.Admit(widest).refusal, Reason::kNone);
  const JobBudget::Admission held = budget.Admit(widest);
  EXPECT_NE(held.share, nullptr);
  std::vector<JobBudget::Admission> ordinary;
  HeldJob job = MakeJob("b", 8);
  job.payload.assign(1200, 'x');
  for (int i = 0; i < 800; ++i) {
    ordinary.push_back(budget.Admit(job));
    ASSERT_EQ(ordinary.back().refusal, Reason::kNone) << i;
  }
}

TEST(JobBudgetTest, WhatCanNeverBeHeldIsToldFromWhatCannotBeHeldNow) {
  JobBudget budget(Limits());
  EXPECT_EQ(budget.Admit(MakeJob("a", 10'001)).refusal, Reason::kTooManyTasks);
  HeldJob heavy = MakeJob("a", 10'000);
  heavy.payload.assign(4000, 'x');
  EXPECT_EQ(budget.Admit(heavy).refusal, Reason::kJobTooLarge);
  const JobBudget::Admission wide = budget.Admit(MakeJob("a", 10'000));
  ASSERT_EQ(wide.refusal, Reason::kNone);
  EXPECT_EQ(budget.Admit(MakeJob("b", 10'000)).refusal,
            Reason::kEntryOverloaded);
  EXPECT_EQ(budget.Admit(MakeJob("c", 8)).refusal, Reason::kNone);
}

TEST(JobBudgetTest, LabelsAndStepsCount) {
  HeldJob job = MakeJob("a", 1);
  const size_t before = BytesOfJob(job);
  job.steps[0].required_label.assign(1000, 'x');
  job.steps[0].preferred_rack.assign(1000, 'x');
  EXPECT_GE(BytesOfJob(job), before + 2000);
  job.steps.resize(100);
  EXPECT_GE(BytesOfJob(job), before + 2000 + 99 * sizeof(HeldStep));
}

}  // namespace
}  // namespace qs::test
