#include "base/line_budget.h"

#include <gtest/gtest.h>

namespace qs::test {
namespace {

Instant At(int64_t ms) {
  return Instant() + std::chrono::hours(1) + Millis(ms);
}

TEST(LineBudgetTest, ABurstPassesAndAFloodIsBounded) {
  LineBudget budget(100, 20);
  int passed = 0;
  for (int i = 0; i < 1000; ++i) passed += budget.Take(At(0)) ? 1 : 0;
  EXPECT_EQ(passed, 20);
  EXPECT_EQ(budget.TakeDropped(), 980U);
  EXPECT_EQ(budget.TakeDropped(), 0U);
}

TEST(LineBudgetTest, ItRefillsWithTimeButNotBeyondTheBurst) {
  LineBudget budget(100, 20);
  while (budget.Take(At(0))) {
  }
  EXPECT_FALSE(budget.Take(At(5)));
  EXPECT_TRUE(budget.Take(At(20)));
  int passed = 0;
  for (int i = 0; i < 100; ++i) passed += budget.Take(At(60'000)) ? 1 : 0;
  EXPECT_EQ(passed, 20);
}

}  // namespace
}  // namespace qs::test
