#include "held/worker_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "held_harness.h"

namespace qs::test {
namespace {

constexpr int kWorkersPerZone = 3;

class WorkerTableTest : public ::testing::Test {
 protected:
  static WorkerTableOptions Options() {
    WorkerTableOptions options;
    options.zone = "z0";
    return options;
  }

  // Reports workers with 32 cores each in two zones, with these millicores used
  // on each worker of the own and of the other zone.
  void ReportFleet(int64_t own_used, int64_t other_used) {
    for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
      const bool is_own = i < kWorkersPerZone;
      RunReport report = MakeReport(1, is_own ? own_used : other_used);
      report.zone = is_own ? "z0" : "z1";
      Report(i, report);
    }
  }

  void Report(int worker, const RunReport& report) {
    const Incarnation guard{static_cast<uint64_t>(worker) + 100};
    WorkerRecord* record = table_.Find(guard);
    if (record == nullptr) {
      record = table_.OnGuardConnected(
          Address{1, static_cast<uint16_t>(100 + worker)}, guard, At(0));
    }
    table_.OnReport(record, report, At(0));
  }

  // Places up to `count` tasks. Returns the number placed in each zone.
  std::map<std::string, int> Place(int count, int64_t cpu = 3000) {
    std::map<std::string, int> placed;
    PlacementNeed need;
    need.service = "svc";
    need.resources = {cpu, 64, 0};
    need.estimate = Millis(100);
    for (int i = 0; i < count; ++i) {
      Incarnation guard;
      WorkerRecord* record = table_.Choose(need, true, At(0), &guard);
      if (record == nullptr) break;
      ++placed[record->report.zone];
      RunOrder order;
      order.number = ++next_;
      order.need = need.resources;
      order.estimate = need.estimate;
      WorkerTable::OnOrderSent(record, order);
    }
    return placed;
  }

  WorkerTable table_{Options(), 5};
  uint64_t next_ = 0;
};

// In normal operation each zone has capacity for the work of its own callers.
TEST_F(WorkerTableTest, ALightlyLoadedZoneKeepsItsWork) {
  ReportFleet(0, 0);
  EXPECT_EQ(Place(20), (std::map<std::string, int>{{"z0", 20}}));
}

// Callers move to one zone, or a burst arrives there: the other zones share the
// work.
TEST_F(WorkerTableTest, ABusyZoneSharesItsWorkWithAll) {
  ReportFleet(24'000, 0);
  EXPECT_GE(Place(20)["z1"], 15);
}

TEST_F(WorkerTableTest, AFullZoneLeavesNoTaskWaiting) {
  ReportFleet(32'000, 0);
  EXPECT_EQ(Place(30), (std::map<std::string, int>{{"z1", 30}}));
}

// Workers of one fleet differ in speed. A job of many short tasks ends with its
// slowest task and has little slack, so its tasks prefer fast workers.
TEST_F(WorkerTableTest, UrgentTasksGoToFastWorkersAndRelaxedOnesToSlow) {
  for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
    RunReport report = MakeReport(1);
    report.slowness = i % 2 == 0 ? 80 : 125;
    Report(i, report);
  }
  const auto fast_of = [&](Millis slack) {
    PlacementNeed need;
    need.service = "svc";
    need.resources = {3000, 64, 0};
    need.estimate = Millis(100);
    need.remaining = need.estimate + slack;
    need.width = 8;
    int fast = 0;
    for (int i = 0; i < 60; ++i) {
      Incarnation guard;
      const WorkerRecord* record = table_.Choose(need, true, At(0), &guard);
      if (record->report.slowness == 80) ++fast;
    }
    return fast;
  };
  EXPECT_EQ(fast_of(Millis(100)), 60);
  EXPECT_LT(fast_of(Millis(600)), 20);
}

// Admission counts what workers deliver, not their cores.
TEST_F(WorkerTableTest, CapacityIsWhatWorkersDeliver) {
  for (int i = 0; i < 6; ++i) {
    RunReport report = MakeReport(1);
    report.slowness = i < 4 ? 50 : 200;
    report.slowness_runs = 1000;
    report.labels = {i < 4 ? "a" : "b"};
    Report(i, report);
  }
  const int64_t delivered = table_.DeliveredCpu("svc", At(0));
  EXPECT_NEAR(static_cast<double>(delivered), 4 * 64'000 + 2 * 16'000, 30'000);
  for (int i = 0; i < 12; ++i) {
    RunReport report = MakeReport(2);
    report.slowness = 130;
    report.slowness_runs = 1000;
    report.labels = {i % 6 < 4 ? "a" : "b"};
    Report(i % 6, report);
  }
  // Where estimates are too low, alike workers count with their cores.
  EXPECT_EQ(table_.DeliveredCpu("svc", At(0)), 6 * 32'000);
  // Reports that are too old, and workers that take no work, do not count.
  EXPECT_EQ(table_.DeliveredCpu("svc", At(1000)), 0);
}

// Failure: a worker turns from fast to slow and back.
TEST_F(WorkerTableTest, ASlowWorkerIsToldOnceAndGetsFewTrialRuns) {
  RunReport report = MakeReport(1);
  report.slowness_runs = 100;
  for (int i = 0; i < 6; ++i) Report(i, report);
  WorkerRecord* slow = table_.Find(Incarnation{100});
  report.slowness = 600;
  EXPECT_EQ(table_.OnReport(slow, report, At(0)), SpeedChange::kBecameSlow);
  EXPECT_EQ(table_.OnReport(slow, report, At(0)), SpeedChange::kNone);
  PlacementNeed need;
  need.service = "svc";
  need.resources = {1000, 64, 0};
  need.estimate = Millis(50);
  need.remaining = Millis(140);
  int on_slow = 0;
  for (int i = 0; i < 100; ++i) {
    Incarnation guard;
    table_.Choose(need, true, At(0), &guard);
    on_slow += guard == Incarnation{100} ? 1 : 0;
  }
  EXPECT_EQ(on_slow, 1);
  EXPECT_EQ(table_.last_choice(), PlacementChoice::kOnTime);
  report.slowness = 100'000;
  EXPECT_EQ(table_.OnReport(slow, report, At(0)), SpeedChange::kIgnored);
  report.slowness = 110;
  EXPECT_EQ(table_.OnReport(slow, report, At(0)), SpeedChange::kBecameSound);
}

// Many entries have a few tasks that wait for a moment. One guard received
// reports of waiting work from more entries than the others did; that alone
// must not make the fleet look overloaded.
TEST_F(WorkerTableTest, TheWorkOfOtherEntriesIsTheMeanOfThoseThatReported) {
  for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
    RunReport report = MakeReport(1);
    report.linked_entries = 11;
    report.telling_entries = i == 0 ? 10 : 2;
    report.waiting_work = {i == 0 ? 4000U : 200U, 0, 100};
    Report(i, report);
  }
  // 20 entries reported 5000 in total, which is 250 each, and 10 other entries
  // are linked to each guard.
  EXPECT_EQ(table_.WaitingWorkOfOthers(At(0)), (WorkByUrgency{2500, 0, 300}));
  EXPECT_EQ(table_.WaitingWorkOfOthers(At(1000)), WorkByUrgency{});
}

// Load: the queues of the guards hold tasks that can wait.
TEST_F(WorkerTableTest, LessUrgentWorkInAQueueDoesNotDelayATask) {
  RunReport report = MakeReport(1, 32'000);
  report.queued_work = 4000;
  report.queued_by_urgency = {0, 100, 3900};
  Report(0, report);
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  Incarnation guard;
  EXPECT_EQ(table_.Choose(need, false, At(0), &guard), nullptr);
  need.urgency_band = 1;
  WorkerRecord* record = table_.Choose(need, false, At(0), &guard);
  ASSERT_NE(record, nullptr);
  // The guard refuses one such task; its queue is full for it.
  table_.OnOrderRefused(record, 1, At(0));
  EXPECT_EQ(table_.Choose(need, false, At(10), &guard), nullptr);
  need.urgency_band = 0;
  EXPECT_NE(table_.Choose(need, false, At(10), &guard), nullptr);
  need.urgency_band = 1;
  report.queued_work = 3000;  // The bands exceed the sum.
  Report(0, report);
  EXPECT_NE(table_.Choose(need, false, At(10), &guard), nullptr);
}

// Guards against an entry that never queues at a guard again because its queue
// keeps its length while its runs change.
TEST_F(WorkerTableTest, ARefusalForAFullQueueLapsesOnAnUnchangedQueue) {
  RunReport report = MakeReport(1, 32'000);
  report.queued_work = 100;
  report.queued_by_urgency = {0, 100, 0};
  Report(0, report);
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  need.urgency_band = 1;
  Incarnation guard;
  WorkerRecord* record = table_.Choose(need, false, At(0), &guard);
  ASSERT_NE(record, nullptr);
  table_.OnOrderRefused(record, 1, At(0));
  EXPECT_EQ(table_.Choose(need, false, At(100), &guard), nullptr);
  EXPECT_NE(table_.Choose(need, false, At(300), &guard), nullptr);
}

TEST_F(WorkerTableTest, AReportWithoutAnOfferKeepsTheLastOne) {
  ReportFleet(0, 32'000);
  RunReport brief;
  brief.has_offer = false;
  brief.state = ServingState::kServing;
  for (int i = 0; i < kWorkersPerZone; ++i) Report(i, brief);
  EXPECT_EQ(Place(5)["z0"], 5);
  EXPECT_EQ(table_.DeliveredCpu("svc", At(0)), 6 * 32'000);
}

// Guards against tasks sent to a worker whose capacity has just shrunk: the
// runs beyond it must end before another can start.
TEST_F(WorkerTableTest, AWorkerThatRunsMoreThanItsCapacityGetsNoTask) {
  Report(0, MakeReport(1, 28'000, 8'000));
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  Incarnation guard;
  EXPECT_EQ(table_.Choose(need, false, At(0), &guard), nullptr);
  EXPECT_EQ(table_.DeliveredCpu("svc", At(0)), 8000);
  // With the next report it gets tasks again.
  Report(0, MakeReport(2, 4000, 8'000));
  EXPECT_NE(table_.Choose(need, false, At(0), &guard), nullptr);
}

TEST_F(WorkerTableTest, AWorkerWithoutCapacityGetsNoTask) {
  RunReport none = MakeReport(1, 0, 0);
  none.capacity = {};
  Report(0, none);
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  Incarnation guard;
  EXPECT_EQ(table_.Choose(need, false, At(0), &guard), nullptr);
  EXPECT_EQ(table_.ChooseToRunAlone(need, At(0), &guard), nullptr);
  EXPECT_EQ(table_.DeliveredCpu("svc", At(0)), 0);
  EXPECT_TRUE(table_.LacksOffer(need));
}

// Guards against a job that fails as impossible because of the moment at which
// it arrives.
TEST_F(WorkerTableTest, WhatAWorkerOfferedCountsWhileItsCapacityIsSmall) {
  PlacementNeed need;
  need.service = "svc";
  need.resources = {20'000, 64, 0};
  // The usual capacity of a worker that has none now is not known.
  Report(0, MakeReport(1, 0, 0));
  EXPECT_TRUE(table_.CouldEverRun(need));
  Report(0, MakeReport(2, 0, 8000));
  EXPECT_FALSE(table_.CouldEverRun(need));
  Report(0, MakeReport(3));
  EXPECT_TRUE(table_.CouldEverRun(need));
  Report(0, MakeReport(4, 0, 8000));
  EXPECT_TRUE(table_.CouldEverRun(need));
}

TEST_F(WorkerTableTest, ATaskThatRunsAlonePrefersAnIdleWorker) {
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  for (int i = 0; i < 6; ++i) Report(i, MakeReport(1, i == 3 ? 0 : 4000));
  for (int i = 0; i < 20; ++i) {
    Incarnation guard;
    ASSERT_NE(table_.ChooseToRunAlone(need, At(0), &guard), nullptr);
    EXPECT_EQ(guard, Incarnation{103});
  }
  // If no worker is idle, the one that uses least is chosen, even if the task
  // does not fit beside what runs there.
  for (int i = 0; i < 6; ++i) {
    Report(i, MakeReport(2, i == 2 ? 31'000 : 32'000));
  }
  Incarnation guard;
  ASSERT_NE(table_.ChooseToRunAlone(need, At(0), &guard), nullptr);
  EXPECT_EQ(guard, Incarnation{102});
}

// Guards against tasks sent to wait behind a run that is alone on its worker.
TEST_F(WorkerTableTest, AnOrderThatRunsAloneOccupiesTheWholeWorker) {
  Report(0, MakeReport(1));
  RunOrder order;
  order.number = 1;
  order.need = {3000, 64, 0};
  order.estimate = Millis(100);
  order.must_run_alone = true;
  WorkerTable::OnOrderSent(table_.Find(Incarnation{100}), order);
  PlacementNeed need;
  need.service = "svc";
  need.resources = {3000, 64, 0};
  Incarnation guard;
  EXPECT_EQ(table_.Choose(need, false, At(0), &guard), nullptr);
  RunReport report = MakeReport(2);
  report.seen_order = 1;
  Report(0, report);
  EXPECT_NE(table_.Choose(need, false, At(0), &guard), nullptr);
}

// Guards against a worker that announces other labels each time.
TEST_F(WorkerTableTest, OffersBeyondTheirMemoryAreNotRemembered) {
  constexpr size_t kLabelBytes = 60'000;
  const size_t fits = WorkerTableOptions().max_offer_bytes / kLabelBytes;
  PlacementNeed need;
  need.service = "svc";
  size_t remembered = 0;
  for (size_t i = 0; i < 2 * fits; ++i) {
    RunReport report = MakeReport(1);
    report.labels = {std::string(kLabelBytes, 'x') + std::to_string(i)};
    report.zone = "z0";
    Report(0, report);
    remembered = std::max(remembered, table_.offer_count());
  }
  EXPECT_GT(remembered, fits / 2);
  EXPECT_LE(remembered, fits);
  // It may have been among those that were not remembered.
  need.required_label = "unknown";
  EXPECT_TRUE(table_.CouldEverRun(need));
}

}  // namespace
}  // namespace qs::test
