// Lets the open connections between the entries and the store go silent while
// new ones work, changes the configuration, and asks the entries for a route
// that it added once all bounds have passed.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "lib/held_cluster.h"
#include "lib/raw_connection.h"

namespace {

using qs::Clock;
using qs::Elapsed;
using qs::Instant;
using qs::Millis;
using qs::test::FaultProxy;
using qs::test::HeldCluster;
using qs::test::HeldClusterOptions;
using qs::test::RawConnection;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kEntries = 2;
// bounds.contactMs and bounds.configApplyMs of the small deployments.
constexpr Millis kContact{3'000};
constexpr Millis kConfigApply{2'000};
// From version 2 to the silence, shortly before version 3.
constexpr Millis kBetweenChanges{4'070};
constexpr Millis kAskInterval{10};
constexpr Millis kAskFor{5'000};

// The status of a request for the number of waiting jobs of queue r.
int AskForCount(const HeldCluster& cluster, int entry) {
  const RawConnection connection(cluster.CallerAddressOf(entry), Millis(500));
  if (!connection.connected()) return 0;
  if (!connection.Send("GET /r/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n")) {
    return 0;
  }
  const std::string head = connection.ReadUntil("\r\n\r\n");
  const size_t space = head.find(' ');
  return space == std::string::npos ? 0 : std::stoi(head.substr(space + 1));
}

bool WaitForStatus(const HeldCluster& cluster, int status) {
  const Instant end = Clock::now() + Millis(5'000);
  for (int entry = 0; entry < kEntries; ++entry) {
    while (AskForCount(cluster, entry) != status) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(Millis(1));
    }
  }
  return true;
}

int MillisSince(Instant then) {
  return static_cast<int>(Elapsed(then, Clock::now()).count());
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool silences = trouble == nullptr || std::string(trouble) != "0";
  HeldClusterOptions options;
  options.entries = kEntries;
  options.guards = 2;
  options.daemon = "target/quetzalspindled";
  HeldCluster cluster(options);
  if (!cluster.WaitReady()) {
    std::printf("the entries serve no job\n");
    return kCouldNotRun;
  }
  // Route r is there, is dropped by version 2, and added by version 3.
  cluster.WriteCatalog(2, false);
  if (!WaitForStatus(cluster, 404)) {
    std::printf("version 2 did not come into force\n");
    return kCouldNotRun;
  }
  // Each entry has sent its third watch since by then. A watch lasts 2 s.
  std::this_thread::sleep_for(kBetweenChanges);
  const Instant began = Clock::now();
  if (silences) {
    cluster.store_proxy().BreakConnections(FaultProxy::Notices::kServer, true,
                                           Millis(60'000));
    std::this_thread::sleep_for(Millis(10));
  }
  const Instant silent = Clock::now();
  std::printf("%d ms: open connections to the store %s\n", MillisSince(began),
              silences ? "are silent from now on" : "stay as they are");
  std::this_thread::sleep_for(Millis(300));
  cluster.WriteCatalog(3, true);
  const Instant acknowledged = Clock::now();
  std::printf("%d ms: version 3 is acknowledged\n", MillisSince(began));
  const Instant bound = std::max(silences ? silent + kContact : silent,
                                 acknowledged + kConfigApply);
  std::printf("%d ms: every entry is in touch, and the bound has passed\n",
              static_cast<int>(Elapsed(began, bound).count()));
  int late = 0;
  int others = 0;
  for (int i = 0; Clock::now() < acknowledged + kAskFor; ++i) {
    const Instant sent = Clock::now();
    const int entry = i % kEntries;
    const int status = AskForCount(cluster, entry);
    const bool is_late = sent > bound && status == 404;
    late += is_late ? 1 : 0;
    others += sent > bound && status != 200 && status != 404 ? 1 : 0;
    std::printf("%d ms: entry %d asked, answered with %d%s\n",
                static_cast<int>(Elapsed(began, sent).count()), entry, status,
                is_late ? ", past the bound" : "");
    std::this_thread::sleep_for(kAskInterval);
  }
  std::printf("answered with 404 past the bound: %d\n", late);
  if (others > 0) {
    std::printf("answered otherwise: %d\n", others);
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}
