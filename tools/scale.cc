// Measures what control costs a process as the number of guards grows, and how
// soon a configuration is in force everywhere. Guards have no backend servers.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <thread>

#include "lib/cluster.h"
#include "lib/usage.h"

namespace {

using nlohmann::json;
using qs::Millis;
using qs::test::Cluster;

constexpr Millis kMeasured{10'000};

struct Sample {
  double cpu_seconds = 0;
  double bytes = 0;
  double frames = 0;
};

Sample Measure(Cluster* cluster, int guards) {
  Sample sample;
  for (int i = 0; i < guards; ++i) {
    sample.cpu_seconds += qs::UsageOf(cluster->guard(i).pid()).cpu_seconds;
  }
  sample.bytes = cluster->GuardCounter("quetzalspindle_frame_bytes_sent ", "");
  sample.frames = cluster->GuardCounter("quetzalspindle_frames_sent ", "");
  return sample;
}

// Waits until the entry sees as many live members with the version.
bool WaitMembers(Cluster* cluster, int count, uint64_t version) {
  return qs::test::WaitUntil([&] {
    const json members = cluster->Ask(0, "GET", "/v1/admin/members");
    int live = 0;
    for (const json& row : members.value("rows", json::array())) {
      const bool counts = row["live"] == true && row["role"] == "guard" &&
                          row["config_version"] >= version;
      live += counts ? 1 : 0;
    }
    return live == count;
  });
}

// Asks each guard itself, which gossip cannot delay.
bool WaitInForce(Cluster* cluster, int guards, uint64_t version) {
  return qs::test::WaitUntil([&] {
    return cluster->GuardCounter("quetzalspindle_config_version ", "") >=
           static_cast<double>(version) * guards;
  });
}

void Run(int guards) {
  qs::test::ClusterOptions options;
  options.entries = 1;
  options.guards = guards;
  options.platform = true;
  options.start_backends = false;
  options.gossip_interval = Millis(500);
  Cluster cluster(options);
  if (!WaitMembers(&cluster, guards, 1)) {
    std::printf("%4d guards: not all were seen\n", guards);
    return;
  }
  const Sample before = Measure(&cluster, guards);
  std::this_thread::sleep_for(kMeasured);
  const Sample after = Measure(&cluster, guards);
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double share = 1.0 / (guards * seconds);
  double peak_mb = 0;
  for (int i = 0; i < guards; ++i) {
    peak_mb = std::max(peak_mb, qs::UsageOf(cluster.guard(i).pid()).peak_mb);
  }
  const json body = {{"change_id", "scale"},
                     {"author", "scale"},
                     {"base_version", 1},
                     {"document", "[team club]\nmax_open_tasks = 5\n"}};
  const qs::Instant start = qs::Clock::now();
  cluster.Ask(0, "POST", "/v1/admin/config", body.dump());
  const bool in_force = WaitInForce(&cluster, guards, 2);
  const auto took =
      std::chrono::duration_cast<Millis>(qs::Clock::now() - start);
  const auto counts = Cluster::Call(cluster.platform_http(), "GET", "/counts");
  std::printf(
      "%4d guards: a guard sends %6.2f KB/s in %5.1f frames/s, uses %.2f%% of "
      "a core, peak %.0f MB; in force after %lld ms%s; store %s\n",
      guards, (after.bytes - before.bytes) * share / 1e3,
      (after.frames - before.frames) * share,
      (after.cpu_seconds - before.cpu_seconds) * share * 100, peak_mb,
      static_cast<long long>(took.count()), in_force ? "" : " (NOT ALL)",
      counts.body.c_str());
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsscale: cost of control against the number of guards"};
  std::vector<int> sizes = {11, 30, 60, 120};
  app.add_option("sizes", sizes, "numbers of guards")
      ->check(CLI::Range(1, 250));
  CLI11_PARSE(app, argc, argv);
  for (const int size : sizes) Run(size);
  return 0;
}
