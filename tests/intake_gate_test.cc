#include "held/intake_gate.h"

#include <gtest/gtest.h>

#include <deque>

#include "held_harness.h"

namespace qs::test {
namespace {

// Time between two requests that the process handles at full load, and between
// two that arrive.
struct Intervals {
  int processing_interval_ms;
  int arrival_interval_ms;
};

struct Totals {
  int processed = 0;
  int refused = 0;
  Millis longest_wait{0};  // In the second half, after the load has settled.
};

Totals Simulate(const Intervals& intervals, int duration_ms) {
  IntakeGate shedder{IntakeGateOptions()};
  std::deque<Instant> waiting;
  Totals totals;
  for (int ms = 0; ms < duration_ms; ++ms) {
    if (ms % intervals.arrival_interval_ms == 0) {
      if (shedder.TryEnter()) {
        waiting.push_back(At(ms));
      } else {
        ++totals.refused;
      }
    }
    if (ms % intervals.processing_interval_ms != 0 || waiting.empty()) continue;
    const Millis wait = Elapsed(waiting.front(), At(ms));
    shedder.OnTaken(waiting.front(), At(ms));
    waiting.pop_front();
    ++totals.processed;
    if (ms > duration_ms / 2) {
      totals.longest_wait = std::max(totals.longest_wait, wait);
    }
  }
  return totals;
}

TEST(IntakeGateTest, AcceptsAllWhileTheProcessKeepsUp) {
  const Totals totals = Simulate({5, 6}, 10'000);
  EXPECT_EQ(totals.refused, 0);
}

// Requests arrive at a small entry in a busy zone three times as fast as it can
// process them.
TEST(IntakeGateTest, AnOverloadedProcessKeepsWaitsShort) {
  const Totals totals = Simulate({9, 3}, 10'000);
  EXPECT_GE(totals.processed, 10'000 / 9 - 5);
  EXPECT_LT(totals.longest_wait, Millis(100));
}

TEST(IntakeGateTest, ABurstThatIsProcessedInTimeIsAccepted) {
  IntakeGate shedder{IntakeGateOptions()};
  for (int i = 0; i < 40; ++i) EXPECT_TRUE(shedder.TryEnter());
  for (int i = 0; i < 40; ++i) shedder.OnTaken(At(0), At(i));
  EXPECT_EQ(shedder.waiting(), 0);
  EXPECT_TRUE(shedder.TryEnter());
}

// The process is paused. The number of waiting requests is bounded although no
// earlier request waited long.
TEST(IntakeGateTest, ASuspendedProcessAcceptsNoMoreThanItsBound) {
  IntakeGate shedder{IntakeGateOptions()};
  int accepted = 0;
  for (int i = 0; i < 500; ++i) accepted += shedder.TryEnter() ? 1 : 0;
  EXPECT_EQ(accepted, IntakeGateOptions().max_queue_length);
}

}  // namespace
}  // namespace qs::test
