#include "held/worker_table.h"

#include <gtest/gtest.h>

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

  // Workers of two zones, of 32 cores each, on which so much is in use.
  void Fleet(int64_t own_used, int64_t other_used) {
    for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
      const bool is_own = i < kWorkersPerZone;
      RunReport report = MakeReport(1, is_own ? own_used : other_used);
      report.zone = is_own ? "z0" : "z1";
      Report(i, report);
    }
  }

  void Report(int worker, const RunReport& report) {
    const Incarnation guard{static_cast<uint64_t>(worker) + 100};
    WorkerEntry* entry = table_.Find(guard);
    if (entry == nullptr) {
      entry = table_.OnUp(Address{1, static_cast<uint16_t>(100 + worker)},
                          guard, At(0));
    }
    table_.OnReport(entry, report, At(0));
  }

  // How many of `count` tasks went to each zone.
  std::map<std::string, int> Place(int count, int64_t cpu = 3000) {
    std::map<std::string, int> placed;
    PlacementNeed need;
    need.service = "svc";
    need.need = {cpu, 64, 0};
    need.estimate = Millis(100);
    for (int i = 0; i < count; ++i) {
      Incarnation guard;
      WorkerEntry* entry = table_.Choose(need, true, At(0), &guard);
      if (entry == nullptr) break;
      ++placed[entry->report.zone];
      RunOrder order;
      order.number = ++next_;
      order.need = need.need;
      order.estimate = need.estimate;
      WorkerTable::OnOrdered(entry, order);
    }
    return placed;
  }

  WorkerTable table_{Options(), 5};
  uint64_t next_ = 0;
};

// An ordinary day: each zone has room for the work of its own callers.
TEST_F(WorkerTableTest, AQuietZoneKeepsItsWork) {
  Fleet(0, 0);
  EXPECT_EQ(Place(20), (std::map<std::string, int>{{"z0", 20}}));
}

// Callers move to one zone, or many come at once.
TEST_F(WorkerTableTest, ABusyZoneSharesItsWorkWithAll) {
  Fleet(24'000, 0);
  EXPECT_GE(Place(20)["z1"], 15);
}

TEST_F(WorkerTableTest, AFullZoneLeavesNoTaskWaiting) {
  Fleet(32'000, 0);
  EXPECT_EQ(Place(30), (std::map<std::string, int>{{"z1", 30}}));
}

// Wide jobs of short tasks end with their slowest one, and have little slack;
// workers of one fleet differ in speed.
TEST_F(WorkerTableTest, UrgentTasksGoToFastWorkersAndPatientOnesLeaveThem) {
  for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
    RunReport report = MakeReport(1);
    report.slowness = i % 2 == 0 ? 80 : 125;
    Report(i, report);
  }
  const auto fast_of = [&](Millis slack) {
    PlacementNeed need;
    need.service = "svc";
    need.need = {3000, 64, 0};
    need.slack = slack;
    int fast = 0;
    for (int i = 0; i < 60; ++i) {
      Incarnation guard;
      const WorkerEntry* entry = table_.Choose(need, true, At(0), &guard);
      if (entry->report.slowness == 80) ++fast;
    }
    return fast;
  };
  EXPECT_EQ(fast_of(Millis(100)), 60);
  EXPECT_LT(fast_of(Millis(600)), 20);
}

// Many entries have a few tasks waiting for an instant each. That one guard has
// heard of more of them than others does not make the fleet overloaded.
TEST_F(WorkerTableTest, TheWorkOfOtherEntriesIsTheMeanOfThoseThatTold) {
  for (int i = 0; i < 2 * kWorkersPerZone; ++i) {
    RunReport report = MakeReport(1);
    report.linked_entries = 11;
    report.telling_entries = i == 0 ? 10 : 2;
    report.waiting_work = {i == 0 ? 4000U : 200U, 0, 100};
    Report(i, report);
  }
  // 5000 of 20 that told are 250 each, 10 others have a link to each guard.
  EXPECT_EQ(table_.WaitingWorkOfOthers(At(0)), (WorkByUrgency{2500, 0, 300}));
  EXPECT_EQ(table_.WaitingWorkOfOthers(At(1000)), WorkByUrgency{});
}

TEST_F(WorkerTableTest, AReportWithoutAnOfferKeepsTheLastOne) {
  Fleet(0, 32'000);
  RunReport brief;
  brief.has_offer = false;
  brief.state = ServingState::kServing;
  for (int i = 0; i < kWorkersPerZone; ++i) Report(i, brief);
  EXPECT_EQ(Place(5)["z0"], 5);
  EXPECT_EQ(table_.ServingCpu("svc", At(0)), 6 * 32'000);
}

}  // namespace
}  // namespace qs::test
