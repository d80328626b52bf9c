// Soak test: callers submit jobs while a seeded schedule injects failures. At
// the end it prints one line per promise with the number of violations; the
// exit code depends on these numbers only.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <random>
#include <thread>

#include "lib/cluster.h"
#include "lib/soak_frame.h"

namespace {

using nlohmann::json;
using qs::Millis;
using qs::test::Cluster;

constexpr int kEntries = 2;
constexpr int kTasks = 12;
constexpr Millis kLongestRun{1'200'000};
constexpr Millis kAnswerLimit{60'000};

// A submission and the last answer that its caller received.
struct Record {
  std::string prefix;
  json answer;
  int disagreements = 0;  // 1 if a repeated request got another answer.
};

class Soak {
 public:
  Soak(Cluster* cluster, const qs::SoakOptions& options)
      : cluster_(cluster), options_(options), guards_(options.guards) {}

  void Run() {
    std::vector<std::thread> threads =
        qs::StartCallers(options_.callers, [this](int i) { Caller(i); });
    RunFailures();
    Repair();
    failures_ended_at_ = qs::Clock::now();
    stop_ = true;
    for (std::thread& thread : threads) thread.join();
    StopGracefully();
  }

  // Prints the verdict and returns whether every promise held.
  bool Judge() {
    const auto starts = cluster_->Starts();
    std::map<std::string, int> violations = {
        {"no task starts twice", 0},
        {"complete or failed, never partial", 0},
        {"the whole answer to the own request", 0},
        {"not run is true", 0},
        {"a planned stop cuts nothing off", cut_off_},
        {"every submission is answered", unanswered_},
    };
    for (const auto& [name, count] : starts) {
      violations["no task starts twice"] += count > 1 ? 1 : 0;
    }
    std::map<std::string, int> outcomes;
    for (const Record& record : records_) {
      violations["the whole answer to the own request"] += record.disagreements;
      JudgeAnswer(record, starts, &violations, &outcomes);
    }
    std::printf(
        "submissions %zu, tasks started %zu, outcomes %s, failures %s\n",
        records_.size(), starts.size(), json(outcomes).dump().c_str(),
        json(injected_).dump().c_str());
    return qs::PrintViolations(violations);
  }

 private:
  void JudgeAnswer(const Record& record,
                   const std::map<std::string, int>& starts,
                   std::map<std::string, int>* violations,
                   std::map<std::string, int>* outcomes) {
    const bool has_results = record.answer.contains("results");
    const bool complete = record.answer.value("state", "") == "complete";
    if (has_results && record.answer["results"].size() != kTasks) {
      ++(*violations)["complete or failed, never partial"];
      return;
    }
    for (int t = 0; t < kTasks; ++t) {
      const std::string name = record.prefix + "-" + std::to_string(t);
      const bool started = starts.contains(name);
      json result = has_results
                        ? record.answer["results"][static_cast<size_t>(t)]
                        : json{{"outcome", record.answer.value("outcome", "")}};
      if (result.is_string() != complete) {
        ++(*violations)["complete or failed, never partial"];
        continue;
      }
      if (complete) {
        const bool own = result.get<std::string>().starts_with("done:" + name);
        if (!own || !started) {
          ++(*violations)["the whole answer to the own request"];
        }
        ++(*outcomes)["done"];
        continue;
      }
      const std::string outcome = result.value("outcome", "");
      ++(*outcomes)[outcome];
      if (outcome == "not_run" && started) ++(*violations)["not run is true"];
    }
  }

  // Submits one job after another. Each job is submitted repeatedly, to a
  // random entry, until the answer is final, and then once more to check that
  // the answer does not change.
  void Caller(int number) {
    std::mt19937 random(options_.seed * 1000 + static_cast<uint32_t>(number));
    for (int j = 0; !stop_; ++j) {
      Record record;
      record.prefix = "c" + std::to_string(number) + "j" + std::to_string(j);
      const std::string id =
          cluster_->Mint(static_cast<int>(random() % kEntries));
      if (id.empty()) {
        std::this_thread::sleep_for(Millis(50));
        continue;
      }
      const int run_ms = 5 + static_cast<int>(random() % 60);
      const std::string body =
          qs::test::JobBody(record.prefix, kTasks, run_ms, false, 8000);
      const bool answered = qs::test::WaitUntil(
          [&] {
            record.answer =
                HandIn(id, body, static_cast<int>(random() % kEntries));
            return IsFinal(record.answer) || IsOverdue();
          },
          kLongestRun);
      if (!answered || !IsFinal(record.answer)) ++unanswered_;
      const json again =
          HandIn(id, body, static_cast<int>(random() % kEntries));
      if (again.contains("results") && again != record.answer) {
        record.disagreements = record.answer.contains("results") ? 1 : 0;
      }
      const std::lock_guard lock(mutex_);
      records_.push_back(std::move(record));
    }
  }

  json HandIn(const std::string& id, const std::string& body, int entry) {
    return cluster_->Ask(entry, "PUT", "/v1/submissions/" + id + "?wait=10000",
                         body);
  }

  // Whether at least kAnswerLimit has passed since the end of the failures.
  bool IsOverdue() const {
    return stop_ && qs::Clock::now() - failures_ended_at_ >= kAnswerLimit;
  }

  static bool IsFinal(const json& answer) {
    if (answer.contains("results")) return true;
    const std::string reason = answer.value("reason", "");
    return !reason.empty() && reason != "home_unreachable";
  }

  // Starts the failures of the schedule at random intervals. Failures overlap
  // because Repair() runs only after some of them.
  void RunFailures() {
    std::mt19937 random(options_.seed);
    using Failure = void (Soak::*)(int);
    struct Row {
      const char* name;
      Failure failure;
    };
    static constexpr std::array kRows = {
        Row{"kill_guard", &Soak::KillGuard},
        Row{"pause_guard", &Soak::PauseGuard},
        Row{"kill_entry", &Soak::KillEntry},
        Row{"kill_backend", &Soak::KillBackend},
        Row{"fail_backend", &Soak::FailBackend},
        Row{"stop_guard", &Soak::StopGuard},
        Row{"drain_guard", &Soak::DrainGuard},
        Row{"platform_down", &Soak::PlatformDown},
    };
    for (int i = 0; i < options_.failures; ++i) {
      const Row& row = kRows[random() % kRows.size()];
      ++injected_[row.name];
      (this->*row.failure)(static_cast<int>(random() % 1000));
      std::this_thread::sleep_for(Millis(100 + random() % 900));
      if (random() % 3 == 0) Repair();
    }
  }

  void KillGuard(int pick) {
    cluster_->guard(pick % guards_).Kill();
    if (pick % 2 == 0) cluster_->StartGuard(pick % guards_);
  }
  void PauseGuard(int pick) { cluster_->guard(pick % guards_).Signal(SIGSTOP); }
  void KillEntry(int pick) {
    cluster_->entry(pick % kEntries).Kill();
    cluster_->StartEntry(pick % kEntries);
  }
  void KillBackend(int pick) {
    cluster_->backend(pick % guards_).Kill();
    cluster_->StartBackend(pick % guards_);
  }
  void FailBackend(int pick) {
    ControlBackend(pick % guards_, R"({"fail_all":true})");
  }
  void DrainGuard(int pick) {
    cluster_->Ask(
        0, "POST",
        "/v1/admin/drain/" + cluster_->guard_peer(pick % guards_).ToString());
  }
  void PlatformDown(int /*pick*/) { ControlPlatform(R"({"down":true})"); }

  // Stops a guard gracefully under load. The guard must exit with code 0, which
  // means that it cut off no work.
  void StopGuard(int pick) {
    const int i = pick % guards_;
    cluster_->guard(i).Signal(SIGCONT);
    if (!cluster_->guard(i).running()) return cluster_->StartGuard(i);
    cluster_->guard(i).Signal(SIGTERM);
    if (cluster_->guard(i).Wait(Millis(120'000)) != 0) ++cut_off_;
    cluster_->StartGuard(i);
  }

  void ControlBackend(int i, const std::string& body) {
    Cluster::Call(cluster_->backend_http(i), "POST", "/control", body,
                  Millis(2000));
  }
  void ControlPlatform(const std::string& body) {
    Cluster::Call(cluster_->platform_http(), "POST", "/control", body);
  }

  // Ends every active failure and starts guards that were killed.
  void Repair() {
    ControlPlatform(R"({"down":false})");
    for (int i = 0; i < guards_; ++i) {
      cluster_->guard(i).Signal(SIGCONT);
      if (!cluster_->guard(i).running()) cluster_->StartGuard(i);
      ControlBackend(i, R"({"fail_all":false})");
      cluster_->Ask(1, "POST",
                    "/v1/admin/undrain/" + cluster_->guard_peer(i).ToString());
    }
  }

  void StopGracefully() {
    for (int i = 0; i < guards_; ++i) cluster_->guard(i).Signal(SIGTERM);
    for (int i = 0; i < guards_; ++i) {
      if (cluster_->guard(i).Wait(Millis(120'000)) != 0) ++cut_off_;
    }
  }

  Cluster* cluster_;
  qs::SoakOptions options_;
  int guards_;
  qs::Instant failures_ended_at_;  // Set before stop_.
  std::atomic<bool> stop_{false};
  std::atomic<int> unanswered_{0};
  int cut_off_ = 0;
  std::map<std::string, int> injected_;
  std::mutex mutex_;
  std::vector<Record> records_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qssoak: callers against a seeded schedule of failures"};
  qs::SoakOptions soak_options{5, 1, 12, 6};
  qs::AddSoakOptions(&app, &soak_options);
  CLI11_PARSE(app, argc, argv);
  qs::test::ClusterOptions options;
  options.entries = kEntries;
  options.guards = soak_options.guards;
  options.platform = true;
  options.guard_settings["guard"] = "executor_lost_after_ms = 2000\n";
  Cluster cluster(options);
  std::printf("seed %u\n", soak_options.seed);
  if (!cluster.WaitReady()) {
    std::printf("the processes did not become ready\n");
    return 1;
  }
  Soak soak(&cluster, soak_options);
  soak.Run();
  return soak.Judge() ? 0 : 1;
}
