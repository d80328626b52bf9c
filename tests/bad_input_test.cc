// Tests with real processes that broken and hostile peers and callers receive
// an error, and that other requests are served as usual meanwhile.

#include <gtest/gtest.h>

#include <thread>

#include "lib/cluster.h"
#include "lib/raw_connection.h"
#include "quetzalspindle/ids.h"

namespace qs::test {
namespace {

using nlohmann::json;

class BadInputTest : public testing::Test {
 protected:
  void SetUp() override {
    ClusterOptions options;
    options.entry_settings["entry"] = "max_body_bytes = 100000\nthreads = 8\n";
    cluster_ = std::make_unique<Cluster>(options);
    ASSERT_TRUE(cluster_->WaitReady());
  }

  void ExpectStillServing() {
    const json answer =
        cluster_->Ask(0, "POST", "/v1/run", JobBody("ok", 2, 1));
    EXPECT_EQ(answer.value("state", ""), "complete") << answer;
    EXPECT_TRUE(cluster_->entry(0).running());
    EXPECT_TRUE(cluster_->guard(0).running());
  }

  std::unique_ptr<Cluster> cluster_;
};

TEST_F(BadInputTest, CallersGetOneProblemDocument) {
  struct Case {
    const char* method;
    const char* target;
    std::string body;
    int status;
    const char* reason;
  };
  const std::string id = cluster_->Mint(0);
  std::string mistyped = id;
  mistyped[5] = mistyped[5] == '0' ? '1' : '0';
  const std::string foreign = SubmissionId{{0x7F000001, 9}, {77}, 1}.ToString();
  const std::string put = "/v1/submissions/" + id;
  const std::string put_mistyped = "/v1/submissions/" + mistyped;
  const std::string put_foreign = "/v1/submissions/" + foreign;
  const std::string put_wait = put + "?wait=soon";
  const std::vector<Case> cases = {
      {"POST", "/v1/run", "{", 400, "malformed_request"},
      {"POST", "/v1/run", "[]", 400, "malformed_request"},
      {"POST", "/v1/run", JobBody("x", 1, 1, false), 400,
       "one_shot_not_repeatable"},
      {"POST", "/v1/run", std::string(200'000, 'x'), 413, "body_too_large"},
      {"PUT", put_wait.c_str(), "{}", 400, "malformed_request"},
      {"PUT", put_mistyped.c_str(), JobBody("x", 1, 1), 400, "id_malformed"},
      {"PUT", put_foreign.c_str(), JobBody("x", 1, 1), 410, "home_lost"},
      {"GET", put.c_str(), "", 404, "not_handed_in"},
      {"GET", "/v2/anything", "", 404, "not_found"},
      {"PATCH", "/v1/run", "{}", 404, "not_found"},
      {"POST", "/v1/admin/drain/nowhere", "", 400, "malformed_request"},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(std::string(c.method) + " " + c.target);
    const auto response =
        Cluster::Call(cluster_->entry_http(0), c.method, c.target, c.body);
    EXPECT_EQ(response.status, c.status) << response.body;
    const json document = json::parse(response.body, nullptr, false);
    ASSERT_TRUE(document.is_object()) << response.body;
    EXPECT_EQ(document.value("reason", ""), c.reason) << document;
  }
  ExpectStillServing();
  EXPECT_FALSE(cluster_->Starts().contains("x-0"));
}

TEST_F(BadInputTest, AnnouncementsAreChecked) {
  const auto response =
      Cluster::Call(cluster_->guard_http(0), "POST", "/v1/announce",
                    R"({"address":"x","services":[],"slots":-1,"more":1})");
  EXPECT_EQ(response.status, 400);
  const json document = json::parse(response.body);
  EXPECT_GE(document["findings"].size(), 4U) << document;
  ExpectStillServing();
}

// Guards against a backend server without capacity whose announcements are
// refused, so that it gets work by its last one until that lapses.
TEST_F(BadInputTest, AnAnnouncementOfNoSlotsIsAccepted) {
  const std::string address = cluster_->backend_http(0).ToString();
  const auto announce = [&](const std::string& slots) {
    return Cluster::Call(cluster_->guard_http(0), "POST", "/v1/announce",
                         R"({"address":")" + address +
                             R"(","services":["sketch"])" + slots + "}")
        .status;
  };
  EXPECT_EQ(announce(R"(,"slots":0)"), 200);
  EXPECT_EQ(announce(""), 400);
  EXPECT_EQ(announce(R"(,"slots":1025)"), 400);
  ExpectStillServing();
}

TEST_F(BadInputTest, GarbageFramesCloseTheirOwnConnectionOnly) {
  const std::string huge("\xff\xff\xff\xff", 4);
  const std::string noise = std::string("\x08\0\0\0", 4) + "garbage!";
  for (const std::string& bytes : {huge, noise, std::string(4, '\0')}) {
    const RawConnection connection(cluster_->guard_peer(0));
    ASSERT_TRUE(connection.connected());
    connection.Send(bytes);
    EXPECT_EQ(connection.ReadAll(), "");  // Closed by the guard.
  }
  ExpectStillServing();
}

TEST_F(BadInputTest, AnEntryReservesThreadsForAcceptedWork) {
  // The entry has eight threads: new jobs may occupy six of them, and two are
  // reserved. The tasks hang until the backend server is set to finish them.
  const Address backend = cluster_->backend_http(0);
  Cluster::Call(backend, "POST", "/control", R"({"hang":true})");
  std::vector<std::thread> callers;
  std::vector<json> answers(6);
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] {
      answers[i] = cluster_->Ask(0, "POST", "/v1/run",
                                 JobBody("w" + std::to_string(i), 1, 1));
    });
  }
  const std::string body = JobBody("late", 1, 1);
  json refused;
  EXPECT_TRUE(WaitUntil([&] {
    if (cluster_->Starts().size() < answers.size()) return false;
    refused = cluster_->Ask(0, "POST", "/v1/run", body);
    return true;
  }));
  EXPECT_EQ(refused.value("reason", ""), "entry_overloaded") << refused;
  EXPECT_EQ(refused.value("outcome", ""), "not_run");
  EXPECT_EQ(Cluster::Call(cluster_->entry_http(0), "GET", "/healthz").status,
            200);
  Cluster::Call(backend, "POST", "/control", R"({"hang":false})");
  for (std::thread& caller : callers) caller.join();
  for (const json& answer : answers) {
    EXPECT_EQ(answer.value("state", ""), "complete") << answer;
  }
  EXPECT_FALSE(cluster_->Starts().contains("late-0"));
  ExpectStillServing();
}

TEST_F(BadInputTest, SlowAndHalfClosedConnectionsDelayNoOtherRequest) {
  std::vector<std::unique_ptr<RawConnection>> slow;
  for (int i = 0; i < 4; ++i) {
    slow.push_back(std::make_unique<RawConnection>(cluster_->entry_http(0)));
    slow.back()->Send("POST /v1/run HTTP/1.1\r\nContent-Length: 500\r\n\r\n{");
  }
  slow.push_back(std::make_unique<RawConnection>(cluster_->guard_peer(0)));
  ExpectStillServing();
}

}  // namespace
}  // namespace qs::test
