// Cancels a job while its caller waits for the answer, and looks for starts of
// its tasks later than the bound for cancelled jobs allows.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "lib/held_cluster.h"
#include "lib/raw_connection.h"

namespace {

using nlohmann::json;
using qs::Clock;
using qs::Elapsed;
using qs::Instant;
using qs::Millis;
using qs::test::HeldCluster;
using qs::test::HeldClusterOptions;
using qs::test::RawConnection;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kSteps = 8;
constexpr int kTasks = 2;
constexpr Millis kRunTime{900};
constexpr Millis kCallerTimeout{15'000};
// bounds.cancel_ms of the small deployments.
constexpr Millis kCancelBound{3'000};
constexpr Millis kBeforeCancel{400};

// A chain of steps, each of which needs the one before.
std::string JobBody() {
  json phases = json::array();
  for (int step = 0; step < kSteps; ++step) {
    json phase = {{"count", kTasks},
                  {"cpu", 3000},
                  {"memMb", 64},
                  {"estimateMs", kRunTime.count()}};
    if (step > 0) phase["after"] = {step - 1};
    phases.push_back(phase);
  }
  return json{{"spec", std::to_string(kRunTime.count())},
              {"bestEffort", true},
              {"phases", phases}}
      .dump();
}

std::string Request(const std::string& method, const std::string& id,
                    const std::string& body) {
  std::string text = method + " /q/" + id +
                     " HTTP/1.1\r\nHost: jobs.example\r\n"
                     "Content-Type: application/json\r\n"
                     "Quetzalspindle-Deadline-Ms: " +
                     std::to_string(kCallerTimeout.count()) + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Returns the status of the response, and 0 if none came.
int ReadStatus(const RawConnection& connection, std::string* body) {
  const std::string head = connection.ReadUntil("\r\n\r\n");
  const std::string mark = "Content-Length: ";
  const size_t length = head.find(mark);
  if (length == std::string::npos) return 0;
  *body = connection.Read(std::stoul(head.substr(length + mark.size())));
  return std::stoi(head.substr(head.find(' ') + 1));
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool cancels = trouble == nullptr || std::string(trouble) != "0";
  HeldClusterOptions options;
  options.entries = 1;
  options.guards = 2;
  options.daemon = "target/quetzalspindled";
  HeldCluster cluster(options);
  if (!cluster.WaitReady()) {
    std::printf("the entry serves no job\n");
    return kCouldNotRun;
  }
  const std::string id = "00000000c0ffee01";
  RawConnection submission(cluster.CallerAddressOf(0), kCallerTimeout);
  const Instant submitted = Clock::now();
  if (!submission.connected() ||
      !submission.Send(Request("POST", id, JobBody()))) {
    std::printf("the job could not be sent\n");
    return kCouldNotRun;
  }
  std::printf("0 ms: POST of job %s, %d steps of %d tasks of %d ms\n",
              id.c_str(), kSteps, kTasks, static_cast<int>(kRunTime.count()));
  std::this_thread::sleep_for(kBeforeCancel);
  Instant acknowledged = Instant::max();
  if (cancels) {
    RawConnection cancel(cluster.CallerAddressOf(0), kCallerTimeout);
    std::string body;
    if (!cancel.Send(Request("DELETE", id, ""))) return kCouldNotRun;
    const int status = ReadStatus(cancel, &body);
    std::printf("%d ms: DELETE answered with %d %s\n",
                static_cast<int>(Elapsed(submitted, Clock::now()).count()),
                status, body.c_str());
    const bool is_acknowledged = status / 100 == 2 || status == 410;
    if (!is_acknowledged) return kCouldNotRun;
    acknowledged = Clock::now();
  }
  std::string body;
  const int status = ReadStatus(submission, &body);
  std::printf("%d ms: POST answered with %d %s\n",
              static_cast<int>(Elapsed(submitted, Clock::now()).count()),
              status, body.c_str());
  // For the lease of what may still run.
  std::this_thread::sleep_for(Millis(1'500));
  std::printf("what the workers saw, in ms since 1970:\n%s",
              cluster.ledger().HistoryOf(id).c_str());
  std::printf("starts: %d, tasks done: %d\n", cluster.ledger().starts_of(id),
              cluster.ledger().done_of(id));
  if (!cancels) {
    const bool is_complete =
        status == 200 && cluster.ledger().done_of(id) == kSteps * kTasks;
    return is_complete ? kHeld : kBroken;
  }
  const bool starts_late = cluster.ledger().HasStartedBetween(
      id, acknowledged + kCancelBound, Instant::max());
  std::printf("a task started later than %d ms after the acknowledgement: %s\n",
              static_cast<int>(kCancelBound.count()),
              starts_late ? "yes" : "no");
  return starts_late ? kBroken : kHeld;
}
