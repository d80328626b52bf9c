// Soak test: callers submit jobs over connections that they keep open, while a
// seeded schedule injects series of failures that overlap. At the end it prints
// one line per promise with the number of violations; the exit code depends on
// these numbers only.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "lib/cluster.h"
#include "lib/soak_frame.h"

namespace {

using nlohmann::json;
using qs::Millis;
using qs::test::Cluster;

constexpr int kTasks = 12;
constexpr Millis kLongestRun{1'200'000};
constexpr Millis kAnswerLimit{60'000};
constexpr Millis kTick{10};
constexpr uint32_t kSlots = 8;  // Of a backend server, at most.
// One job in so many has a task that crashes its backend server.
constexpr uint32_t kDeadlyOneIn = 100;
constexpr int kDeadlyChecks = 4;  // Once failures have ended.
// A backend server is started again this long after a crash.
constexpr Millis kBackendDowntime{500};
// A crash comes at most 100 ms after the start, and is told within a second.
constexpr Millis kCrashIsTold{1100};
constexpr Millis kLongestStop{120'000};
// A process that is told to stop before this age may not handle signals yet.
constexpr Millis kSignalsHandled{2000};

// A submission and the last answer that its caller received.
struct Record {
  std::string prefix;
  json answer;
  int disagreements = 0;      // 1 if a repeated request got another answer.
  std::optional<int> deadly;  // Number of the task that crashes its server.
};

// Keeps a connection to each entry open until the entry closes it.
class Client {
 public:
  explicit Client(const Cluster& cluster) {
    constexpr Millis kIdleLimit{3'600'000};
    for (int i = 0; i < cluster.entry_count(); ++i) {
      connections_.push_back(
          std::make_unique<qs::HttpClient>(cluster.entry_http(i), kIdleLimit));
    }
  }
  // Empty when there was no response.
  json Ask(int entry, const std::string& method, const std::string& target,
           const std::string& body = "") {
    qs::HttpClient::Request request;
    request.method = method;
    request.target = target;
    request.content_type = "application/json";
    request.body = body;
    request.timeout = Millis(120'000);
    const auto response =
        connections_.at(static_cast<size_t>(entry))->Exchange(request);
    if (!response) return json::object();
    json document = json::parse(response->body, nullptr, false);
    return document.is_object() ? document : json::object();
  }

 private:
  std::vector<std::unique_ptr<qs::HttpClient>> connections_;
};

class Soak {
 public:
  Soak(Cluster* cluster, const qs::SoakOptions& options)
      : cluster_(cluster),
        options_(options),
        guards_(options.guards),
        entries_(cluster->entry_count()) {}

  void Run() {
    std::vector<std::thread> threads =
        qs::StartCallers(options_.callers, [this](int i) { Caller(i); });
    RunFailures();
    failures_ended_at_ = qs::Clock::now();
    stop_ = true;
    for (std::thread& thread : threads) thread.join();
    CheckDeadlyTasks();
    for (int i = 0; i < guards_; ++i) cluster_->guard(i).Signal(SIGTERM);
    for (int i = 0; i < guards_; ++i) {
      CheckExit(cluster_->guard(i), kLongestStop);
    }
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
        {"a deadly task's caller hears of it at once", told_late_},
        {"no start over the announced slots", 0},
    };
    for (const auto& [name, count] : cluster_->StartsOverSlots()) {
      violations["no start over the announced slots"] += count;
      std::printf("over the slots: %s\n", name.c_str());
    }
    for (const auto& [name, count] : starts) {
      if (count <= 1) continue;
      ++violations["no task starts twice"];
      std::printf("started %d times: %s\n", count, name.c_str());
    }
    std::map<std::string, int> outcomes;
    int deadly = 0;
    for (const Record& record : records_) {
      deadly += record.deadly ? 1 : 0;
      violations["the whole answer to the own request"] += record.disagreements;
      JudgeAnswer(record, starts, &violations, &outcomes);
    }
    std::printf(
        "submissions %zu, of them deadly %d, tasks started %zu, outcomes %s, "
        "failures %s\n",
        records_.size(), deadly, starts.size(), json(outcomes).dump().c_str(),
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
      const bool is_deadly = t == record.deadly;
      const bool ended = outcome == "done" || outcome == "failed";
      const bool is_true =
          started ? outcome != "not_run" && !(is_deadly && ended) : !ended;
      if (is_true) continue;
      ++(*violations)["not run is true"];
      std::printf("%s is told as %s: %s\n", name.c_str(), result.dump().c_str(),
                  record.answer.dump().c_str());
    }
  }

  // Submits one job after another. Each job is submitted repeatedly, to a
  // random entry, until the answer is final, and then once more to check that
  // the answer does not change.
  void Caller(int number) {
    std::mt19937 random(options_.seed * 1000 + static_cast<uint32_t>(number));
    const auto draw_entry = [&] {
      return static_cast<int>(random() % static_cast<uint32_t>(entries_));
    };
    Client client(*cluster_);
    for (int j = 0; !stop_; ++j) {
      Record record;
      record.prefix = "c" + std::to_string(number) + "j" + std::to_string(j);
      const std::string id = Mint(&client, draw_entry());
      if (id.empty()) {
        std::this_thread::sleep_for(Millis(50));
        continue;
      }
      // Some tasks outlast an announcement of their backend server's slots.
      const uint32_t longest = random() % 8 == 0 ? 900 : 60;
      const int run_ms = 5 + static_cast<int>(random() % longest);
      if (random() % kDeadlyOneIn == 0) {
        record.deadly = static_cast<int>(random() % kTasks);
      }
      const std::string body = qs::test::JobBody(record.prefix, kTasks, run_ms,
                                                 false, 8000, record.deadly);
      const bool answered = qs::test::WaitUntil(
          [&] {
            record.answer = HandIn(&client, id, body, draw_entry());
            return IsFinal(record.answer) || IsOverdue();
          },
          kLongestRun);
      if (!answered || !IsFinal(record.answer)) ++unanswered_;
      const json again = HandIn(&client, id, body, draw_entry());
      if (again.contains("results") && again != record.answer) {
        record.disagreements = record.answer.contains("results") ? 1 : 0;
      }
      const std::lock_guard lock(mutex_);
      records_.push_back(std::move(record));
    }
  }

  static std::string Mint(Client* client, int entry) {
    return client->Ask(entry, "POST", "/v1/submissions").value("id", "");
  }
  static json HandIn(Client* client, const std::string& id,
                     const std::string& body, int entry) {
    return client->Ask(entry, "PUT", "/v1/submissions/" + id + "?wait=10000",
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

  // Hands in a job with a deadly task while nothing else runs and every guard
  // serves.
  void CheckDeadlyTasks() {
    Client client(*cluster_);
    for (int i = 0; i < kDeadlyChecks; ++i) {
      WaitFor(3 * kBackendDowntime);
      Record record;
      record.prefix = "deadly" + std::to_string(i);
      record.deadly = i;
      cluster_->WaitReady();
      const int entry = i % entries_;
      const std::string id = Mint(&client, entry);
      const std::string body =
          qs::test::JobBody(record.prefix, kTasks, 5, false, 8000, i);
      const qs::Instant began = qs::Clock::now();
      record.answer = HandIn(&client, id, body, entry);
      const Millis taken = qs::Elapsed(began, qs::Clock::now());
      const json result =
          record.answer.value("state", "") == "failed"
              ? record.answer["results"].at(static_cast<size_t>(i))
              : json::object();
      if (taken > kCrashIsTold || result.value("outcome", "") != "unknown" ||
          result.value("reason", "") != "backend_disconnected") {
        ++told_late_;
        std::printf("%s after %d ms: %s\n", record.prefix.c_str(),
                    static_cast<int>(taken.count()),
                    record.answer.dump().c_str());
      }
      records_.push_back(std::move(record));
    }
  }

  // Starts the failures of the schedule at random intervals, each of them up to
  // three times in a row. They overlap, because Repair() runs only after some
  // of them. Everything is drawn here, so that a seed always gives the same
  // failures.
  void RunFailures() {
    std::mt19937 random(options_.seed);
    using Failure = void (Soak::*)(int, int);
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
        Row{"stop_entry", &Soak::StopEntry},
        Row{"drain_guard", &Soak::DrainGuard},
        Row{"platform_down", &Soak::PlatformDown},
        Row{"slots", &Soak::ChangeSlots},
        Row{"slots", &Soak::ChangeSlots},
    };
    for (int i = 0; i < options_.failures; ++i) {
      const Row& row = kRows.at(random() % kRows.size());
      ++injected_[row.name];
      const int pick = static_cast<int>(random() % 1000);
      const auto times = 1 + random() % 3;
      Millis at(0);
      for (uint32_t n = 0; n < times; ++n) {
        const int how = static_cast<int>(random() % 1000);
        After(at, [this, &row, pick, how] { (this->*row.failure)(pick, how); });
        at += Millis(50 + random() % 1500);
      }
      WaitFor(Millis(100 + random() % 900));
      if (random() % 3 == 0) Repair();
    }
    const auto is_settled = [this] {
      return scheduled_.empty() && stopping_guards_.empty() &&
             stopping_entries_.empty();
    };
    while (!is_settled()) {
      WaitFor(kTick);
      if (scheduled_.empty()) Repair();
    }
    Repair();
  }

  // Runs what is scheduled and watches the processes for so long.
  void WaitFor(Millis duration) {
    const qs::Instant end = qs::Clock::now() + duration;
    do {
      while (!scheduled_.empty() &&
             scheduled_.begin()->first <= qs::Clock::now()) {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
      Watch();
      std::this_thread::sleep_for(kTick);
    } while (qs::Clock::now() < end);
  }
  void After(Millis delay, std::function<void()> action) {
    scheduled_.emplace(qs::Clock::now() + delay, std::move(action));
  }

  // Starts what has stopped, and backend servers that have crashed.
  void Watch() {
    Watch(
        &stopping_guards_,
        [this](int i) -> auto& { return cluster_->guard(i); },
        [this](int i) { StartGuard(i); });
    Watch(
        &stopping_entries_,
        [this](int i) -> auto& { return cluster_->entry(i); },
        [this](int i) { StartEntry(i); });
    for (int i = 0; i < guards_; ++i) {
      if (cluster_->backend(i).running()) continue;
      const auto row =
          backends_back_at_.try_emplace(i, qs::Clock::now() + kBackendDowntime)
              .first;
      if (qs::Clock::now() < row->second) continue;
      backends_back_at_.erase(row);
      cluster_->StartBackend(i);
    }
  }
  void Watch(std::map<int, qs::Instant>* stopping,
             const std::function<qs::test::Process&(int)>& process,
             const std::function<void(int)>& start) {
    for (auto row = stopping->begin(); row != stopping->end();) {
      const auto [i, limit] = *row;
      const bool is_over = qs::Clock::now() >= limit;
      if (process(i).running() && !is_over) {
        ++row;
        continue;
      }
      CheckExit(process(i), Millis(0));
      start(i);
      row = stopping->erase(row);
    }
  }
  // The process must exit with code 0, which means that it cut off no work.
  void CheckExit(qs::test::Process& process, Millis timeout) {
    const int code = process.Wait(timeout);
    if (code == 0) return;
    ++cut_off_;
    std::printf("a stopping process ended with %d\n", code);
  }

  void StartGuard(int i) {
    cluster_->guard(i).Kill();
    ControlBackend(i, R"({"guard_gone":true})");
    cluster_->StartGuard(i);
    started_[cluster_->guard(i).pid()] = qs::Clock::now();
  }
  void StartEntry(int i) {
    cluster_->StartEntry(i);
    started_[cluster_->entry(i).pid()] = qs::Clock::now();
  }
  bool HandlesSignals(const qs::test::Process& process) const {
    const auto row = started_.find(process.pid());
    return row == started_.end() ||
           qs::Clock::now() - row->second > kSignalsHandled;
  }
  void KillGuard(int pick, int how) {
    const int i = pick % guards_;
    stopping_guards_.erase(i);
    cluster_->guard(i).Kill();
    if (how % 2 == 0) StartGuard(i);
  }
  void PauseGuard(int pick, int how) {
    const int i = pick % guards_;
    cluster_->guard(i).Signal(SIGSTOP);
    After(Millis(how * 3), [this, i] { cluster_->guard(i).Signal(SIGCONT); });
  }
  void KillEntry(int pick, int /*how*/) {
    stopping_entries_.erase(pick % entries_);
    cluster_->entry(pick % entries_).Kill();
    StartEntry(pick % entries_);
  }
  void KillBackend(int pick, int /*how*/) {
    cluster_->backend(pick % guards_).Kill();
  }
  void FailBackend(int pick, int /*how*/) {
    ControlBackend(pick % guards_, R"({"fail_all":true})");
  }
  void DrainGuard(int pick, int /*how*/) {
    cluster_->Ask(
        0, "POST",
        "/v1/admin/drain/" + cluster_->guard_peer(pick % guards_).ToString());
  }
  void PlatformDown(int /*pick*/, int /*how*/) {
    ControlPlatform(R"({"down":true})");
  }
  // Announced with the next announcement. What runs goes on. Lasts long enough
  // that what was announced has to count.
  void ChangeSlots(int pick, int how) {
    const int i = pick % guards_;
    SetSlots(i, static_cast<uint32_t>(how) % (kSlots + 1));
    After(Millis(3000 + how * 3), [this, i] { SetSlots(i, kSlots); });
  }
  void SetSlots(int i, uint32_t slots) {
    ControlBackend(i, json{{"slots", slots}}.dump());
  }

  // Stops a process gracefully under load.
  void StopGuard(int pick, int /*how*/) {
    const int i = pick % guards_;
    cluster_->guard(i).Signal(SIGCONT);
    if (!cluster_->guard(i).running()) {
      // Watch() checks how a stop ended, and starts it then.
      if (!stopping_guards_.contains(i)) StartGuard(i);
      return;
    }
    if (!HandlesSignals(cluster_->guard(i))) return;
    cluster_->guard(i).Signal(SIGTERM);
    stopping_guards_.try_emplace(i, qs::Clock::now() + kLongestStop);
  }
  void StopEntry(int pick, int /*how*/) {
    const int i = pick % entries_;
    if (!HandlesSignals(cluster_->entry(i))) return;
    cluster_->entry(i).Signal(SIGTERM);
    stopping_entries_.try_emplace(i, qs::Clock::now() + kLongestStop);
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
      const bool is_stopping = stopping_guards_.contains(i);
      if (!is_stopping && !cluster_->guard(i).running()) StartGuard(i);
      ControlBackend(i, R"({"fail_all":false})");
      cluster_->Ask(entries_ - 1, "POST",
                    "/v1/admin/undrain/" + cluster_->guard_peer(i).ToString());
    }
  }

  Cluster* cluster_;
  qs::SoakOptions options_;
  int guards_;
  int entries_;
  std::multimap<qs::Instant, std::function<void()>> scheduled_;
  // Processes that were told to stop, and when they have to be gone.
  std::map<int, qs::Instant> stopping_guards_;
  std::map<int, qs::Instant> stopping_entries_;
  std::map<int, qs::Instant> backends_back_at_;
  std::map<pid_t, qs::Instant> started_;  // Processes, since the beginning.
  qs::Instant failures_ended_at_;         // Set before stop_.
  std::atomic<bool> stop_{false};
  std::atomic<int> unanswered_{0};
  int cut_off_ = 0;
  int told_late_ = 0;
  std::map<std::string, int> injected_;
  std::mutex mutex_;
  std::vector<Record> records_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qssoak: callers against a seeded schedule of failures"};
  qs::SoakOptions soak_options{5, 1, 12, 6};
  qs::AddSoakOptions(&app, &soak_options);
  qs::test::ClusterOptions options;
  options.entries = 2;
  app.add_option("--entries", options.entries)->check(CLI::Range(1, 50));
  CLI11_PARSE(app, argc, argv);
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
