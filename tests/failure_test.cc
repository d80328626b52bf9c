// Failures on real processes. The judge is the start log of every backend
// server: no task starts twice, an answer is whole or failed, and "not run" is
// true, whatever is killed, paused or cut off.

#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <thread>

#include "lib/cluster.h"

namespace qs::test {
namespace {

using nlohmann::json;

constexpr size_t kManyJobs = 20;

class FailureTest : public testing::Test {
 protected:
  void StartCluster(const ClusterOptions& options) {
    cluster_ = std::make_unique<Cluster>(options);
    ASSERT_TRUE(cluster_->WaitReady());
  }

  static ClusterOptions Guards(int guards, int entries = 2) {
    ClusterOptions options;
    options.guards = guards;
    options.entries = entries;
    return options;
  }

  // Hands in a job and returns its id; the answer is fetched with WaitAnswer.
  std::string Submit(const std::string& prefix, int tasks, int run_ms,
                     int deadline_ms = 30'000) {
    std::string id = cluster_->Mint(0);
    bodies_[id] = JobBody(prefix, tasks, run_ms, false, deadline_ms);
    prefixes_[id] = prefix;
    cluster_->Ask(0, "PUT", "/v1/submissions/" + id, bodies_[id]);
    return id;
  }

  json WaitAnswer(const std::string& id, int entry = 1) {
    json answer;
    EXPECT_TRUE(WaitUntil([&] {
      answer =
          cluster_->Ask(entry, "GET", "/v1/submissions/" + id + "?wait=2000");
      return answer.contains("results") || answer.contains("outcome");
    }));
    return answer;
  }

  size_t Started(const std::string& prefix) {
    size_t count = 0;
    for (const auto& [name, starts] : cluster_->Starts()) {
      count += name.starts_with(prefix + "-") ? 1 : 0;
    }
    return count;
  }

  // The guard that is the submission's home, by the address in the id.
  int HomeOf(const std::string& id) {
    const json jobs = cluster_->Ask(0, "GET", "/v1/admin/jobs");
    for (const json& row : jobs["rows"]) {
      if (row["id"] != id) continue;
      for (int i = 0; i < cluster_->guard_count(); ++i) {
        if (cluster_->guard_peer(i).ToString() == row["home"]) return i;
      }
    }
    return -1;
  }

  // Checks one answer against the start logs. Call it once nothing moves.
  void Judge(const std::string& id, const json& answer, size_t tasks) {
    const auto starts = cluster_->Starts();
    const std::string prefix = prefixes_[id];
    for (const auto& [name, count] : starts) EXPECT_EQ(count, 1) << name;
    if (!answer.contains("results")) return;
    ASSERT_EQ(answer["results"].size(), tasks) << answer;
    const bool complete = answer["state"] == "complete";
    for (size_t t = 0; t < tasks; ++t) {
      const json& result = answer["results"][t];
      const bool started = starts.contains(prefix + "-" + std::to_string(t));
      EXPECT_EQ(result.is_string(), complete) << result;
      if (complete) {
        EXPECT_TRUE(started) << t;
        continue;
      }
      const std::string outcome = result["outcome"];
      if (outcome == "unknown") continue;
      EXPECT_EQ(started, outcome != "not_run") << t << " " << outcome;
    }
  }

  static int Count(const json& answer, const std::string& outcome) {
    int count = 0;
    for (const json& result : answer["results"]) {
      const bool matches =
          result.is_object() && result.value("outcome", "") == outcome;
      count += matches ? 1 : 0;
    }
    return count;
  }

  std::unique_ptr<Cluster> cluster_;
  std::map<std::string, std::string> bodies_;
  std::map<std::string, std::string> prefixes_;
};

TEST_F(FailureTest, KilledExecutorLosesOnlyWhatItHeld) {
  StartCluster(Guards(3));
  const std::string id = Submit("a", 120, 100);
  ASSERT_TRUE(WaitUntil([&] { return Started("a") >= 24; }));
  const int victim = (HomeOf(id) + 1) % 3;
  cluster_->guard(victim).Kill();
  const json answer = WaitAnswer(id);
  EXPECT_EQ(answer["state"], "failed") << answer;
  EXPECT_LE(Count(answer, "unknown"), 8);
  cluster_->StartGuard(victim);
  ASSERT_TRUE(cluster_->WaitReady());
  Judge(id, answer, 120);
}

TEST_F(FailureTest, KilledHomeIsToldAsLostAndNothingRunsAgain) {
  StartCluster(Guards(3));
  const std::string id = Submit("a", 60, 100);
  ASSERT_TRUE(WaitUntil([&] { return Started("a") >= 10; }));
  const int home = HomeOf(id);
  ASSERT_GE(home, 0);
  cluster_->guard(home).Kill();
  cluster_->StartGuard(home);
  const json answer = WaitAnswer(id);
  EXPECT_EQ(answer.value("outcome", ""), "unknown") << answer;
  ASSERT_TRUE(cluster_->WaitReady());
  // The caller repeats the same submission through both entries.
  for (int entry = 0; entry < 2; ++entry) {
    const json again = cluster_->Ask(
        entry, "PUT", "/v1/submissions/" + id + "?wait=2000", bodies_[id]);
    EXPECT_EQ(again.value("reason", ""), "home_lost") << again;
  }
  const std::string next = Submit("b", 10, 10);
  EXPECT_EQ(WaitAnswer(next)["state"], "complete");
  Judge(next, WaitAnswer(next), 10);
}

TEST_F(FailureTest, KilledEntryLosesNoJob) {
  StartCluster(Guards(2));
  const std::string id = Submit("a", 60, 50);
  cluster_->entry(0).Kill();
  // Resubmission through the other entry reaches the same home.
  const json again = cluster_->Ask(
      1, "PUT", "/v1/submissions/" + id + "?wait=30000", bodies_[id]);
  EXPECT_EQ(again.value("state", ""), "complete") << again;
  Judge(id, again, 60);
}

TEST_F(FailureTest, PausedExecutorIsOutlivedAndStartsNothingLate) {
  ClusterOptions options = Guards(3);
  options.guard_settings["guard"] = "executor_lost_after_ms = 1000\n";
  options.guard_settings["members"] = "suspect_after_ms = 1000\n";
  StartCluster(options);
  const std::string id = Submit("a", 90, 100, 8000);
  ASSERT_TRUE(WaitUntil([&] { return Started("a") >= 24; }));
  const int victim = (HomeOf(id) + 1) % 3;
  cluster_->guard(victim).Signal(SIGSTOP);
  const json answer = WaitAnswer(id);
  EXPECT_EQ(answer["state"], "failed") << answer;
  EXPECT_GT(Count(answer, "unknown"), 0);
  cluster_->guard(victim).Signal(SIGCONT);
  ASSERT_TRUE(cluster_->WaitReady());
  const std::string next = Submit("b", 30, 10);
  EXPECT_EQ(WaitAnswer(next)["state"], "complete");
  Judge(id, answer, 90);
}

TEST_F(FailureTest, PausedHomeAnswersWhenItComesBack) {
  StartCluster(Guards(3));
  const std::string id = Submit("a", 40, 50);
  const int home = HomeOf(id);
  ASSERT_GE(home, 0);
  cluster_->guard(home).Signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(2500));
  cluster_->guard(home).Signal(SIGCONT);
  const json answer = WaitAnswer(id);
  ASSERT_TRUE(answer.contains("results")) << answer;
  ASSERT_TRUE(cluster_->WaitReady());
  Judge(id, answer, 40);
}

TEST_F(FailureTest, KilledBackendServerLeavesItsTasksUnknown) {
  StartCluster(Guards(2));
  const std::string id = Submit("a", 60, 100);
  ASSERT_TRUE(WaitUntil([&] { return Started("a") >= 16; }));
  cluster_->backend(1).Kill();
  const json answer = WaitAnswer(id);
  EXPECT_EQ(answer["state"], "failed") << answer;
  Judge(id, answer, 60);
  // What could not be sent to it ran elsewhere or not at all; work goes on.
  const std::string next = Submit("b", 20, 10);
  EXPECT_EQ(WaitAnswer(next)["state"], "complete");
}

// Guards against tasks that are sent to a backend server that came back after a
// crash on idle connections of before the crash, and so end as unknown.
TEST_F(FailureTest, NoTaskIsLostToAnEarlierCrashOfItsBackendServer) {
  ClusterOptions options = Guards(1);
  options.guard_settings["guard"] = "backend_idle_limit_ms = 60000\n";
  StartCluster(options);
  // Leaves an idle connection to the backend server for each slot.
  WaitAnswer(Submit("a", 32, 50));
  const std::string cut_off = Submit("b", 1, 5000);
  ASSERT_TRUE(WaitUntil([&] { return Started("b") == 1; }));
  cluster_->backend(0).Kill();
  EXPECT_EQ(Count(WaitAnswer(cut_off), "unknown"), 1);
  cluster_->StartBackend(0);
  ASSERT_TRUE(cluster_->WaitReady());
  const std::string next = Submit("c", 16, 50);
  const json answer = WaitAnswer(next);
  EXPECT_EQ(answer["state"], "complete") << answer;
  Judge(next, answer, 16);
}

TEST_F(FailureTest, AWorkerThatFailsEveryTaskIsTakenOut) {
  StartCluster(Guards(3));
  Cluster::Call(cluster_->backend_http(2), "POST", "/control",
                R"({"fail_all":true})");
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    const json answer = cluster_->Ask(0, "POST", "/v1/run",
                                      JobBody("a" + std::to_string(i), 3, 5));
    failed += answer.value("state", "") == "complete" ? 0 : 1;
  }
  EXPECT_GT(failed, 0);
  EXPECT_GT(cluster_->GuardCounter("quetzalspindle_breaker_opened_total", ""),
            0);
  const size_t failing = cluster_->StartsAt(2).size();
  const size_t all = cluster_->Starts().size();
  EXPECT_LT(failing * 3, all) << "of all starts on the failing worker";
  Cluster::Call(cluster_->backend_http(2), "POST", "/control",
                R"({"fail_all":false})");
  // Probes bring it back.
  EXPECT_TRUE(WaitUntil([&] {
    cluster_->Ask(0, "POST", "/v1/run", JobBody("probe", 30, 2));
    return cluster_->GuardCounter("quetzalspindle_breaker_closed_total", "") >
           0;
  }));
}

TEST_F(FailureTest, ADrainingBackendServerGetsNoNewWork) {
  StartCluster(Guards(2));
  const std::string drained = cluster_->guard_peer(1).ToString();
  cluster_->Ask(0, "POST", "/v1/admin/drain/" + drained);
  const size_t before = cluster_->StartsAt(1).size();
  for (int i = 0; i < 10; ++i) {
    const std::string id = Submit("a" + std::to_string(i), 20, 5);
    EXPECT_EQ(WaitAnswer(id)["state"], "complete");
  }
  EXPECT_EQ(cluster_->StartsAt(1).size(), before);
  cluster_->Ask(0, "POST", "/v1/admin/undrain/" + drained);
  EXPECT_TRUE(WaitUntil([&] {
    cluster_->Ask(0, "POST", "/v1/run", JobBody("back", 40, 5));
    return cluster_->StartsAt(1).size() > before;
  }));
}

TEST_F(FailureTest, AGracefulStopOfOneGuardCutsNothingOff) {
  StartCluster(Guards(3));
  std::vector<std::string> ids;
  ids.reserve(kManyJobs);
  for (int i = 0; i < 6; ++i) {
    ids.push_back(Submit("a" + std::to_string(i), 30, 50));
  }
  cluster_->guard(1).Signal(SIGTERM);
  for (const std::string& id : ids) {
    const json answer = WaitAnswer(id);
    EXPECT_EQ(answer["state"], "complete") << answer;
    Judge(id, answer, 30);
  }
  EXPECT_EQ(cluster_->guard(1).Wait(Millis(90'000)), 0);
}

TEST_F(FailureTest, AWaveOfCancellationsIsAnsweredTruthfully) {
  StartCluster(Guards(2));
  std::vector<std::string> ids;
  ids.reserve(kManyJobs);
  for (int i = 0; i < 20; ++i) {
    ids.push_back(Submit("a" + std::to_string(i), 20, 50));
  }
  std::vector<std::future<json>> answers;
  answers.reserve(kManyJobs);
  for (const std::string& id : ids) {
    answers.push_back(std::async(std::launch::async, [this, id] {
      return cluster_->Ask(1, "DELETE",
                           "/v1/submissions/" + id + "?wait=10000");
    }));
  }
  std::vector<json> got;
  got.reserve(kManyJobs);
  for (auto& answer : answers) got.push_back(answer.get());
  const std::string next = Submit("b", 10, 5);
  EXPECT_EQ(WaitAnswer(next)["state"], "complete");
  int cancelled = 0;
  for (size_t i = 0; i < ids.size(); ++i) {
    ASSERT_TRUE(got[i].contains("results")) << got[i];
    cancelled += got[i]["state"] == "failed" ? 1 : 0;
    Judge(ids[i], got[i], 20);
  }
  EXPECT_GT(cancelled, 0);
}

TEST_F(FailureTest, JobsRunWithoutThePlatformAndNewGuardsJoin) {
  ClusterOptions options = Guards(3);
  options.platform = true;
  options.guard_settings["members"] = "";
  StartCluster(options);
  cluster_->platform().Kill();
  const std::string id = Submit("a", 60, 20);
  EXPECT_EQ(WaitAnswer(id)["state"], "complete");
  // Two failures together: a guard is replaced during the outage.
  cluster_->guard(2).Kill();
  cluster_->StartGuard(2);
  ASSERT_TRUE(cluster_->WaitReady());
  const std::string next = Submit("b", 60, 20);
  EXPECT_EQ(WaitAnswer(next)["state"], "complete");
  Judge(next, WaitAnswer(next), 60);
}

TEST_F(FailureTest, PausedExecutorAndKilledEntryTogether) {
  ClusterOptions options = Guards(3);
  options.guard_settings["guard"] = "executor_lost_after_ms = 1000\n";
  StartCluster(options);
  const std::string id = Submit("a", 60, 100, 10'000);
  ASSERT_TRUE(WaitUntil([&] { return Started("a") >= 24; }));
  cluster_->guard((HomeOf(id) + 1) % 3).Signal(SIGSTOP);
  cluster_->entry(0).Kill();
  const json answer = cluster_->Ask(
      1, "PUT", "/v1/submissions/" + id + "?wait=30000", bodies_[id]);
  ASSERT_TRUE(answer.contains("results")) << answer;
  for (int i = 0; i < 3; ++i) cluster_->guard(i).Signal(SIGCONT);
  cluster_->StartEntry(0);
  ASSERT_TRUE(cluster_->WaitReady());
  Judge(id, answer, 60);
}

}  // namespace
}  // namespace qs::test
