// The whole path on real processes: entry, guards, backend servers.

#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>
#include <vector>

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

// Guards against an entry that never ends, and callers that are never answered:
// they use open connections until the process is gone.
TEST(PathTest, AnEntryStopsWhileCallersUseOpenConnections) {
  constexpr int kCallers = 8;
  constexpr int kStops = 6;  // A call has to come at a stop's last moment.
  constexpr Millis kIdleLimit{3'600'000};
  Cluster cluster{ClusterOptions()};
  HttpClient::Request request;
  request.method = "GET";
  for (int stop = 0; stop < kStops; ++stop) {
    ASSERT_TRUE(cluster.WaitReady());
    request.target = "/v1/submissions/" + cluster.Mint(0);
    std::atomic<bool> is_gone{false};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        HttpClient client(cluster.entry_http(0), kIdleLimit);
        while (!is_gone) {
          (void)client.Exchange(request);
          std::this_thread::sleep_for(Millis(1));
        }
      });
    }
    std::this_thread::sleep_for(Millis(100));
    cluster.entry(0).Signal(SIGTERM);
    EXPECT_EQ(cluster.entry(0).Wait(Millis(10'000)), 0);
    is_gone = true;
    cluster.entry(0).Kill();  // Ends the calls of a process that hangs.
    for (std::thread& caller : callers) caller.join();
    cluster.StartEntry(0);
  }
}

}  // namespace
}  // namespace qs::test
