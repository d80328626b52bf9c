// The whole path on real processes: entry, guards, backend servers.

#include <gtest/gtest.h>
#include <signal.h>

#include "lib/cluster.h"

namespace qs::test {
namespace {

using nlohmann::json;

TEST(PathTest, AnswersOneTaskFromEndToEnd) {
  Cluster cluster({});
  ASSERT_TRUE(cluster.WaitReady());
  const json answer = cluster.Ask(0, "POST", "/v1/run", JobBody("a", 1, 5));
  EXPECT_EQ(answer.value("state", ""), "complete") << answer;
  EXPECT_EQ(answer["results"], json::array({"done:a-0|5"}));
  EXPECT_EQ(cluster.Starts(), (std::map<std::string, int>{{"a-0", 1}}));
}

TEST(PathTest, AnswersInOrderAndOnceThroughEveryEntry) {
  ClusterOptions options;
  options.entries = 2;
  options.guards = 3;
  Cluster cluster(options);
  ASSERT_TRUE(cluster.WaitReady());
  const std::string id = cluster.Mint(0);
  const std::string target = "/v1/submissions/" + id + "?wait=30000";
  const std::string body = JobBody("b", 100, 3, false);
  const json first = cluster.Ask(0, "PUT", target, body);
  const json second = cluster.Ask(1, "PUT", target, body);
  EXPECT_EQ(first.value("state", ""), "complete") << first;
  EXPECT_EQ(first, second);
  ASSERT_EQ(first["results"].size(), 100U);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(first["results"][static_cast<size_t>(i)],
              "done:b-" + std::to_string(i) + "|3");
  }
  const auto starts = cluster.Starts();
  EXPECT_EQ(starts.size(), 100U);
  for (const auto& [name, count] : starts) EXPECT_EQ(count, 1) << name;
}

TEST(PathTest, StopsGracefullyUnderWork) {
  ClusterOptions options;
  options.guards = 2;
  Cluster cluster(options);
  ASSERT_TRUE(cluster.WaitReady());
  json answer;
  std::thread caller([&] {
    answer = cluster.Ask(0, "POST", "/v1/run", JobBody("c", 40, 100));
  });
  ASSERT_TRUE(WaitUntil([&] { return cluster.Starts().size() >= 8; }));
  for (int i = 0; i < 2; ++i) cluster.guard(i).Signal(SIGTERM);
  caller.join();
  // The job was in progress, so the stop of every guard lets it end.
  EXPECT_EQ(answer.value("state", ""), "complete") << answer;
  EXPECT_EQ(answer["results"].size(), 40U);
  const auto starts = cluster.Starts();
  EXPECT_EQ(starts.size(), 40U);
  for (const auto& [name, count] : starts) EXPECT_EQ(count, 1) << name;
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(cluster.guard(i).Wait(Millis(60'000)), 0);
  }
  cluster.entry(0).Signal(SIGTERM);
  EXPECT_EQ(cluster.entry(0).Wait(Millis(60'000)), 0);
}

}  // namespace
}  // namespace qs::test
