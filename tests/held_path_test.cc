// The roles for held jobs as real processes, against stand-ins of the
// platform's store and workers.

#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "http/http_caller.h"
#include "lib/cluster.h"
#include "lib/held_cluster.h"
#include "lib/raw_connection.h"

namespace qs::test {
namespace {

using nlohmann::json;

constexpr int kGuards = 2;
constexpr int kEntries = 2;
// Until a cancel is in force everywhere.
constexpr Millis kCancelBound{3000};

class HeldPathTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(cluster_.WaitReady()); }
  void TearDown() override { EXPECT_EQ(ledger_.doubled(), 0); }

  int HandIn(int entry, const std::string& id, int tasks, int64_t ms,
             const std::string& prefix = "/q/", int64_t patience = 8000) {
    const HeldCluster::Answer answer =
        cluster_.HandIn(entry, id, tasks, Millis(ms), prefix, Millis(patience));
    last_body_ = answer.body;
    return answer.status;
  }
  std::string NextId() { return cluster_.NextId(); }
  Address At(int host, int port) const { return cluster_.At(host, port); }

  // Hands a job of one long task in at the first entry, and sends bytes after
  // the request once the entry holds it.
  std::unique_ptr<RawConnection> HandInWithFurtherBytes(const std::string& id) {
    const json step = {
        {"count", 1}, {"cpu", 4000}, {"memMb", 64}, {"estimateMs", 5000}};
    const std::string body =
        json{{"spec", "5000"}, {"bestEffort", true}, {"phases", {step}}}.dump();
    auto caller = std::make_unique<RawConnection>(At(10, 8000));
    EXPECT_TRUE(caller->Send("POST /q/" + id +
                             " HTTP/1.1\r\nHost: jobs.example\r\n"
                             "Content-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
    EXPECT_TRUE(WaitUntil([&] { return ledger_.starts_of(id) == 1; }));
    EXPECT_TRUE(caller->Send("\r\n"));
    return caller;
  }

  // Whether a wide job of the entry runs on both workers. An entry is ready
  // once it knows one of them.
  bool UsesBothWorkers(int entry) {
    const int starts[] = {cluster_.worker(0).starts(),
                          cluster_.worker(1).starts()};
    EXPECT_EQ(HandIn(entry, NextId(), 8, 50), 200);
    return cluster_.worker(0).starts() > starts[0] &&
           cluster_.worker(1).starts() > starts[1];
  }

  HeldCluster cluster_{kGuards, kEntries};
  RunLedger& ledger_ = cluster_.ledger();
  FakeKv& kv_ = cluster_.kv();
  std::string last_body_;
};

TEST_F(HeldPathTest, AWideJobRunsOnBothWorkersAndIsComplete) {
  ASSERT_TRUE(WaitUntil([&] { return UsesBothWorkers(0); }));
  const int starts[] = {cluster_.worker(0).starts(),
                        cluster_.worker(1).starts()};
  EXPECT_EQ(HandIn(0, NextId(), 8, 100), 200);
  EXPECT_EQ(json::parse(last_body_).value("state", ""), "completed");
  EXPECT_GE(cluster_.worker(0).starts() - starts[0], 4);
  EXPECT_GE(cluster_.worker(1).starts() - starts[1], 4);
}

// Guards against a task that no caller submitted, and against a job without
// tasks that is not answered. Steps without a count, or with one of zero, stand
// first, last, beside another one, two in a row, and alone.
TEST_F(HeldPathTest, AStepWithoutACountRunsNothing) {
  const auto step = [](int count, const std::vector<int>& after) {
    json fields = {{"cpu", 4000}, {"memMb", 64}, {"estimateMs", 20}};
    if (count > 0) fields["count"] = count;
    if (!after.empty()) fields["after"] = after;
    return fields;
  };
  const std::vector<json> jobs = {
      {step(0, {}), step(2, {0})},
      {step(2, {}), step(0, {0})},
      {step(2, {}), step(0, {}), step(1, {0, 1})},
      {step(1, {}), step(0, {0}), step(0, {1}), step(3, {2})},
      {step(0, {}), step(0, {0})},
      {json::object()},
      {json{{"count", 0}}, step(1, {0})},
  };
  for (int entry = 0; entry < kEntries; ++entry) {
    for (const json& phases : jobs) {
      const std::string id = NextId();
      std::vector<std::string> tasks;
      for (size_t i = 0; i < phases.size(); ++i) {
        for (int index = 0; index < phases[i].value("count", 0); ++index) {
          tasks.push_back(id + ".0." + std::to_string(i) + "." +
                          std::to_string(index));
        }
      }
      const HeldCluster::Answer answer =
          cluster_.HandInSteps(entry, id, phases);
      EXPECT_EQ(answer.status, 200) << phases;
      EXPECT_EQ(json::parse(answer.body).value("state", ""), "completed");
      EXPECT_EQ(ledger_.StartedTasksOf(id), tasks) << phases;
      EXPECT_EQ(ledger_.done_of(id), static_cast<int>(tasks.size()));
    }
  }
}

// Guards against a job that is refused because its spec is empty, and so
// omitted.
TEST_F(HeldPathTest, AJobWithoutASpecIsRun) {
  const std::string id = NextId();
  const json step = {{"count", 2}, {"cpu", 4000}, {"memMb", 64}};
  const HeldCluster::Answer answer = HeldCaller(&cluster_).HandInBody(
      0, id, {{"bestEffort", true}, {"phases", {step}}}, "/q/", Millis(8000));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(json::parse(answer.body).value("state", ""), "completed");
  EXPECT_EQ(ledger_.done_of(id), 2);
}

// Guards against a job that is refused because it has no steps, and so no
// `phases`.
TEST_F(HeldPathTest, AJobWithoutStepsIsComplete) {
  for (const json& body :
       {json{{"bestEffort", true}},
        json{{"bestEffort", true}, {"phases", json::array()}}}) {
    const std::string id = NextId();
    const HeldCluster::Answer answer =
        HeldCaller(&cluster_).HandInBody(0, id, body, "/q/", Millis(8000));
    EXPECT_EQ(answer.status, 200) << body;
    EXPECT_EQ(json::parse(answer.body).value("state", ""), "completed");
    EXPECT_EQ(ledger_.starts_of(id), 0);
  }
}

TEST_F(HeldPathTest, AKilledGuardsTasksAreRepeatedOnceTheyHaveEnded) {
  ASSERT_TRUE(WaitUntil([&] { return UsesBothWorkers(0); }));
  int status = -1;
  std::thread caller([&] { status = HandIn(0, NextId(), 6, 900); });
  EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 6; }));
  cluster_.guard(0).Kill();
  cluster_.StartGuard(0);
  caller.join();
  EXPECT_EQ(status, 200);
}

TEST_F(HeldPathTest, AKilledEntrysRunsEndBeforeTheJobCanBeSentAgain) {
  const std::string id = NextId();
  std::thread caller([&] { EXPECT_EQ(HandIn(0, id, 4, 3000), 0); });
  EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 4; }));
  cluster_.entry(0).Kill();
  caller.join();
  const Instant killed = Clock::now();
  EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 0; }));
  EXPECT_LT(Clock::now() - killed, Millis(1300));
  EXPECT_EQ(HandIn(1, id, 4, 100), 200);
}

TEST_F(HeldPathTest, ACallerThatLeavesEndsItsRuns) {
  EXPECT_EQ(HandIn(0, NextId(), 4, 5000, "/q/", 400), 0);
  EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 0; }));
  EXPECT_EQ(HandIn(0, NextId(), 1, 10), 200);
}

// Guards against a job that goes on after its cancel was acknowledged: its
// entry answered that there is no such job.
TEST_F(HeldPathTest, ACancelledJobStopsAndNeverStartsAgainAtAnyEntry) {
  for (const int asked : {0, 1}) {
    const std::string id = NextId();
    int status = -1;
    std::string state;
    std::thread caller([&] {
      const HeldCluster::Answer answer =
          cluster_.HandIn(0, id, 4, Millis(5000));
      status = answer.status;
      state = json::parse(answer.body, nullptr, false).value("state", "");
    });
    EXPECT_TRUE(WaitUntil([&] { return ledger_.starts_of(id) == 4; }));
    const Instant cancelled = Clock::now();
    EXPECT_EQ(cluster_.Cancel(asked, id), 200);
    EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 0; }));
    EXPECT_LT(Clock::now() - cancelled, Millis(1500));
    caller.join();
    EXPECT_EQ(status, 200);
    EXPECT_EQ(state, "failed");
    for (int entry = 0; entry < kEntries; ++entry) {
      EXPECT_EQ(HandIn(entry, id, 4, 5000), 200);
      EXPECT_EQ(json::parse(last_body_).value("state", ""), "failed");
    }
    EXPECT_EQ(ledger_.starts_of(id), 4);
  }
}

TEST_F(HeldPathTest, ACancelThatArrivesFirstIsKnownToAllEntriesAlsoNewOnes) {
  const std::string id = NextId();
  EXPECT_EQ(cluster_.Cancel(0, id), 410);
  EXPECT_EQ(HandIn(1, id, 1, 10), 200);
  EXPECT_EQ(json::parse(last_body_).value("state", ""), "failed");
  cluster_.entry(0).Kill();
  cluster_.StartEntry(0);
  EXPECT_TRUE(WaitUntil([&] { return HandIn(0, NextId(), 1, 10) == 200; }));
  std::this_thread::sleep_for(kCancelBound);
  EXPECT_EQ(HandIn(0, id, 1, 10), 200);
  EXPECT_EQ(json::parse(last_body_).value("state", ""), "failed");
  EXPECT_EQ(ledger_.starts_of(id), 0);
  // An odd id names no job.
  EXPECT_EQ(cluster_.Cancel(0, "short"), 410);
}

// Guards against two runs of one task: bytes after a request hid the end of its
// connection for up to 500 ms, in which leases were renewed for the caller.
TEST_F(HeldPathTest, ACallerThatSentBytesAfterItsRequestIsMissedAtOnce) {
  constexpr int kCallers = 3;
  std::vector<std::unique_ptr<RawConnection>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(HandInWithFurtherBytes(NextId()));
  }
  ASSERT_TRUE(WaitUntil([&] { return ledger_.running() == kCallers; }));
  while (!callers.empty()) {
    const Instant left = Clock::now();
    callers.pop_back();
    const int remaining = static_cast<int>(callers.size());
    EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == remaining; }));
    EXPECT_LT(Clock::now() - left, Millis(400));
  }
}

// As above, with workers that carry out no stop in time. The first caller shows
// when the server looked for such callers, so that the others leave soon after.
TEST_F(HeldPathTest, ACallerThatSentFurtherBytesMaySendItsJobElsewhere) {
  constexpr int kCallers = 4;
  ASSERT_TRUE(WaitUntil([&] { return UsesBothWorkers(0); }));
  auto first = HandInWithFurtherBytes(NextId());
  std::vector<std::string> ids;
  std::vector<std::unique_ptr<RawConnection>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    ids.push_back(NextId());
    callers.push_back(HandInWithFurtherBytes(ids.back()));
  }
  ASSERT_TRUE(WaitUntil([&] { return ledger_.running() == kCallers + 1; }));
  first.reset();
  ASSERT_TRUE(WaitUntil([&] { return ledger_.running() == kCallers; }));
  LateCalls late;
  late.stops = 1;
  late.longest = Millis(60'000);
  for (int i = 0; i < kGuards; ++i) cluster_.worker(i).SetLate(late);
  callers.clear();
  std::this_thread::sleep_for(Millis(1300));
  std::vector<std::thread> again;
  again.reserve(ids.size());
  for (const std::string& id : ids) {
    again.emplace_back([this, id] { cluster_.HandIn(1, id, 1, Millis(100)); });
  }
  for (std::thread& thread : again) thread.join();
  EXPECT_EQ(ledger_.doubled(), 0) << ledger_.DoubledHistory();
}

// Guards against two runs of one task: the caller may have sent the job to
// another entry meanwhile.
TEST_F(HeldPathTest, ARequestWhoseCallerLeftInAPauseOfTheEntryStartsNothing) {
  const std::string id = NextId();
  cluster_.entry(0).Signal(SIGSTOP);
  EXPECT_EQ(HandIn(0, id, 1, 1000, "/q/", 400), 0);
  std::this_thread::sleep_for(Millis(1300));
  cluster_.entry(0).Signal(SIGCONT);
  std::this_thread::sleep_for(Millis(500));
  EXPECT_EQ(ledger_.starts_of(id), 0);
  EXPECT_EQ(HandIn(0, NextId(), 1, 10), 200);
}

TEST_F(HeldPathTest, AStoppingEntryAnswersWhatItHolds) {
  int status = -1;
  std::thread caller([&] { status = HandIn(0, NextId(), 2, 1000); });
  EXPECT_TRUE(WaitUntil([&] { return ledger_.running() == 2; }));
  cluster_.entry(0).Signal(SIGTERM);
  caller.join();
  EXPECT_EQ(status, 200);
  EXPECT_EQ(cluster_.entry(0).Wait(Millis(10'000)), 0);
}

TEST_F(HeldPathTest, AStoppingGuardDoesNotWaitForIdleConnections) {
  HttpCaller idle(At(100, 7001));
  HttpExchange health;
  health.method = "GET";
  health.target = "/healthz";
  health.timeout = Millis(1000);
  EXPECT_EQ(idle.Exchange(health).status, 200);
  const Instant told = Clock::now();
  cluster_.guard(0).Signal(SIGTERM);
  EXPECT_EQ(cluster_.guard(0).Wait(Millis(10'000)), 0);
  EXPECT_LT(Clock::now() - told, Millis(1900));
}

// An outage must not push the retries of a new process far apart.
TEST_F(HeldPathTest, AGuardStartedInAnOutageIsAMemberSoonAfterIt) {
  kv_.SetDown(true);
  kv_.EndLeases();
  cluster_.guard(0).Kill();
  cluster_.StartGuard(0);
  std::this_thread::sleep_for(Millis(6500));
  kv_.SetDown(false);
  const Instant returned = Clock::now();
  const std::string key = "/quetzalspindle/members/" + At(100, 7000).ToString();
  EXPECT_TRUE(WaitUntil([&] { return !kv_.Read(key).empty(); }));
  EXPECT_LT(Clock::now() - returned, Millis(3000));
}

TEST_F(HeldPathTest, AChangedCatalogIsInForceAlsoWhenTheStoreGoesAway) {
  EXPECT_EQ(HandIn(1, NextId(), 1, 10, "/r/"), 200);
  cluster_.WriteCatalog(2, false);
  for (int i = 0; i < kEntries; ++i) {
    EXPECT_TRUE(
        WaitUntil([&] { return HandIn(i, NextId(), 1, 10, "/r/") == 404; }));
  }
  kv_.SetDown(true);
  EXPECT_EQ(HandIn(0, NextId(), 1, 10, "/r/"), 404);
  // A new entry learns the version from its peers.
  cluster_.entry(0).Kill();
  cluster_.StartEntry(0);
  EXPECT_TRUE(WaitUntil([&] { return HandIn(0, NextId(), 1, 10) == 200; }));
  EXPECT_EQ(HandIn(0, NextId(), 1, 10, "/r/"), 404);
}

// Leases run out while the store is away. Members that live are back within two
// seconds of its return and a call; one that ended in between stays away.
TEST_F(HeldPathTest, LapsedMembersAreBackSoonAfterTheStore) {
  const auto key = [&](int host) {
    return "/quetzalspindle/members/" + At(host, 7000).ToString();
  };
  EXPECT_TRUE(WaitUntil([&] { return !kv_.Read(key(100)).empty(); }));
  kv_.SetDown(true);
  kv_.EndLeases();
  cluster_.guard(1).Kill();
  std::this_thread::sleep_for(Millis(500));
  kv_.SetDown(false);
  const Instant returned = Clock::now();
  EXPECT_TRUE(WaitUntil([&] {
    return !kv_.Read(key(10)).empty() && !kv_.Read(key(11)).empty() &&
           !kv_.Read(key(100)).empty();
  }));
  EXPECT_LT(Clock::now() - returned, Millis(3000));
  EXPECT_EQ(kv_.Read(key(101)), "");
}

// Each call to the store is paid for, and its rates are shared by the fleet.
TEST_F(HeldPathTest, AMemberRenewsItsLeaseEveryTwoSeconds) {
  constexpr int kSeconds = 6;
  constexpr int kMostEach = kSeconds / 2 + 1;
  const int before = kv_.renewals();
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const int renewals = kv_.renewals() - before;
  EXPECT_GE(renewals, kGuards + kEntries);
  EXPECT_LE(renewals, (kGuards + kEntries) * kMostEach);
}

TEST_F(HeldPathTest, ADrainingWorkerGetsNothingNew) {
  cluster_.worker(0).SetDraining(true);
  EXPECT_TRUE(WaitUntil([&] {
    const int before = cluster_.worker(0).starts();
    for (int i = 0; i < 8; ++i) HandIn(0, NextId(), 1, 10);
    return cluster_.worker(0).starts() == before;
  }));
}

// Guards against a task that crashes one worker after another, and against jobs
// that are given up with it.
TEST_F(HeldPathTest, ADeadlyTasksCallerHearsOfItAfterTwoCrashes) {
  constexpr int kSoundJobs = 6;
  ASSERT_TRUE(WaitUntil([&] { return UsesBothWorkers(0); }));
  const std::string deadly = NextId();
  HeldCluster::Answer answer;
  std::vector<std::thread> callers;
  callers.emplace_back([&] {
    answer = cluster_.HandIn(0, deadly, 1, Millis(300), "/q/", Millis(8000), 0);
  });
  std::atomic<int> completed{0};
  for (int i = 0; i < kSoundJobs; ++i) {
    callers.emplace_back([&, entry = i % kEntries, id = NextId()] {
      const HeldCluster::Answer sound =
          cluster_.HandIn(entry, id, 1, Millis(200));
      if (sound.body.find("completed") != std::string::npos) ++completed;
    });
  }
  for (std::thread& caller : callers) caller.join();
  ASSERT_EQ(answer.status, 200);
  EXPECT_EQ(json::parse(answer.body).value("state", ""), "failed");
  EXPECT_EQ(ledger_.starts_of(deadly), 2);
  EXPECT_TRUE(ledger_.HasCrashedTwice(deadly));
  EXPECT_EQ(completed, kSoundJobs);
}

// Guards against starts that count on capacity that a worker no longer has.
TEST_F(HeldPathTest, AShrunkWorkerGetsNoMoreThanFits) {
  ASSERT_TRUE(WaitUntil([&] { return UsesBothWorkers(0); }));
  for (int i = 0; i < kGuards; ++i) {
    cluster_.worker(i).SetCapacityEnforced(false);
    cluster_.worker(i).SetCapacity(4000);
  }
  std::this_thread::sleep_for(Millis(4700));
  EXPECT_EQ(HandIn(0, NextId(), 6, 100), 200);
  EXPECT_EQ(ledger_.over_capacity(), 0);
}

TEST_F(HeldPathTest, FaultySettingsAreRefusedAndTheProcessGoesOn) {
  std::ofstream(cluster_.SettingsPath("entry0"))
      << "[process]\nrole = nonsense\n";
  cluster_.entry(0).Signal(SIGHUP);
  EXPECT_EQ(HandIn(0, NextId(), 1, 10), 200);
  EXPECT_TRUE(cluster_.entry(0).running());
}

TEST_F(HeldPathTest, BadRequestsGetOneClearAnswer) {
  EXPECT_EQ(HandIn(0, "short", 1, 10), 400);
  EXPECT_EQ(HandIn(0, NextId(), 1, 10, "/nothing/"), 404);
  const std::string id = NextId();
  EXPECT_EQ(HandIn(0, id, -1, 10), 400);
  EXPECT_EQ(ledger_.starts_of(id), 0);
  EXPECT_EQ(HandIn(0, NextId(), 1, 10), 200);
}

}  // namespace
}  // namespace qs::test
