// Runs the main job at the size of today's sketch analysis service: two entry
// hosts, eleven guards with a backend server each in four availability zones,
// and the key-value service, as separate processes on loopback.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <thread>

#include "lib/cluster.h"

namespace {

using nlohmann::json;
using qs::Millis;
using qs::test::Cluster;

constexpr int kGuards = 11;
constexpr int kEntries = 2;

void Say(const std::string& text) {
  std::printf("\n== %s\n", text.c_str());
  std::fflush(stdout);
}

class Demo {
 public:
  explicit Demo(Cluster* cluster) : cluster_(cluster) {}

  int Run() {
    RunJobs();
    ShowState();
    KillGuard();
    RunWithoutPlatform();
    return StopAll() && !failed_ ? 0 : 1;
  }

 private:
  void Expect(bool condition, const std::string& what) {
    std::printf("%s: %s\n", condition ? "ok" : "FAILED", what.c_str());
    failed_ = failed_ || !condition;
  }

  // Prints the output of qsctl.
  void Ctl(const std::vector<std::string>& words) {
    std::vector<std::string> command = {Cluster::ProgramPath("qsctl"),
                                        "--entry",
                                        cluster_->entry_http(0).ToString()};
    command.insert(command.end(), words.begin(), words.end());
    std::string line = "$ qsctl";
    for (const std::string& word : words) line += " " + word;
    std::printf("%s\n", line.c_str());
    const std::string log = cluster_->directory() + "/qsctl.out";
    std::remove(log.c_str());
    qs::test::Process::Start(command, log)->Wait(Millis(30'000));
    PrintFile(log);
  }

  static void PrintFile(const std::string& path) {
    std::FILE* file = std::fopen(path.c_str(), "r");
    if (file == nullptr) return;
    for (int c = std::fgetc(file); c != EOF; c = std::fgetc(file)) {
      std::putchar(c);
    }
    std::fclose(file);
  }

  void ExpectStartedOnce(const std::string& prefix, size_t tasks) {
    size_t started = 0;
    int most = 0;
    for (const auto& [name, count] : cluster_->Starts()) {
      if (!name.starts_with(prefix + "-")) continue;
      ++started;
      most = std::max(most, count);
    }
    Expect(started == tasks && most == 1,
           std::to_string(started) + " of " + std::to_string(tasks) +
               " tasks started, each at most " + std::to_string(most) +
               " time by the backend servers' own logs");
  }

  void RunJobs() {
    Say("a small job, handed in through one entry and asked through the other");
    const std::string id = cluster_->Mint(0);
    const std::string target = "/v1/submissions/" + id + "?wait=30000";
    const std::string body = qs::test::JobBody("sketch", 5, 80, false);
    const json answer = cluster_->Ask(0, "PUT", target, body);
    std::printf("%s\n", answer.dump(2).c_str());
    Expect(answer == cluster_->Ask(1, "GET", target), "both answers agree");
    Say("four jobs of 640 tasks of 50 ms side by side");
    const qs::Instant start = qs::Clock::now();
    std::vector<std::thread> callers;
    std::vector<json> answers(4);
    for (size_t i = 0; i < answers.size(); ++i) {
      callers.emplace_back([&, i] {
        answers[i] = cluster_->Ask(
            static_cast<int>(i % kEntries), "POST", "/v1/run",
            qs::test::JobBody("big" + std::to_string(i), 640, 50));
      });
    }
    for (std::thread& caller : callers) caller.join();
    const auto took =
        std::chrono::duration_cast<Millis>(qs::Clock::now() - start);
    std::printf("%lld ms; 88 slots need at least %d ms\n",
                static_cast<long long>(took.count()), 4 * 640 * 50 / 88);
    for (size_t i = 0; i < answers.size(); ++i) {
      Expect(answers[i].value("state", "") == "complete" &&
                 answers[i]["results"].size() == 640,
             "job " + std::to_string(i) + " is complete");
      ExpectStartedOnce("big" + std::to_string(i), 640);
    }
  }

  void ShowState() {
    Say("what the operators see");
    Ctl({"show", "jobs", "tasks>4"});
    Ctl({"show", "guards"});
    Ctl({"show", "backends", "state=serving"});
  }

  void KillGuard() {
    Say("a guard is killed in the middle of a job that is not repeatable");
    // The home of the job is one guard; another one is killed. The job takes
    // four seconds at least, so that it runs when the kill comes.
    const std::string id = cluster_->Mint(0);
    const std::string target = "/v1/submissions/" + id;
    const json accepted = cluster_->Ask(
        0, "PUT", target, qs::test::JobBody("killed", 600, 600, false));
    Expect(accepted.value("state", "") == "running",
           "the job is accepted: " + accepted.dump());
    qs::test::WaitUntil([&] { return Started("killed") > 60; });
    const std::string home = HomeOf(id);
    int victim = kGuards - 1;
    if (cluster_->guard_peer(victim).ToString() == home) --victim;
    Ctl({"show", "tasks", id, "state=waiting", "task<5"});
    cluster_->guard(victim).Kill();
    std::printf("killed the guard %s\n",
                cluster_->guard_peer(victim).ToString().c_str());
    const json answer = cluster_->Ask(1, "GET", target + "?wait=60000");
    // A refusal has no results.
    const json results = answer.value("results", json::array());
    std::map<std::string, int> outcomes;
    for (const json& result : results) {
      // A complete job lists outputs. It must not have ended before the kill.
      if (!result.is_object()) continue;
      ++outcomes[result.value("outcome", "") + " " +
                 result.value("reason", "")];
    }
    std::printf("state %s, reason %s\n", answer.value("state", "").c_str(),
                answer.value("reason", "").c_str());
    for (const auto& [outcome, count] : outcomes) {
      std::printf("  %4d %s\n", count, outcome.c_str());
    }
    Expect(answer.value("state", "") == "failed", "the job failed as a whole");
    int false_not_run = 0;
    const auto starts = cluster_->Starts();
    for (size_t i = 0; i < results.size(); ++i) {
      const bool told_not_run = results[i].is_object() &&
                                results[i].value("outcome", "") == "not_run";
      const bool started = starts.contains("killed-" + std::to_string(i));
      false_not_run += told_not_run && started ? 1 : 0;
    }
    Expect(false_not_run == 0, "no task told \"not run\" had started");
    Ctl({"show", "jobs", "state=failed"});
    Ctl({"show", "refusals"});
    cluster_->StartGuard(victim);
    Expect(cluster_->WaitReady(), "the guard came back and serves");
  }

  void RunWithoutPlatform() {
    Say("the key-value service is killed; jobs go on");
    const auto counts =
        Cluster::Call(cluster_->platform_http(), "GET", "/counts");
    std::printf("its calls so far: %s\n", counts.body.c_str());
    cluster_->platform().Kill();
    const json answer = cluster_->Ask(0, "POST", "/v1/run",
                                      qs::test::JobBody("outage", 640, 50));
    Expect(answer.value("state", "") == "complete", "the job is complete");
    ExpectStartedOnce("outage", 640);
  }

  bool StopAll() {
    Say("graceful stop of everything");
    for (int i = 0; i < kEntries; ++i) cluster_->entry(i).Signal(SIGTERM);
    for (int i = 0; i < kGuards; ++i) cluster_->guard(i).Signal(SIGTERM);
    bool clean = true;
    for (int i = 0; i < kEntries; ++i) {
      clean = clean && cluster_->entry(i).Wait(Millis(90'000)) == 0;
    }
    for (int i = 0; i < kGuards; ++i) {
      clean = clean && cluster_->guard(i).Wait(Millis(90'000)) == 0;
    }
    Expect(clean, "every process stopped by itself and cut nothing off");
    return clean;
  }

  size_t Started(const std::string& prefix) const {
    size_t count = 0;
    for (const auto& [name, starts] : cluster_->Starts()) {
      count += name.starts_with(prefix + "-") ? 1 : 0;
    }
    return count;
  }

  std::string HomeOf(const std::string& id) const {
    const json jobs = cluster_->Ask(0, "GET", "/v1/admin/jobs");
    for (const json& row : jobs["rows"]) {
      if (row["id"] == id) return row["home"];
    }
    return "";
  }

  Cluster* cluster_;
  bool failed_ = false;
};

}  // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF,
               0);  // An abort must not hide the report.
  qs::test::ClusterOptions options;
  options.entries = kEntries;
  options.guards = kGuards;
  options.platform = true;
  Say("starting 2 entry hosts, 11 guards, 11 backend servers, 1 platform");
  Cluster cluster(options);
  if (!cluster.WaitReady()) {
    std::printf("FAILED: the processes did not become ready\n");
    return 1;
  }
  const int code = Demo(&cluster).Run();
  std::printf("\n%s\n", code == 0 ? "demo: all as promised" : "demo: FAILED");
  return code;
}
