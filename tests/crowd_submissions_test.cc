// Crowds at the project's own interface (roles entry and guard). Checks nothing
// that depends on the speed of the machine.

#include <gtest/gtest.h>

#include <string>

#include "lib/cluster.h"
#include "lib/crowd.h"

namespace qs::test {
namespace {

// The memory of a node that the system is designed for; see docs/CAPACITY.md.
constexpr size_t kNodeMemory = 256U << 20U;
constexpr int kMembers = 48;
// Below the default limit on bodies.
constexpr size_t kBodyBytes = 15'000'000;
constexpr Millis kWait{30'000};
constexpr Millis kRoundTime{3000};

class CrowdSubmissionsTest : public ::testing::Test {
 protected:
  CrowdSubmissionsTest() : cluster_(ClusterOptions()) {}
  void SetUp() override { ASSERT_TRUE(cluster_.WaitReady()); }

  void ExpectAliveWithinMemoryAndServing() {
    EXPECT_TRUE(WaitUntil(
        [&] {
          return cluster_.Ask(0, "POST", "/v1/run", JobBody("ok", 2, 1))
                     .value("state", "") == "complete";
        },
        kWait));
    ASSERT_TRUE(cluster_.entry(0).running());
    ASSERT_TRUE(cluster_.guard(0).running());
    const size_t of_entry = PeakMemoryBytes(cluster_.entry(0).pid());
    const size_t of_guard = PeakMemoryBytes(cluster_.guard(0).pid());
    ASSERT_GT(of_entry, 0U);
    ASSERT_GT(of_guard, 0U);
    EXPECT_LE(of_entry, kNodeMemory);
    EXPECT_LE(of_guard, kNodeMemory);
    RecordProperty("entry_kib", static_cast<int>(of_entry >> 10U));
    RecordProperty("guard_kib", static_cast<int>(of_guard >> 10U));
  }
  static std::string Request(const std::string& body, size_t announced) {
    return "POST /v1/run HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n" + body;
  }
  // One task whose payload fills the body.
  static std::string LargeJob(int number) {
    std::string body = JobBody("j" + std::to_string(number), 1, 3000);
    const size_t payload = body.find("j" + std::to_string(number) + "-0");
    body.insert(payload + 3 + std::to_string(number).size(),
                " " + std::string(kBodyBytes / 4, 'x'));
    return body;
  }

  Cluster cluster_;
};

TEST_F(CrowdSubmissionsTest, BodiesThatDoNotEnd) {
  {
    Crowd crowd(cluster_.entry_http(0), kMembers);
    const std::string part(kBodyBytes, 'x');
    crowd.SendEach([&] { return Request(part, kBodyBytes + 1); });
  }
  ExpectAliveWithinMemoryAndServing();
}

TEST_F(CrowdSubmissionsTest, JobsThatAreHeld) {
  int number = 100;
  {
    Crowd crowd(cluster_.entry_http(0), kMembers);
    crowd.SendEach([&] {
      const std::string body = LargeJob(++number);
      return Request(body, body.size());
    });
    crowd.AwaitAnswers(kRoundTime);
  }
  ExpectAliveWithinMemoryAndServing();
}

}  // namespace
}  // namespace qs::test
