// Stops the only entry that is left while it holds a job, drops a route, and
// hands a job in for that route over a connection that was open before.

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "lib/held_cluster.h"
#include "lib/process.h"
#include "lib/raw_connection.h"

namespace {

using nlohmann::json;
using qs::Clock;
using qs::Elapsed;
using qs::Instant;
using qs::Millis;
using qs::test::HeldCluster;
using qs::test::HeldClusterOptions;
using qs::test::Process;
using qs::test::RawConnection;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr const char* kDaemon = "target/quetzalspindled";
// bounds.contactMs, bounds.configApplyMs and bounds.gracePeriodS of the small
// deployments.
constexpr Millis kContact{3'000};
constexpr Millis kConfigApply{2'000};
constexpr Millis kGracePeriod{6'000};
constexpr Millis kCallerTimeout{12'000};
constexpr int kLongSteps = 6;
constexpr Millis kLongStep{900};
constexpr Millis kShortRun{100};
// From the SIGTERM to the change of the configuration.
constexpr Millis kBeforeChange{2'200};

std::string JobBody(int steps, Millis run_time) {
  json phases = json::array();
  for (int step = 0; step < steps; ++step) {
    json phase = {{"count", 1},
                  {"cpu", 3000},
                  {"memMb", 64},
                  {"estimateMs", run_time.count()}};
    if (step > 0) phase["after"] = {step - 1};
    phases.push_back(phase);
  }
  return json{{"spec", std::to_string(run_time.count())},
              {"bestEffort", true},
              {"phases", phases}}
      .dump();
}

bool SendJob(const RawConnection& connection, const std::string& prefix,
             const std::string& id, const std::string& body) {
  return connection.Send("POST " + prefix + id +
                         " HTTP/1.1\r\nHost: jobs.example\r\n"
                         "Content-Type: application/json\r\n"
                         "Quetzalspindle-Deadline-Ms: " +
                         std::to_string(kCallerTimeout.count()) +
                         "\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
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

// Starts entry 0 anew, with the times of the deploy file's template.
std::unique_ptr<Process> StartAsDeployed(HeldCluster* cluster) {
  cluster->entry(0).Kill();
  std::ifstream in(cluster->SettingsPath("entry0"));
  std::ostringstream out;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("stop_timeout_ms")) {
      line = "stop_timeout_ms = " + std::to_string(kGracePeriod.count());
    }
    if (line.starts_with("stop_accepting_after_ms")) {
      line = "stop_accepting_after_ms = 2200";
    }
    out << line << "\n";
  }
  const std::string path = cluster->SettingsPath("deployed");
  std::ofstream(path) << out.str();
  return Process::Start({kDaemon, "--config", path}, path + ".log");
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool stops = trouble == nullptr || std::string(trouble) != "0";
  HeldClusterOptions options;
  options.entries = 2;
  options.guards = 2;
  options.daemon = kDaemon;
  HeldCluster cluster(options);
  const std::unique_ptr<Process> entry = StartAsDeployed(&cluster);
  if (!entry || !cluster.WaitReady()) {
    std::printf("the entries serve no job\n");
    return kCouldNotRun;
  }
  // The other entry is lost for good, long before what follows.
  cluster.entry(1).Kill();
  std::this_thread::sleep_for(kContact + Millis(1'000));

  const RawConnection holding(cluster.CallerAddressOf(0), kCallerTimeout);
  // A client's connection that stays open, as one that has served a request.
  const RawConnection open(cluster.CallerAddressOf(0), kCallerTimeout);
  std::string body;
  if (!SendJob(open, "/r/", "00000000c0ffee10", JobBody(1, kShortRun)) ||
      ReadStatus(open, &body) != 200) {
    std::printf("route r serves no job\n");
    return kCouldNotRun;
  }
  const std::string long_id = "00000000c0ffee11";
  if (!SendJob(holding, "/q/", long_id, JobBody(kLongSteps, kLongStep))) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(Millis(100));

  const Instant stopped = Clock::now();
  if (stops) {
    entry->Signal(SIGTERM);
    std::printf("0 ms: SIGTERM to the entry, which holds job %s\n",
                long_id.c_str());
  }
  std::this_thread::sleep_for(kBeforeChange);
  cluster.WriteCatalog(2, false);
  const Instant acknowledged = Clock::now();
  const auto since = [&](Instant then) {
    return static_cast<int>(Elapsed(stopped, then).count());
  };
  std::printf("%d ms: version 2, without route r, is acknowledged\n",
              since(acknowledged));
  const Instant bound =
      std::max(stopped + kContact, acknowledged + kConfigApply);
  std::this_thread::sleep_until(
      std::chrono::steady_clock::now() + (bound - Clock::now()) + Millis(200));

  const std::string id = "00000000c0ffee12";
  const Instant sent = Clock::now();
  std::printf("%d ms: POST of job %s for route r, %d ms past the bound\n",
              since(sent), id.c_str(),
              static_cast<int>(Elapsed(bound, sent).count()));
  if (!SendJob(open, "/r/", id, JobBody(1, kShortRun))) {
    std::printf("the connection has ended\n");
    return kCouldNotRun;
  }
  const int status = ReadStatus(open, &body);
  std::printf("%d ms: answered with %d %s\n", since(Clock::now()), status,
              body.c_str());
  std::string long_body;
  const int long_status = ReadStatus(holding, &long_body);
  std::printf("%d ms: job %s answered with %d %s\n", since(Clock::now()),
              long_id.c_str(), long_status, long_body.c_str());
  std::printf("what the workers saw of job %s, in ms since 1970:\n%s",
              id.c_str(), cluster.ledger().HistoryOf(id).c_str());
  const int starts = cluster.ledger().starts_of(id);
  std::printf("starts for the dropped route: %d\n", starts);
  if (status == 200 && starts > 0) return kBroken;
  return status == 404 && starts == 0 ? kHeld : kCouldNotRun;
}
