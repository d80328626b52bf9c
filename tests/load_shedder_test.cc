#include "held/load_shedder.h"

#include <gtest/gtest.h>

#include <deque>

#include "held_harness.h"

namespace qs::test {
namespace {

// A process that takes one request in so many milliseconds, and callers who
// send one in so many.
struct Load {
  int takes_one_in_ms;
  int comes_one_in_ms;
};

struct Served {
  int taken = 0;
  int refused = 0;
  Millis longest_wait{0};  // Of the second half, when things have settled.
};

Served Play(const Load& load, int duration_ms) {
  LoadShedder gate{LoadShedderOptions()};
  std::deque<Instant> waiting;
  Served served;
  for (int ms = 0; ms < duration_ms; ++ms) {
    if (ms % load.comes_one_in_ms == 0) {
      if (gate.TryAccept()) {
        waiting.push_back(At(ms));
      } else {
        ++served.refused;
      }
    }
    if (ms % load.takes_one_in_ms != 0 || waiting.empty()) continue;
    const Millis wait = Elapsed(waiting.front(), At(ms));
    gate.OnDequeued(waiting.front(), At(ms));
    waiting.pop_front();
    ++served.taken;
    if (ms > duration_ms / 2) {
      served.longest_wait = std::max(served.longest_wait, wait);
    }
  }
  return served;
}

TEST(LoadShedderTest, LetsAllInWhileTheProcessKeepsUp) {
  const Served served = Play({5, 6}, 10'000);
  EXPECT_EQ(served.refused, 0);
}

// A small entry in a busy zone: callers come three times as fast as it works.
TEST(LoadShedderTest, AnOverloadedProcessWorksOnFreshRequestsOnly) {
  const Served served = Play({9, 3}, 10'000);
  EXPECT_GE(served.taken, 10'000 / 9 - 5);
  EXPECT_LT(served.longest_wait, Millis(100));
}

TEST(LoadShedderTest, ABurstThatIsWorkedOffInTimeIsLetIn) {
  LoadShedder gate{LoadShedderOptions()};
  for (int i = 0; i < 40; ++i) EXPECT_TRUE(gate.TryAccept());
  for (int i = 0; i < 40; ++i) gate.OnDequeued(At(0), At(i));
  EXPECT_EQ(gate.waiting(), 0);
  EXPECT_TRUE(gate.TryAccept());
}

// The process was paused: what waits is bounded though nothing was slow before.
TEST(LoadShedderTest, AProcessThatStandsStillLetsNoMoreThanItsBoundIn) {
  LoadShedder gate{LoadShedderOptions()};
  int entered = 0;
  for (int i = 0; i < 500; ++i) entered += gate.TryAccept() ? 1 : 0;
  EXPECT_EQ(entered, LoadShedderOptions().most_waiting);
}

}  // namespace
}  // namespace qs::test
