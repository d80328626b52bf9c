// The operators' configuration on real processes: races, lost replies, outages.

#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <sstream>
#include <thread>

#include "lib/cluster.h"

namespace qs::test {
namespace {

using nlohmann::json;

class ConfigTest : public testing::Test {
 protected:
  void SetUp() override {
    ClusterOptions options;
    options.entries = 2;
    options.guards = 3;
    options.platform = true;
    cluster_ = std::make_unique<Cluster>(options);
    ASSERT_TRUE(cluster_->WaitReady());
    ASSERT_TRUE(WaitInForce(1));
  }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::string path = cluster_->directory() + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  // Runs qsctl and returns its exit code; its output is in output_.
  int Ctl(std::vector<std::string> words, int entry = 0) {
    std::vector<std::string> command = {Cluster::ProgramPath("qsctl"),
                                        "--entry",
                                        cluster_->entry_http(entry).ToString()};
    command.insert(command.end(), words.begin(), words.end());
    const std::string log =
        cluster_->directory() + "/ctl" + std::to_string(next_log_++) + ".out";
    const int code = Process::Start(command, log)->Wait(Millis(60'000));
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    output_ = text.str();
    return code;
  }

  int Apply(const std::string& path, const std::string& author,
            const std::string& base = "") {
    std::vector<std::string> words = {"apply", path, "--author", author};
    if (!base.empty()) words.insert(words.end(), {"--base-version", base});
    return Ctl(words);
  }

  bool WaitInForce(uint64_t version) {
    return WaitUntil([&] {
      for (int entry = 0; entry < 2; ++entry) {
        const json members = cluster_->Ask(entry, "GET", "/v1/admin/members");
        if (!members.contains("rows")) return false;
        for (const json& row : members["rows"]) {
          const bool is_behind = row["config_version"] < version;
          if (row["live"] == true && is_behind) return false;
        }
      }
      return true;
    });
  }

  void Switch(const std::string& body) {
    Cluster::Call(cluster_->platform_http(), "POST", "/control", body);
  }

  json Run(const std::string& team) {
    json body = json::parse(JobBody("t" + std::to_string(next_job_++), 3, 1));
    body["team"] = team;
    return cluster_->Ask(0, "POST", "/v1/run", body.dump());
  }

  std::unique_ptr<Cluster> cluster_;
  std::string output_;
  int next_log_ = 0;
  int next_job_ = 0;
};

TEST_F(ConfigTest, AChangeComesInForceEverywhere) {
  EXPECT_EQ(Run("club").value("state", ""), "complete");
  const std::string path =
      WriteFile("a.ini", "[team school]\nmax_open_tasks = 2\n");
  EXPECT_EQ(Ctl({"check", path}), 0);
  EXPECT_EQ(Ctl({"diff", path}), 0);
  EXPECT_EQ(output_, "+ [team school] max_open_tasks = 2\n");
  EXPECT_EQ(Apply(path, "anna"), 0) << output_;
  EXPECT_NE(output_.find("version 2 is in force everywhere"), std::string::npos)
      << output_;
  EXPECT_EQ(Run("club").value("reason", ""), "unknown_team");
  EXPECT_EQ(Run("school").value("reason", ""), "over_quota_for_good");
}

TEST_F(ConfigTest, AFaultyFileChangesNothing) {
  const std::string path =
      WriteFile("bad.ini", "[team x]\nmax = 1\n[y]\nz=1\n");
  EXPECT_EQ(Apply(path, "anna"), 2);
  EXPECT_NE(output_.find("bad.ini:2"), std::string::npos) << output_;
  EXPECT_NE(output_.find("bad.ini:4"), std::string::npos) << output_;
  const json config = cluster_->Ask(1, "GET", "/v1/admin/config");
  EXPECT_EQ(config["version"], 1);
}

TEST_F(ConfigTest, TheLoserOfARaceLearnsWhoWon) {
  const std::string a = WriteFile("a.ini", "[team a]\nmax_open_tasks = 10\n");
  const std::string b = WriteFile("b.ini", "[team b]\nmax_open_tasks = 20\n");
  EXPECT_EQ(Apply(a, "anna", "1"), 0) << output_;
  EXPECT_EQ(Apply(b, "ben", "1"), 1) << output_;
  EXPECT_NE(output_.find("by anna"), std::string::npos) << output_;
  EXPECT_NE(output_.find("+ [team b] max_open_tasks = 20"), std::string::npos)
      << output_;
  EXPECT_EQ(Run("a").value("state", ""), "complete");
}

TEST_F(ConfigTest, ALostReplyIsSettledByReadingBack) {
  Switch(R"({"lose_replies":true})");
  const std::string path =
      WriteFile("a.ini", "[team a]\nmax_open_tasks = 10\n");
  EXPECT_EQ(Apply(path, "anna"), 0) << output_;
  const json config = cluster_->Ask(0, "GET", "/v1/admin/config");
  EXPECT_EQ(config["version"], 2);
}

TEST_F(ConfigTest, AnOutageAcceptsNothingAndRevertsNothing) {
  const std::string a = WriteFile("a.ini", "[team a]\nmax_open_tasks = 10\n");
  ASSERT_EQ(Apply(a, "anna"), 0) << output_;
  Switch(R"({"down":true})");
  const std::string b = WriteFile("b.ini", "[team b]\nmax_open_tasks = 20\n");
  EXPECT_EQ(Apply(b, "ben"), 3) << output_;
  EXPECT_NE(output_.find("unknown"), std::string::npos) << output_;
  // A new entry and a new guard learn the version from their peers.
  cluster_->guard(2).Kill();
  cluster_->StartGuard(2);
  ASSERT_TRUE(WaitInForce(2));
  EXPECT_EQ(Run("a").value("state", ""), "complete");
  EXPECT_EQ(Run("b").value("reason", ""), "unknown_team");
  Switch(R"({"down":false})");
  EXPECT_TRUE(WaitUntil([&] { return Apply(b, "ben") == 0; })) << output_;
  EXPECT_EQ(Run("b").value("state", ""), "complete");
}

TEST_F(ConfigTest, ADeclaredDrainOutlivesItsGuard) {
  const std::string guard = cluster_->guard_peer(1).ToString();
  const std::string path =
      WriteFile("a.ini", "[drain " + guard + "]\nreason = replaced\n");
  ASSERT_EQ(Apply(path, "anna"), 0) << output_;
  cluster_->guard(1).Kill();
  cluster_->StartGuard(1);
  ASSERT_TRUE(WaitUntil([&] {
    return Ctl({"show", "guards", "address=" + guard, "state=draining",
                "live=true"}) == 0 &&
           output_.find("draining") != std::string::npos;
  }));
  const size_t before = cluster_->StartsAt(1).size();
  for (int i = 0; i < 20; ++i) Run("club");
  EXPECT_EQ(cluster_->StartsAt(1).size(), before);
}

}  // namespace
}  // namespace qs::test
