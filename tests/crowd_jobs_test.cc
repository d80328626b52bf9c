// Crowds whose requests are small and within every limit on bytes, but become
// much once they are decoded, held, sent to guards or started. Checks nothing
// that depends on the speed of the machine: that each process lives, that its
// memory stays within that of its machine, and that an ordinary request is
// answered afterwards.

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "lib/cluster.h"
#include "lib/crowd.h"
#include "lib/held_cluster.h"

namespace qs::test {
namespace {

// The memory of the smallest machines in the deployments' sheets.
constexpr size_t kEntryMemory = 120U << 20U;
constexpr size_t kGuardMemory = 128U << 20U;
constexpr int kEntry = 0;
constexpr int kGuard = 1;
constexpr int kMembers = 64;
constexpr int kManyMembers = 500;
constexpr int kRounds = 3;
// The limit on bodies that the configuration leaves.
constexpr size_t kBodyBytes = 1'000'000;
// A few clients whose bodies are decoded one after the other. What that takes
// may not exceed a tenth of the smallest machine.
constexpr int kDecodedMembers = 8;
constexpr size_t kDecodingMemory = 12U << 20U;
constexpr Millis kWait{30'000};
constexpr Millis kRoundTime{500};

// Nothing but the body differs between the crowds.
struct CrowdedJob {
  const char* name;
  std::function<std::string()> body;
  int members = kMembers;
};

void PrintTo(const CrowdedJob& job, std::ostream* out) { *out << job.name; }

std::string JobOf(const std::string& phases, const std::string& more = "") {
  return R"({"bestEffort":true,"spec":"1000")" + more + R"(,"phases":[)" +
         phases + "]}";
}

// `unit` over and over, separated by commas, in `bytes`.
std::string Repeated(const std::string& unit, size_t bytes) {
  std::string text = unit;
  while (text.size() + unit.size() < bytes) text += "," + unit;
  return text;
}

// What jobs become that are held, sent and started.
const CrowdedJob kHeldJobs[] = {
    {"Wide",
     [] { return JobOf(R"({"count":100000,"cpu":1,"estimateMs":1})"); }},
    {"WideWithoutEstimate",
     [] { return JobOf(R"({"count":100000,"cpu":1000})"); }},
    {"WideWithoutNeeds", [] { return JobOf(R"({"count":100000})"); }},
    {"WideForNoWorker",
     [] { return JobOf(R"({"count":100000,"constraints":"none"})"); }},
    {"WideInStepsThatDepend",
     [] { return JobOf(R"({"count":50000},{"count":50000,"after":[0]})"); }},
    {"WideWithLargeSpec",
     [] {
       return R"({"bestEffort":true,"spec":")" + std::string(4000, 'x') +
              R"(","phases":[{"count":10000}]})";
     }},
    {"Steps", [] { return JobOf(Repeated("{}", kBodyBytes)); }},
    // Jobs that may be held, in numbers that may not.
    {"ManyForNoWorker",
     [] { return JobOf(R"({"count":10000,"constraints":"none"})"); },
     kManyMembers},
    {"ManyWithLargeSpec",
     [] {
       return R"({"bestEffort":true,"spec":")" + std::string(4000, 'x') +
              R"(","phases":[{"count":2000}]})";
     },
     kManyMembers},
};

// What bodies become while they are decoded.
const CrowdedJob kDecodedBodies[] = {
    {"Steps",
     [] {
       return JobOf(Repeated("{}", kBodyBytes)) + "]";  // Not a job after all.
     }},
    {"Arrays",
     [] {
       return JobOf("{}", R"(,"more":[)" + Repeated("[]", kBodyBytes) + "]");
     }},
    {"Objects",
     [] {
       return JobOf("{}", R"(,"more":[)" + Repeated("{}", kBodyBytes) + "]");
     }},
    {"Depth",
     [] {
       return JobOf("{}", R"(,"more":)" + std::string(kBodyBytes / 2, '[') +
                              std::string(kBodyBytes / 2, ']'));
     }},
};

class CrowdJobsTest : public ::testing::TestWithParam<CrowdedJob> {
 protected:
  CrowdJobsTest() : cluster_(1, 1) {}
  void SetUp() override { ASSERT_TRUE(cluster_.WaitReady()); }

  std::string Request(const std::string& body) {
    return "POST /q/" + cluster_.NextId() +
           " HTTP/1.1\r\nHost: jobs.example\r\n"
           "Quetzalspindle-Deadline-Ms: 60000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  void ExpectAliveWithinMemory() {
    Process& entry = cluster_.process(kEntry);
    Process& guard = cluster_.process(kGuard);
    ASSERT_TRUE(entry.running());
    ASSERT_TRUE(guard.running());
    const size_t of_entry = PeakMemoryBytes(entry.pid());
    const size_t of_guard = PeakMemoryBytes(guard.pid());
    ASSERT_GT(of_entry, 0U);
    ASSERT_GT(of_guard, 0U);
    EXPECT_LE(of_entry, kEntryMemory);
    EXPECT_LE(of_guard, kGuardMemory);
    RecordProperty("entry_kib", static_cast<int>(of_entry >> 10U));
    RecordProperty("guard_kib", static_cast<int>(of_guard >> 10U));
  }
  bool IsOrdinaryAnswered() {
    return WaitUntil(
        [&] {
          return cluster_.HandIn(0, cluster_.NextId(), 1, Millis(1)).status ==
                 200;
        },
        kWait);
  }

  HeldCluster cluster_;
};

class HeldJobsTest : public CrowdJobsTest {};

TEST_P(HeldJobsTest, LeaveTheProcessesAliveInTheirMemoryAndServing) {
  const std::string body = GetParam().body();
  for (int round = 0; round < kRounds; ++round) {
    Crowd crowd(cluster_.EntryAt(0, 8000), GetParam().members);
    crowd.SendEach([&] { return Request(body); });
    crowd.AwaitAnswers(kRoundTime);
    // The next round meets what is kept of the jobs of callers that left.
  }
  EXPECT_TRUE(IsOrdinaryAnswered());
  ExpectAliveWithinMemory();
}

// A refusal would say that nothing of the job runs. Both callers get the answer
// of the one job, when it is cancelled.
TEST(JoinedJobTest, AHeldJobIsJoinedWhereItWouldNotFitTwice) {
  HeldClusterOptions options;
  options.guards = 1;
  options.entries = 1;
  options.limits = "memory_mb = 16\n";
  HeldCluster cluster(options);
  ASSERT_TRUE(cluster.WaitReady());
  const std::string body = JobOf(R"({"count":1000,"estimateMs":20000})");
  const auto send = [&](Crowd* caller, const std::string& id) {
    caller->SendEach([&] {
      return "POST /q/" + id +
             " HTTP/1.1\r\nHost: jobs.example\r\n"
             "Quetzalspindle-Deadline-Ms: 60000\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    });
  };
  const auto answer_to = [](const Crowd& caller) {
    caller.AwaitAnswers(kWait);
    return caller.Answers().at(0);
  };
  const std::string id = cluster.NextId();
  Crowd first(cluster.EntryAt(0, 8000), 1);
  Crowd other(cluster.EntryAt(0, 8000), 1);
  Crowd again(cluster.EntryAt(0, 8000), 1);
  send(&first, id);
  // Another job that does not fit beside it shows that the first is held.
  std::string refusal;
  EXPECT_TRUE(WaitUntil(
      [&] {
        send(&other, cluster.NextId());
        refusal = answer_to(other);
        return refusal.starts_with("HTTP/1.1 429");
      },
      kWait))
      << refusal;
  send(&again, id);
  EXPECT_TRUE(WaitUntil([&] { return cluster.Cancel(0, id) == 200; }, kWait));
  EXPECT_TRUE(answer_to(first).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(answer_to(again).starts_with("HTTP/1.1 200"));
}

class DecodedBodiesTest : public CrowdJobsTest {};

TEST_P(DecodedBodiesTest, TakeLittleMemory) {
  const pid_t entry = cluster_.process(kEntry).pid();
  const size_t before = PeakMemoryBytes(entry);
  const std::string body = GetParam().body();
  {
    Crowd crowd(cluster_.EntryAt(0, 8000), kDecodedMembers);
    crowd.SendEach([&] { return Request(body); });
    crowd.AwaitAnswers(kRoundTime);
  }
  EXPECT_TRUE(IsOrdinaryAnswered());
  ExpectAliveWithinMemory();
  const size_t grown = PeakMemoryBytes(entry) - before;
  EXPECT_LE(grown, kDecodingMemory);
  RecordProperty("grown_kib", static_cast<int>(grown >> 10U));
}

std::string NameOfJob(
    const ::testing::TestParamInfo<CrowdJobsTest::ParamType>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(EveryJob, HeldJobsTest, ::testing::ValuesIn(kHeldJobs),
                         &NameOfJob);
INSTANTIATE_TEST_SUITE_P(EveryBody, DecodedBodiesTest,
                         ::testing::ValuesIn(kDecodedBodies), &NameOfJob);

}  // namespace
}  // namespace qs::test
