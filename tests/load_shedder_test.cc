#include "held/load_shedder.h"

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
  LoadShedder shedder{LoadShedderOptions()};
  std::deque<Instant> waiting;
  Totals totals;
  for (int ms = 0; ms < duration_ms; ++ms) {
    if (ms % intervals.arrival_interval_ms == 0) {
      if (shedder.TryAccept()) {
        waiting.push_back(At(ms));
      } else {
        ++totals.refused;
      }
    }
    if (ms % intervals.processing_interval_ms != 0 || waiting.empty()) continue;
    const Millis wait = Elapsed(waiting.front(), At(ms));
    shedder.OnDequeued(waiting.front(), At(ms));
    waiting.pop_front();
    ++totals.processed;
    if (ms > duration_ms / 2) {
      totals.longest_wait = std::max(totals.longest_wait, wait);
    }
  }
  return totals;
}

TEST(LoadShedderTest, AcceptsAllWhileTheProcessKeepsUp) {
  const Totals totals = Simulate({5, 6}, 10'000);
  EXPECT_EQ(totals.refused, 0);
}

// Requests arrive at a small entry in a busy zone three times as fast as it can
// process them.
TEST(LoadShedderTest, AnOverloadedProcessKeepsWaitsShort) {
  const Totals totals = Simulate({9, 3}, 10'000);
  EXPECT_GE(totals.processed, 10'000 / 9 - 5);
  EXPECT_LT(totals.longest_wait, Millis(100));
}

TEST(LoadShedderTest, ABurstThatIsProcessedInTimeIsAccepted) {
  LoadShedder shedder{LoadShedderOptions()};
  for (int i = 0; i < 40; ++i) EXPECT_TRUE(shedder.TryAccept());
  for (int i = 0; i < 40; ++i) shedder.OnDequeued(At(0), At(i));
  EXPECT_EQ(shedder.waiting(), 0);
  EXPECT_TRUE(shedder.TryAccept());
}

// The process is paused. The number of waiting requests is bounded although no
// earlier request waited long.
TEST(LoadShedderTest, ASuspendedProcessAcceptsNoMoreThanItsBound) {
  LoadShedder shedder{LoadShedderOptions()};
  int accepted = 0;
  for (int i = 0; i < 500; ++i) accepted += shedder.TryAccept() ? 1 : 0;
  EXPECT_EQ(accepted, LoadShedderOptions().max_queue_length);
}

}  // namespace
}  // namespace qs::test
