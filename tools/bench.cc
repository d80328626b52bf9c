// Measures the speed of the demo's processes on this machine. Figures belong to
// the machine and the moment; compare ratios of one run.

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

class Bench {
 public:
  Bench(Cluster* cluster, int guards, int entries)
      : cluster_(cluster), guards_(guards), entries_(entries) {}

  // Runs qsload and prints its report with the cost of each role.
  void Run(const std::string& name, const std::vector<std::string>& arguments) {
    const auto before = Totals();
    const double messages_before = Messages();
    const double retries_before =
        cluster_->GuardCounter("quetzalspindle_retries_total", "");
    std::vector<std::string> command = {Cluster::ProgramPath("qsload")};
    for (int i = 0; i < entries_; ++i) {
      command.push_back("--entry");
      command.push_back(cluster_->entry_http(i).ToString());
    }
    command.insert(command.end(), arguments.begin(), arguments.end());
    const std::string out = cluster_->directory() + "/load.json";
    std::remove(out.c_str());
    qs::test::Process::Start(command, out)->Wait(Millis(300'000));
    std::ifstream file(out);
    const json report = json::parse(file, nullptr, false);
    const auto after = Totals();
    const double tasks = report.value("tasks", 1.0);
    std::printf("\n== %s\n%s\n", name.c_str(), report.dump(2).c_str());
    std::printf("retries per task: %.3f\n",
                (cluster_->GuardCounter("quetzalspindle_retries_total", "") -
                 retries_before) /
                    tasks);
    std::printf("frames between processes per task: %.3f\n",
                (Messages() - messages_before) / tasks);
    for (const auto& [role, usage] : after) {
      const double micros =
          (usage.cpu_seconds - before.at(role).cpu_seconds) * 1e6 / tasks;
      std::printf("%-8s %8.1f us of processor time per task, peak %.0f MB\n",
                  role.c_str(), micros, usage.peak_mb);
    }
    std::fflush(stdout);
  }

 private:
  std::map<std::string, qs::Usage> Totals() {
    std::map<std::string, qs::Usage> totals;
    const auto add = [&](const std::string& role, pid_t pid) {
      const qs::Usage usage = qs::UsageOf(pid);
      totals[role].cpu_seconds += usage.cpu_seconds;
      totals[role].peak_mb = std::max(totals[role].peak_mb, usage.peak_mb);
    };
    for (int i = 0; i < guards_; ++i) {
      add("guard", cluster_->guard(i).pid());
      add("backend", cluster_->backend(i).pid());
    }
    for (int i = 0; i < entries_; ++i) add("entry", cluster_->entry(i).pid());
    return totals;
  }

  double Messages() const {
    // Processes set these gauges with each gossip round.
    std::this_thread::sleep_for(Millis(1200));
    return cluster_->GuardCounter("quetzalspindle_frames_sent", "") +
           cluster_->EntryCounter("quetzalspindle_frames_sent", "");
  }

  Cluster* cluster_;
  int guards_;
  int entries_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsbench: speed of the demo's processes on this machine"};
  int guards = 11;
  int queue_per_slot = 0;
  int big_jobs = 4000;
  int threads = 64;
  std::string placement = "least_loaded";
  bool only_big = false;
  app.add_option("--guards", guards);
  app.add_option("--queue-per-slot", queue_per_slot);
  app.add_option("--big-jobs", big_jobs);
  app.add_option("--threads", threads);
  app.add_option("--placement", placement);
  app.add_flag("--only-big", only_big);
  CLI11_PARSE(app, argc, argv);
  qs::test::ClusterOptions options;
  options.entries = 2;
  options.guards = guards;
  options.keep_start_logs = false;
  options.gossip_interval = Millis(500);
  options.guard_settings["guard"] =
      "queue_per_slot = " + std::to_string(queue_per_slot) +
      "\nplacement = " + placement + "\n";
  options.entry_settings["entry"] = "threads = 128\n";
  Cluster cluster(options);
  if (!cluster.WaitReady()) {
    std::printf("the processes did not become ready\n");
    return 1;
  }
  Bench bench(&cluster, guards, 2);
  const std::string slots = std::to_string(8 * guards);
  bench.Run("zero-length tasks in jobs of 100, closed loop",
            {"--jobs", std::to_string(big_jobs), "--tasks", "100",
             "--run-ms-min", "0", "--run-ms-max", "0", "--threads",
             std::to_string(threads), "--slots", slots});
  if (only_big) return 0;
  // 70% of the slots busy with tasks of 50 ms.
  const double rate = 0.7 * 8 * guards / 0.050;
  bench.Run(
      "single tasks of 50 ms, 70% load",
      {"--jobs", std::to_string(static_cast<int>(rate * 10)), "--tasks", "1",
       "--rate", std::to_string(rate), "--threads", "200", "--slots", slots});
  return 0;
}
