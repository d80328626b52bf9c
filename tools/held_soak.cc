// Soak test of held jobs with real processes. Callers submit jobs while a
// seeded schedule injects failures: signals to processes, proxies that delay,
// mute, silence or reset connections, and faults of the store and the workers.
// At the end it prints one line per promise with the number of violations; the
// exit code depends on these numbers only.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <random>
#include <thread>

#include "lib/cluster.h"
#include "lib/held_cluster.h"
#include "lib/soak_frame.h"

namespace {

using qs::Clock;
using qs::Instant;
using qs::Millis;
using qs::test::FaultProxy;
using qs::test::HeldCluster;

constexpr int kEntries = 2;
constexpr int kMaxAttempts =
    3;  // Matches the queues that HeldCluster configures.
// The platform's callers wait this long before they retry a job.
constexpr Millis kRetryDelay{1300};
constexpr Millis kCallerTimeout{6000};
// Tolerance for an answer that is in transit when the caller times out.
constexpr Millis kCallerTimeoutSlack{1500};
// HeldCluster gives stopping processes a grace period of four seconds.
constexpr Millis kLongestStop{5000};
constexpr Millis kRecovery{20'000};

class HeldSoak {
 public:
  HeldSoak(HeldCluster* cluster, const qs::SoakOptions& options)
      : cluster_(cluster), options_(options), guards_(options.guards) {}

  void Run() {
    std::vector<std::thread> threads =
        qs::StartCallers(options_.callers, [this](int i) { Caller(i); });
    RunFailures();
    EndFailures(true);
    stop_ = true;
    for (std::thread& thread : threads) thread.join();
    CheckRecovery();
    StopAll();
  }

  // Prints the verdict and returns whether every promise held.
  bool Judge() {
    violations_["one run of a task at a time"] = cluster_->ledger().doubled();
    std::printf("starts %d, answers", cluster_->ledger().starts());
    for (const auto& [status, count] : answers_) {
      std::printf(" %d:%d", status, count);
    }
    std::printf(", failures");
    for (const auto& [name, count] : injected_) {
      std::printf(" %s:%d", name.c_str(), count);
    }
    std::printf("\n");
    const bool held = qs::PrintViolations(violations_);
    if (!held) std::printf("logs: %s\n", cluster_->KeepLogs().c_str());
    return held;
  }

 private:
  void RecordViolation(const char* promise, const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    ++violations_[promise];
    std::printf("%s: job %s, status %d\n%s", promise, id.c_str(), status,
                cluster_->ledger().HistoryOf(id).c_str());
  }

  // Submits one job after another. A job without an answer is retried at a
  // random entry, as the platform's callers do.
  void Caller(int number) {
    std::mt19937 random(options_.seed * 1000 + static_cast<uint32_t>(number));
    while (!stop_) {
      const std::string id = cluster_->NextId();
      const int tasks = 1 + static_cast<int>(random() % 4);
      const Millis run_time(5 + random() % 300);
      bool was_sent_before = false;
      HeldCluster::Answer answer;
      for (int attempt = 0; attempt < 3 && answer.status == 0; ++attempt) {
        if (attempt > 0) std::this_thread::sleep_for(kRetryDelay);
        // Some callers time out early and close their connection. They retry
        // the job unless this was their last attempt.
        const bool leaves = random() % 12 == 0;
        const Millis caller_timeout =
            leaves ? Millis(20 + random() % 300) : kCallerTimeout;
        was_sent_before = attempt > 0;
        const Instant sent = Clock::now();
        answer = cluster_->HandIn(static_cast<int>(random() % kEntries), id,
                                  tasks, run_time, "/q/", caller_timeout);
        if (Clock::now() - sent > caller_timeout + kCallerTimeoutSlack) {
          RecordViolation("callers are answered in time or cut off", id,
                          answer.status);
        }
      }
      CheckAnswer(id, tasks, answer, was_sent_before);
      std::this_thread::sleep_for(Millis(random() % 40));
    }
  }

  void CheckAnswer(const std::string& id, int tasks,
                   const HeldCluster::Answer& answer, bool was_sent_before) {
    const int status = answer.status;
    const bool is_complete =
        status == 200 && answer.body.find("completed") != std::string::npos;
    {
      const std::lock_guard lock(mutex_);
      ++answers_[status];
    }
    qs::test::RunLedger& ledger = cluster_->ledger();
    if (is_complete && ledger.done_of(id) != tasks) {
      RecordViolation("complete when every task is done", id, status);
    }
    // An answer with status 200 that is not "completed" reports that some task
    // used up its attempts.
    if (status == 200 && !is_complete && ledger.failed_of(id) < kMaxAttempts) {
      RecordViolation("failed when a task failed too often", id, status);
    }
    // If the job was sent only once, a refusal promises that none of its tasks
    // ran or will run. CheckRecovery() verifies this at the end.
    const bool is_refused = status == 503 || status == 429;
    if (is_refused && !was_sent_before) {
      const std::lock_guard lock(mutex_);
      refused_.push_back(id);
    }
  }

  using Failure = void (HeldSoak::*)(int pick);

  // Starts the failures of the schedule at random intervals. Failures overlap
  // because EndFailures() runs only after some of them.
  void RunFailures() {
    struct Row {
      const char* name;
      Failure failure;
    };
    static constexpr std::array kRows = {
        Row{"kill_guard", &HeldSoak::KillGuard},
        Row{"pause_guard", &HeldSoak::PauseGuard},
        Row{"stop_guard", &HeldSoak::StopGuard},
        Row{"kill_entry", &HeldSoak::KillEntry},
        Row{"pause_entry", &HeldSoak::PauseEntry},
        Row{"stop_entry", &HeldSoak::StopEntry},
        Row{"reload", &HeldSoak::Reload},
        Row{"store_down", &HeldSoak::StoreDown},
        Row{"store_history", &HeldSoak::StoreHistory},
        Row{"store_link", &HeldSoak::StoreLink},
        Row{"worker_link", &HeldSoak::WorkerLink},
        Row{"worker_link", &HeldSoak::WorkerLink},
        Row{"worker_fails", &HeldSoak::WorkerFails},
        Row{"worker_drains", &HeldSoak::WorkerDrains},
        Row{"configuration", &HeldSoak::ChangeConfiguration},
    };
    std::mt19937 random(options_.seed);
    for (int i = 0; i < options_.failures; ++i) {
      const Row& row = kRows[random() % kRows.size()];
      ++injected_[row.name];
      (this->*row.failure)(static_cast<int>(random() % 1000));
      std::this_thread::sleep_for(Millis(50 + random() % 900));
      if (random() % 3 == 0) EndFailures(false);
    }
  }

  void KillGuard(int pick) { cluster_->StartGuard(pick % guards_); }
  void PauseGuard(int pick) { cluster_->guard(pick % guards_).Signal(SIGSTOP); }
  void StopGuard(int pick) {
    const int i = pick % guards_;
    Stop(&cluster_->guard(i));
    cluster_->StartGuard(i);
  }
  void KillEntry(int pick) { cluster_->StartEntry(pick % kEntries); }
  void PauseEntry(int pick) {
    cluster_->entry(pick % kEntries).Signal(SIGSTOP);
  }
  void StopEntry(int pick) {
    const int i = pick % kEntries;
    Stop(&cluster_->entry(i));
    cluster_->StartEntry(i);
  }
  void Reload(int pick) { cluster_->entry(pick % kEntries).Signal(SIGHUP); }
  void StoreDown(int pick) {
    cluster_->kv().SetDown(true);
    if (pick % 2 == 0) cluster_->kv().EndLeases();
  }
  void StoreHistory(int pick) {
    cluster_->kv().Compact();
    if (pick % 2 == 0) cluster_->kv().LoseNextReply();
  }
  void StoreLink(int pick) { cluster_->store_proxy().SetMode(ModeOf(pick)); }
  void WorkerLink(int pick) {
    cluster_->worker_proxy(pick % guards_).SetMode(ModeOf(pick / 7));
  }
  void WorkerFails(int pick) {
    cluster_->worker(pick % guards_).SetFailing(true);
  }
  void WorkerDrains(int pick) {
    cluster_->worker(pick % guards_).SetDraining(true);
  }
  void ChangeConfiguration(int /*pick*/) {
    ++version_;
    cluster_->WriteCatalog(version_, version_ % 2 == 0);
  }

  static FaultProxy::Mode ModeOf(int pick) {
    static constexpr std::array kModes = {
        FaultProxy::Mode::kDelay, FaultProxy::Mode::kMute,
        FaultProxy::Mode::kSilent, FaultProxy::Mode::kReset};
    return kModes[static_cast<size_t>(pick) % kModes.size()];
  }

  void Stop(qs::test::Process* process) {
    process->Signal(SIGCONT);
    process->Signal(SIGTERM);
    if (process->Wait(kLongestStop) < 0) {
      RecordViolation("a planned stop ends in its grace time", "-", 0);
    }
  }

  // Ends active failures and resumes every paused process. Unless `all` is set,
  // workers with an even number keep failing or draining.
  void EndFailures(bool all) {
    cluster_->kv().SetDown(false);
    cluster_->store_proxy().SetMode(FaultProxy::Mode::kPass);
    for (int i = 0; i < kEntries; ++i) cluster_->entry(i).Signal(SIGCONT);
    for (int i = 0; i < guards_; ++i) {
      cluster_->guard(i).Signal(SIGCONT);
      cluster_->worker_proxy(i).SetMode(FaultProxy::Mode::kPass);
      if (!all && i % 2 == 0) continue;
      cluster_->worker(i).SetFailing(false);
      cluster_->worker(i).SetDraining(false);
    }
  }

  void CheckRecovery() {
    for (int i = 0; i < kEntries; ++i) {
      const bool recovered = qs::test::WaitUntil(
          [&] {
            return cluster_->HandIn(i, cluster_->NextId(), 1, Millis(1))
                       .status == 200;
          },
          kRecovery);
      if (!recovered) {
        RecordViolation("jobs are served once failures stop", "-", i);
      }
    }
    for (const std::string& id : refused_) {
      if (cluster_->ledger().starts_of(id) > 0) {
        RecordViolation("a refusal says that nothing ran", id, 0);
      }
    }
  }

  void StopAll() {
    for (int i = 0; i < kEntries; ++i) Stop(&cluster_->entry(i));
    for (int i = 0; i < guards_; ++i) Stop(&cluster_->guard(i));
  }

  HeldCluster* cluster_;
  qs::SoakOptions options_;
  int guards_;
  uint64_t version_ = 2;
  std::atomic<bool> stop_{false};
  std::map<std::string, int> injected_;
  std::mutex mutex_;
  std::map<int, int> answers_;
  std::vector<std::string> refused_;
  std::map<std::string, int> violations_ = {
      {"one run of a task at a time", 0},
      {"complete when every task is done", 0},
      {"failed when a task failed too often", 0},
      {"a refusal says that nothing ran", 0},
      {"callers are answered in time or cut off", 0},
      {"a planned stop ends in its grace time", 0},
      {"jobs are served once failures stop", 0},
  };
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsheldsoak: callers of held jobs against a seeded schedule"};
  qs::SoakOptions options{4, 1, 20, 8};
  qs::AddSoakOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  HeldCluster cluster(options.guards, kEntries);
  std::printf("seed %u\n", options.seed);
  if (!cluster.WaitReady()) {
    std::printf("the processes did not become ready\n");
    return 1;
  }
  HeldSoak soak(&cluster, options);
  soak.Run();
  return soak.Judge() ? 0 : 1;
}
