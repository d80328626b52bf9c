// Soak test of held jobs with real processes. Callers submit jobs while a
// seeded schedule injects failures, which overlap and end on their own: signals
// to processes, proxies between processes, workers and the store that delay,
// silence, reset or refuse connections, and faults of the store and the
// workers. At the end it prints one line per promise with the number of
// violations; the exit code depends on these numbers only.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <numeric>
#include <optional>
#include <random>
#include <thread>

#include "lib/cluster.h"
#include "lib/held_cluster.h"
#include "lib/raw_connection.h"
#include "lib/soak_frame.h"
#include "lib/usage.h"

namespace {

using qs::Clock;
using qs::Instant;
using qs::Millis;
using qs::test::FakeWorker;
using qs::test::FaultProxy;
using qs::test::HeldCaller;
using qs::test::HeldCluster;
using Mode = FaultProxy::Mode;

constexpr int kMaxAttempts =
    3;  // Matches the queues that HeldCluster configures.
// The platform's callers wait this long before they retry a job.
constexpr Millis kRetryDelay{1300};
// The same when no byte of it was sent.
constexpr Millis kReconnectDelay{100};
constexpr int kSubmissions = 4;  // Of one job by its caller, at most.
// Of the jobs that are refused, one in so many is handed in again.
constexpr uint32_t kReturnsOneIn = 3;
constexpr Millis kCallerTimeout{6000};
// Tolerance for an answer that is in transit when the caller times out.
constexpr Millis kCallerTimeoutSlack{1500};
// Two crashes, each with the time until the worker is back, fit into it.
constexpr Millis kPatienceForCrashes{8000};
// HeldCluster gives stopping processes a grace period of four seconds.
constexpr Millis kLongestStop{5000};
// A process that is told to stop before this age may not handle signals yet.
constexpr Millis kSignalsHandled{2000};
constexpr Millis kRecovery{20'000};
constexpr Millis kTick{5};
constexpr int kFailureInterval = 365;  // On average, in milliseconds.
// A worker that a deadly task took down is back within 2.5 s, and what became
// of it is told within a second of that.
constexpr Millis kSecondCrashIsTold{3500};
// Evacuations of a zone beside the failures, and how long one lasts at most.
constexpr int kEvacuations = 4;
constexpr int kLongestEvacuation = 4000;
// Without failures, nothing starts in a zone this long after the store has
// acknowledged its evacuation.
constexpr Millis kEvacuatedWithin{1000};
constexpr Millis kEvacuationCheck{1000};
// Until a cancel is in force everywhere: a cancel_ms of the platform, and the
// longest cut between processes with the time until their links are back.
constexpr Millis kCancelBound{3000 + 4000 + 1000};
constexpr Millis kCancelPatience{1000};
constexpr uint32_t kCancelRetries = 20;
// What an uncontrolled client waits for an answer before it sends its next.
constexpr Millis kCrowdPatience{300};
// The memory of the smallest machines in the deployments' sheets.
constexpr double kEntryMemoryMb = 120;
constexpr double kGuardMemoryMb = 128;
// One job in so many has a task that crashes its workers.
constexpr uint32_t kDeadlyOneIn = 30;

// Rolling restarts, beside the failures of the schedule.
struct RollingOptions {
  int rounds = 0;
  // One task in so many runs for 1 to 4 s, which outlasts every lease.
  uint32_t long_one_in = 8;
};

struct CallerOptions {
  int call_failures = 10;  // See HeldSoak::ScheduleCallFailures.
  // An entry notices at the latest so long after its caller that their
  // connection broke.
  Millis longest_unnoticed{800};
  // Whether callers submit a job again at once where a connection broke that
  // they had kept open, and not after kRetryDelay.
  bool retries_at_once = false;
  // Callers cancel one job in so many, and hand cancelled ones in again; 0 for
  // none.
  uint32_t cancel_one_in = 0;
  int crowd = 0;  // Clients that keep to no limits, beside the callers.
};

class HeldSoak {
 public:
  HeldSoak(HeldCluster* cluster, const qs::SoakOptions& options, int entries,
           const RollingOptions& rolling, const CallerOptions& caller_options)
      : cluster_(cluster),
        caller_options_(caller_options),
        options_(options),
        rolling_(rolling),
        entries_(entries),
        guards_(options.guards),
        random_(options.seed),
        rolling_random_(options.seed),
        call_random_(~options.seed),
        evacuation_random_(options.seed + 1),
        processes_(static_cast<size_t>(cluster->process_count())) {
    // Every other worker starts whatever it is told to.
    for (int i = 1; i < guards_; i += 2) {
      cluster_->worker(i).SetCapacityEnforced(false);
    }
  }

  void Run() {
    std::vector<std::thread> threads =
        qs::StartCallers(options_.callers, [this](int i) { Caller(i); });
    std::vector<std::thread> crowd = qs::StartCallers(
        caller_options_.crowd, [this](int i) { UncontrolledClient(i); });
    ScheduleRollingRestarts();
    RunFailures();
    stop_ = true;
    for (std::thread& thread : threads) thread.join();
    for (std::thread& thread : crowd) thread.join();
    CheckRecovery();
    CheckMemory();
    CheckCancelled();
    for (int i = 0; i < cluster_->process_count(); ++i) Stop(i, std::nullopt);
    WaitUntilSettled();
    // Nothing renews the leases of runs now, so that all of them end.
    qs::test::WaitUntil([&] { return cluster_->ledger().running() == 0; },
                        kLongestStop);
  }

  // Prints the verdict and returns whether every promise held.
  bool Judge() {
    qs::test::RunLedger& ledger = cluster_->ledger();
    violations_["one run of a task at a time"] = ledger.doubled();
    std::printf("%s", ledger.DoubledHistory().c_str());
    violations_["at most two starts after three crashes"] =
        ledger.started_after_crashes();
    violations_["no start over the announced capacity"] =
        ledger.over_capacity();
    std::printf("starts %d, crashes of runs %d, deadly jobs %d, given up %d",
                ledger.starts(), ledger.crashes(), deadly_jobs_.load(),
                given_up_.load());
    std::printf(", most memory %.0f MB, cancelled %zu, answers", most_memory_,
                cancels_.size());
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
  using Random = std::mt19937;

  void RecordViolation(const char* promise, const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    ++violations_[promise];
    std::printf("%s: %s, status %d\n%s", promise, id.c_str(), status,
                cluster_->ledger().HistoryOf(id).c_str());
  }

  // Submits one job after another over connections that it keeps open. A job
  // without an answer is submitted again to another entry, as the platform's
  // callers do.
  void Caller(int number) {
    Random random(options_.seed * 1000 + static_cast<uint32_t>(number));
    // Numbers of their own, so that a seed gives the same jobs without cancels.
    Random cancel_random(random() ^ options_.seed);
    random.seed(options_.seed * 1000 + static_cast<uint32_t>(number));
    HeldCaller caller(cluster_);
    caller.SetHasEmptySteps(number % 4 == 3);
    while (!stop_) {
      ReturnCancelled(&cancel_random);
      const std::string id = cluster_->NextId();
      const int tasks = 1 + static_cast<int>(random() % 4);
      const Millis run_time(random() % rolling_.long_one_in == 0
                                ? 1000 + random() % 3000
                                : 5 + random() % 300);
      std::optional<int> deadly;
      if (random() % kDeadlyOneIn == 0) {
        deadly = static_cast<int>(random() % static_cast<uint32_t>(tasks));
        ++deadly_jobs_;
      }
      std::thread canceller = StartCanceller(id, run_time, &cancel_random);
      int entry = static_cast<int>(random()) & 0xffff;
      bool is_refused_only = true;
      HeldCluster::Answer answer;
      std::optional<Instant> refused_at;
      for (int i = 0; i < kSubmissions; ++i) {
        if (i > 0) {
          if (IsFinal(answer.status)) break;
          if (refused_at && random() % kReturnsOneIn != 0) break;
          std::this_thread::sleep_for(RetryDelay(answer));
        }
        // Some callers time out early and close their connection.
        const bool leaves = random() % 12 == 0;
        const Millis caller_timeout =
            leaves ? Millis(20 + random() % 300) : kCallerTimeout;
        const Instant began = Clock::now();
        if (refused_at) NoteRefusal(id, *refused_at, began);
        refused_at.reset();
        answer = caller.HandIn(entry++ % entries_, id, tasks, run_time, "/q/",
                               caller_timeout, deadly);
        if (IsRefusal(answer.status)) {
          refused_at = Clock::now();
        } else if (answer.was_sent) {
          is_refused_only = false;
        }
        if (Clock::now() - began > caller_timeout + kCallerTimeoutSlack) {
          RecordViolation("callers are answered in time or cut off", id,
                          answer.status);
        }
      }
      if (canceller.joinable()) canceller.join();
      if (refused_at) NoteRefusal(id, *refused_at, Instant::max());
      CheckAnswer(id, tasks, answer, is_refused_only);
      std::this_thread::sleep_for(Millis(random() % 40));
    }
  }

  // Sends one odd request after another, on one connection for as long as the
  // entry keeps it open.
  void UncontrolledClient(int number) {
    Random random(options_.seed * 2000 + static_cast<uint32_t>(number));
    const int entry = number % entries_;
    std::unique_ptr<qs::test::RawConnection> connection;
    // Whether what comes next on the connection answers the next request.
    bool is_in_step = true;
    while (!stop_) {
      if (connection == nullptr) {
        is_in_step = true;
        connection = std::make_unique<qs::test::RawConnection>(
            cluster_->CallerAddressOf(entry));
      }
      const std::string id = cluster_->NextId();
      if (!connection->connected() ||
          !connection->Send(OddRequest(id, &random))) {
        connection.reset();
        std::this_thread::sleep_for(kReconnectDelay);
        continue;
      }
      const bool leaves = random() % 4 == 0;
      const bool has_data = connection->WaitForData(kCrowdPatience);
      std::string head;
      if (has_data && !leaves) {
        connection->SetPatience(kCrowdPatience);
        head = connection->ReadUntil("\r\n\r\n");
      }
      if (is_in_step && head.starts_with("HTTP/1.1 4")) {
        const std::lock_guard lock(mutex_);
        refused_.push_back(id);
        ++answers_[std::stoi(head.substr(head.find(' ') + 1))];
      }
      // The rest of an answer is left unread.
      is_in_step = false;
      if (head.empty() || random() % 2 == 0) connection.reset();
    }
  }

  static std::string OddRequest(const std::string& id, Random* random) {
    // What the stand-ins of workers take every task for.
    const std::string needs = R"(,"cpu":4000,"memMb":64)";
    const auto post = [&](const std::string& body) {
      return "POST /q/" + id +
             " HTTP/1.1\r\nHost: jobs.example\r\n"
             "Quetzalspindle-Deadline-Ms: 60000\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const auto job = [&](const std::string& phases) {
      return post(R"({"bestEffort":true,"spec":"5","phases":[)" + phases +
                  "]}");
    };
    const std::string many = std::to_string(500 + (*random)() % 12'000);
    switch ((*random)() % 8) {
      case 0:
        return job(R"({"count":)" + many + needs + R"(,"estimateMs":1})");
      case 1:
        return job(R"({"count":)" + many + needs + "}");
      case 2:
        return job(R"({"count":)" + many + needs + R"(,"constraints":"none"})");
      case 3:
        return job(R"({"count":200)" + needs + R"(},{"count":200,"after":[0])" +
                   needs + "}");
      case 4: {
        std::string steps = "{}";
        for (int i = 0; i < 40'000; ++i) steps += ",{}";
        return job(steps);
      }
      case 5:
        return "DELETE /q/" + id + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
      case 6:
        return "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
      default:  // Does not end.
        return post(std::string(20'000, 'x')).substr(0, 15'000);
    }
  }

  // Cancels the job at some time, at any entry, until one acknowledges it.
  std::thread StartCanceller(const std::string& id, Millis run_time,
                             Random* random) {
    const uint32_t one_in = caller_options_.cancel_one_in;
    if (one_in == 0 || (*random)() % one_in != 0) return {};
    const auto after = Millis((*random)() % (run_time.count() + 1));
    const uint32_t first = (*random)();
    {
      const std::lock_guard lock(mutex_);
      cancels_[id] = std::nullopt;
    }
    return std::thread([this, id, after, first] {
      std::this_thread::sleep_for(after);
      for (uint32_t i = 0; i < kCancelRetries; ++i) {
        const auto entry =
            static_cast<int>((first + i) % static_cast<uint32_t>(entries_));
        const int status = cluster_->Cancel(entry, id, kCancelPatience);
        if (status / 100 == 2 || status == 410) {
          const std::lock_guard lock(mutex_);
          cancels_[id] = Clock::now();
          return;
        }
        std::this_thread::sleep_for(kReconnectDelay);
      }
    });
  }

  // Hands a job in whose cancel is in force everywhere.
  void ReturnCancelled(Random* random) {
    std::string id;
    {
      const std::lock_guard lock(mutex_);
      const Instant latest = Clock::now() - kCancelBound;
      for (const auto& [cancelled, at] : cancels_) {
        if (at && *at < latest && (*random)() % 4 == 0) id = cancelled;
      }
    }
    if (id.empty()) return;
    cluster_->HandIn(static_cast<int>((*random)() % 0xffffU) % entries_, id, 1,
                     Millis(50), "/q/", kCancelPatience);
  }

  static bool IsRefusal(int status) {
    return status == 400 || status == 404 || status == 429 || status == 503;
  }

  // Callers submit the job again after any other answer, or none.
  static bool IsFinal(int status) {
    return status != 0 && status != 502 && status != 504 && !IsRefusal(status);
  }

  Millis RetryDelay(const HeldCluster::Answer& answer) const {
    if (!answer.was_sent) return kReconnectDelay;
    const bool is_at_once =
        caller_options_.retries_at_once && answer.is_broken && answer.was_kept;
    return is_at_once ? Millis(0) : kRetryDelay;
  }

  // A refusal that came at `at`; the job was handed in again at `again`.
  void NoteRefusal(const std::string& id, Instant at, Instant again) {
    const std::lock_guard lock(mutex_);
    refusals_.push_back({id, at, again});
  }

  bool IsCancelled(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return cancels_.contains(id);
  }

  void CheckAnswer(const std::string& id, int tasks,
                   const HeldCluster::Answer& answer, bool is_refused_only) {
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
    // used up its attempts, or that two workers crashed under it.
    if (status == 200 && !is_complete && !IsCancelled(id) &&
        ledger.failed_of(id) < kMaxAttempts) {
      ++given_up_;
      if (!ledger.HasCrashedTwice(id)) {
        RecordViolation("failed when a task failed too often", id, status);
      }
    }
    // If every submission that reached an entry was refused, none of the job's
    // tasks ran or will run. CheckRecovery() verifies this at the end.
    if (IsRefusal(status) && is_refused_only) {
      const std::lock_guard lock(mutex_);
      refused_.push_back(id);
    }
  }

  using Failure = void (HeldSoak::*)();
  struct Row {
    const char* name;
    Failure failure;
  };

  // Starts the failures of the schedule at random intervals. Each of them
  // schedules its own end. Everything is drawn here, and nothing by what runs
  // later, so that a seed always gives the same failures.
  void RunFailures() {
    static constexpr std::array kRows = {
        Row{"kill", &HeldSoak::KillSome},
        Row{"pause", &HeldSoak::PauseSome},
        Row{"stop", &HeldSoak::StopSome},
        Row{"reload", &HeldSoak::ReloadSome},
        Row{"store_down", &HeldSoak::StoreDown},
        Row{"store_history", &HeldSoak::StoreHistory},
        Row{"store_link", &HeldSoak::StoreLink},
        Row{"link_cut", &HeldSoak::CutLink},
        Row{"host_cut", &HeldSoak::CutHosts},
        Row{"host_cut", &HeldSoak::CutHosts},
        Row{"worker_link", &HeldSoak::WorkerLink},
        Row{"worker_link", &HeldSoak::WorkerLink},
        Row{"worker_refuses", &HeldSoak::WorkerRefuses},
        Row{"worker_crash", &HeldSoak::WorkerCrash},
        Row{"worker_leaves", &HeldSoak::WorkerLeaves},
        Row{"worker_late", &HeldSoak::WorkersLate},
        Row{"worker_late", &HeldSoak::WorkersLate},
        Row{"worker_slow", &HeldSoak::WorkerSlow},
        Row{"slow_late_cut", &HeldSoak::SlowLateCut},
        Row{"worker_fails", &HeldSoak::WorkerFails},
        Row{"worker_drains", &HeldSoak::WorkerDrains},
        Row{"configuration", &HeldSoak::ChangeConfiguration},
        Row{"worker_capacity", &HeldSoak::WorkerCapacity},
    };
    ScheduleCallFailures();
    ScheduleEvacuations();
    for (int i = 0; i < options_.failures; ++i) {
      const Row& row = kRows.at(random_() % kRows.size());
      ++injected_[row.name];
      (this->*row.failure)();
      WaitFor(Draw(30, 700));
    }
    WaitUntilSettled();
  }

  // Failures of callers' connections and of calls to workers, at random times
  // beside the others. They are drawn from numbers of their own, so that the
  // others of a seed do not depend on them.
  void ScheduleCallFailures() {
    static constexpr std::array kRows = {
        Row{"caller_break", &HeldSoak::BreakCallers},
        Row{"caller_break", &HeldSoak::BreakCallers},
        Row{"caller_link", &HeldSoak::CallerLink},
        Row{"host_reset", &HeldSoak::ResetHosts},
        Row{"calls_fail", &HeldSoak::CallsFail},
        Row{"calls_fail", &HeldSoak::CallsFail},
        Row{"calls_fail", &HeldSoak::CallsFail},
        Row{"workers_fail", &HeldSoak::WorkersFail},
    };
    std::swap(random_, call_random_);
    const int end = kFailureInterval *
                    std::max(options_.failures, caller_options_.call_failures);
    for (int i = 0; i < caller_options_.call_failures; ++i) {
      const Row& row = kRows.at(random_() % kRows.size());
      After(Draw(0, end), [this, &row] {
        ++injected_[row.name];
        std::swap(random_, call_random_);
        (this->*row.failure)();
        std::swap(random_, call_random_);
      });
    }
    std::swap(random_, call_random_);
  }

  // At random times, drawn apart like the failures of calls.
  void ScheduleEvacuations() {
    std::swap(random_, evacuation_random_);
    const int end = kFailureInterval * std::max(options_.failures, 1);
    for (int i = 0; i < kEvacuations; ++i) {
      const std::string key =
          "op/evacuate/" + cluster_->ZoneOf(DrawUpTo(guards_));
      const Millis begin = Draw(0, end);
      After(begin, [this, key] {
        ++injected_["evacuation"];
        cluster_->kv().Write(key, "");
      });
      After(begin + Draw(100, kLongestEvacuation),
            [this, key] { cluster_->kv().Delete(key); });
    }
    std::swap(random_, evacuation_random_);
  }

  int StartsInZone(const std::string& zone) {
    int starts = 0;
    for (int i = 0; i < guards_; ++i) {
      if (cluster_->ZoneOf(i) == zone) starts += cluster_->worker(i).starts();
    }
    return starts;
  }

  // Without failures: nothing starts in an evacuated zone, and once it is taken
  // back the jobs of every entry are served.
  void CheckEvacuation() {
    const std::string zone = cluster_->ZoneOf(0);
    cluster_->kv().Write("op/evacuate/" + zone, "");
    std::this_thread::sleep_for(kEvacuatedWithin);
    const int before = StartsInZone(zone);
    const Instant end = Clock::now() + kEvacuationCheck;
    for (int i = 0; Clock::now() < end; ++i) {
      cluster_->HandIn(i % entries_, cluster_->NextId(), 4, Millis(5));
    }
    const int after = StartsInZone(zone);
    if (after != before) {
      RecordViolation("nothing starts in an evacuated zone", zone,
                      after - before);
    }
    cluster_->kv().Delete("op/evacuate/" + zone);
  }

  // Until all failures have ended and each process runs or stays down.
  void WaitUntilSettled() {
    const auto is_stopping = [](const ProcessState& process) {
      return process.stops_by.has_value();
    };
    while (!scheduled_.empty() ||
           std::any_of(processes_.begin(), processes_.end(), is_stopping)) {
      WaitFor(kTick);
    }
  }

  // Runs what is scheduled and watches the processes for so long.
  void WaitFor(Millis duration) {
    const Instant end = Clock::now() + duration;
    do {
      while (!scheduled_.empty() && scheduled_.begin()->first <= Clock::now()) {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
      for (int i = 0; i < cluster_->process_count(); ++i) Watch(i);
      std::this_thread::sleep_for(kTick);
    } while (Clock::now() < end);
  }

  void After(Millis delay, std::function<void()> action) {
    scheduled_.emplace(Clock::now() + delay, std::move(action));
  }
  Millis Draw(int from, int to) {
    return Millis(
        from + static_cast<int>(random_() % static_cast<uint32_t>(to - from)));
  }
  int DrawUpTo(int count) {
    return static_cast<int>(random_() % static_cast<uint32_t>(count));
  }
  // Two of five cuts are about as long as a home's lease.
  Millis DrawCut() {
    return DrawUpTo(5) < 2 ? Draw(600, 800) : Draw(600, 4000);
  }
  int DrawProcess() { return DrawUpTo(cluster_->process_count()); }
  // An entry or a guard at even odds, however many there are of each.
  int DrawRole() {
    return DrawUpTo(2) == 0 ? DrawUpTo(entries_) : entries_ + DrawUpTo(guards_);
  }
  Mode DrawMode() {
    static constexpr std::array kModes = {
        Mode::kDelay, Mode::kMute, Mode::kDeaf, Mode::kSilent, Mode::kReset};
    return kModes.at(random_() % kModes.size());
  }

  // Processes.

  struct ProcessState {
    Instant started = Clock::now();
    bool is_down = false;  // On purpose, until it is started again.
    bool is_paused = false;
    std::optional<Instant> stops_by;  // Was told to stop.
    std::optional<Millis> downtime;   // Until it is started again after that.
  };
  ProcessState& state(int i) { return processes_.at(static_cast<size_t>(i)); }

  void Start(int i) {
    cluster_->StartProcess(i);
    cluster_->link_proxy(i).SetListening(true);
    if (i < entries_) cluster_->caller_proxy(i).SetListening(true);
    state(i) = ProcessState();
  }
  void BringDown(int i, std::optional<Millis> downtime) {
    // Where no process listens, the machine refuses connections.
    cluster_->link_proxy(i).SetListening(false);
    if (i < entries_) cluster_->caller_proxy(i).SetListening(false);
    state(i).is_down = true;
    state(i).stops_by.reset();
    if (downtime) After(*downtime, [this, i] { Start(i); });
  }
  void Kill(int i, Millis downtime) {
    if (state(i).is_down) return;
    cluster_->process(i).Kill();
    BringDown(i, downtime);
  }
  // Without a `downtime` it is not started again.
  void Stop(int i, std::optional<Millis> downtime) {
    if (state(i).is_down || state(i).stops_by) return;
    cluster_->process(i).Signal(SIGTERM);
    state(i).stops_by = Clock::now() + kLongestStop;
    state(i).downtime = downtime;
  }
  void Signal(int i, int signal) {
    if (!state(i).is_down) cluster_->process(i).Signal(signal);
  }
  void Pause(int i) {
    Signal(i, SIGSTOP);
    state(i).is_paused = true;
  }
  void Resume(int i) {
    Signal(i, SIGCONT);
    state(i).is_paused = false;
    if (state(i).stops_by) state(i).stops_by = Clock::now() + kLongestStop;
  }

  // What each thread of the process does, a line each.
  static std::string ThreadsOf(pid_t pid) {
    std::string text;
    std::error_code error;
    for (const auto& thread : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(pid) + "/task", error)) {
      for (const char* file : {"stat", "wchan", "syscall"}) {
        std::ifstream stream(thread.path() / file);
        std::string line;
        std::getline(stream, line);
        text += line + " ";
      }
      text += "\n";
    }
    return text;
  }

  void Watch(int i) {
    ProcessState& seen = state(i);
    if (seen.is_down) return;
    if (cluster_->process(i).running()) {
      if (!seen.stops_by || seen.is_paused || Clock::now() < *seen.stops_by) {
        return;
      }
      RecordViolation("a planned stop ends in its grace time", Name(i), -2);
      std::printf("%s", ThreadsOf(cluster_->process(i).pid()).c_str());
      cluster_->process(i).Kill();
      return BringDown(i, seen.downtime);
    }
    const bool was_told = seen.stops_by.has_value();
    const int code = cluster_->process(i).Wait(Millis(0));
    const bool is_old = Clock::now() - seen.started > kSignalsHandled;
    if (!was_told && is_old) {
      RecordViolation("a process ends only when told to", Name(i), code);
    }
    if (was_told && code < 0 && is_old) {
      RecordViolation("a planned stop ends in its grace time", Name(i), code);
    }
    BringDown(i, was_told ? seen.downtime : Millis(0));
  }
  std::string Name(int i) const {
    return i < entries_ ? "entry" + std::to_string(i)
                        : "guard" + std::to_string(i - entries_);
  }

  // Each of these acts on one process, often several times in a row.

  void KillSome() {
    const int i = DrawRole();
    const int times = 1 + DrawUpTo(3);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      const Millis downtime = Draw(0, 1500);
      After(at, [this, i, downtime] { Kill(i, downtime); });
      at += downtime + Draw(50, 1200);
    }
  }
  void PauseSome() {
    const int i = DrawRole();
    const bool is_long = DrawUpTo(2) == 0;
    const int times = is_long ? 1 : 1 + DrawUpTo(4);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      const Millis length = is_long ? DrawCut() : Draw(30, 900);
      After(at, [this, i] { Pause(i); });
      After(at + length, [this, i] { Resume(i); });
      at += length + Draw(20, 500);
    }
  }
  // A rolling stop of some processes, with signals while they stop.
  void StopSome() {
    const int times = 1 + DrawUpTo(3);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      const int i = DrawRole();
      const Millis downtime = Draw(0, 1500);
      After(at, [this, i, downtime] { Stop(i, downtime); });
      if (DrawUpTo(4) == 0) {
        After(at + Draw(20, 1500), [this, i, downtime] { Kill(i, downtime); });
      }
      at += Draw(50, 1500);
    }
  }
  void ReloadSome() {
    const int times = 1 + DrawUpTo(5);
    for (int n = 0; n < times; ++n) {
      const int i = DrawProcess();
      After(Draw(0, 1000), [this, i] {
        if (Clock::now() - state(i).started > kSignalsHandled) {
          Signal(i, SIGHUP);
        }
      });
    }
  }

  // Links between processes.

  // Between an entry and a guard.
  void CutLink() {
    const int entry = DrawUpTo(entries_);
    const int guard = entries_ + DrawUpTo(guards_);
    const Mode mode = DrawMode();
    cluster_->SetLink(entry, guard, mode);
    After(DrawCut(), [this, entry, guard] {
      cluster_->SetLink(entry, guard, Mode::kPass);
    });
  }
  // Between one process, or each at some odds, and all others.
  void CutHosts() {
    const Mode mode = DrawMode();
    const Millis length = DrawCut();
    const int one = DrawRole();
    if (DrawUpTo(2) == 0) return CutGuards(mode, length);
    CutHost(one, mode);
    After(length, [this, one] { CutHost(one, Mode::kPass); });
  }
  // Each guard at even odds.
  void CutGuards(Mode mode, Millis length) {
    for (int i = entries_; i < cluster_->process_count(); ++i) {
      if (DrawUpTo(2) == 0) continue;
      CutHost(i, mode);
      After(length, [this, i] { CutHost(i, Mode::kPass); });
    }
  }
  // Runs outlast the cut, and the stops that it calls for are late.
  void SlowLateCut() {
    constexpr Millis kLength{4000};
    constexpr double kShare = 0.7;
    for (int i = 0; i < guards_; ++i) {
      FakeWorker& worker = cluster_->worker(i);
      worker.SetSlowness(6);
      worker.SetLate({{kShare, kShare, kShare}, kLength});
      After(kLength, [&worker] {
        worker.SetSlowness(1);
        worker.SetLate({});
      });
    }
    CutGuards(Mode::kSilent, DrawCut());
  }
  void CutHost(int i, Mode mode) {
    for (int other = 0; other < cluster_->process_count(); ++other) {
      if (other != i) cluster_->SetLink(other, i, mode);
    }
  }

  // Connections of callers. Each of these acts on one entry, or at even odds on
  // each.

  void ForSomeEntries(const std::function<void(int)>& action) {
    const bool is_one = DrawUpTo(2) == 0;
    const int one = DrawUpTo(entries_);
    for (int i = 0; i < entries_; ++i) {
      if (is_one ? i == one : DrawUpTo(2) == 0) action(i);
    }
  }
  // Open connections break. One end or both notice it at once.
  void BreakCallers() {
    static constexpr std::array kNotices = {FaultProxy::Notices::kBoth,
                                            FaultProxy::Notices::kClient,
                                            FaultProxy::Notices::kServer};
    const int times = 1 + DrawUpTo(4);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      const auto notices = kNotices.at(random_() % kNotices.size());
      const bool is_reset = DrawUpTo(2) == 0;
      const Millis unnoticed =
          notices == FaultProxy::Notices::kClient
              ? Draw(1, static_cast<int>(
                            caller_options_.longest_unnoticed.count()))
              : Draw(1, 4000);
      ForSomeEntries([&](int i) {
        After(at, [this, i, notices, is_reset, unnoticed] {
          cluster_->caller_proxy(i).BreakConnections(notices, is_reset,
                                                     unnoticed);
        });
      });
      at += Draw(20, 900);
    }
  }
  // All connections of a process, or of each at some odds, to callers and to
  // other processes are reset.
  void ResetHosts() {
    const int times = 1 + DrawUpTo(4);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      const bool is_one = DrawUpTo(2) == 0;
      const int one = DrawRole();
      for (int i = 0; i < cluster_->process_count(); ++i) {
        if (is_one ? i != one : DrawUpTo(4) > 0) continue;
        After(at, [this, i] { ResetHost(i); });
      }
      at += Draw(20, 900);
    }
  }
  void ResetHost(int i) {
    CutHost(i, Mode::kReset);
    if (i < entries_) {
      cluster_->caller_proxy(i).BreakConnections(FaultProxy::Notices::kBoth,
                                                 true, Millis(0));
    }
    After(kTick, [this, i] { CutHost(i, Mode::kPass); });
  }
  void CallerLink() {
    const Mode mode = DrawMode();
    // The end of a caller's connection does not pass meanwhile.
    const bool hides_end = mode == Mode::kDeaf || mode == Mode::kSilent;
    const Millis length =
        hides_end
            ? Draw(1,
                   static_cast<int>(caller_options_.longest_unnoticed.count()))
            : DrawCut();
    ForSomeEntries([&](int i) {
      cluster_->caller_proxy(i).SetMode(mode);
      After(length,
            [this, i] { cluster_->caller_proxy(i).SetMode(Mode::kPass); });
    });
  }

  // The store.

  void StoreDown() {
    cluster_->kv().SetDown(true);
    if (DrawUpTo(2) == 0) cluster_->kv().EndLeases();
    After(DrawCut(), [this] { cluster_->kv().SetDown(false); });
  }
  void StoreHistory() {
    cluster_->kv().Compact();
    if (DrawUpTo(2) == 0) cluster_->kv().LoseNextReply();
  }
  void StoreLink() {
    cluster_->store_proxy().SetMode(DrawMode());
    After(DrawCut(), [this] { cluster_->store_proxy().SetMode(Mode::kPass); });
  }
  void ChangeConfiguration() {
    const int times = 1 + DrawUpTo(4);
    for (int n = 0; n < times; ++n) {
      After(Draw(0, 800), [this] {
        ++version_;
        cluster_->WriteCatalog(version_, version_ % 2 == 0);
      });
    }
  }

  // Workers, which run on.

  void WorkerLink() {
    const int i = DrawUpTo(guards_);
    cluster_->worker_proxy(i).SetMode(DrawMode());
    After(DrawCut(),
          [this, i] { cluster_->worker_proxy(i).SetMode(Mode::kPass); });
  }
  // New connections are refused. Open ones are reset or stay.
  void WorkerRefuses() {
    const int i = DrawUpTo(guards_);
    FaultProxy& proxy = cluster_->worker_proxy(i);
    proxy.SetListening(false);
    if (DrawUpTo(3) > 0) {
      proxy.SetMode(Mode::kReset);
      After(kTick, [&proxy] { proxy.SetMode(Mode::kPass); });
    }
    After(DrawUpTo(2) == 0 ? Draw(10, 300) : DrawCut(),
          [&proxy] { proxy.SetListening(true); });
  }
  // The worker starts again under its old id and address.
  void WorkerCrash() { TakeDown(DrawUpTo(guards_), Draw(100, 1500)); }
  // It says so before, and ends what runs too long.
  void WorkerLeaves() {
    const int i = DrawUpTo(guards_);
    const Millis grace = Draw(300, 1500);
    const Millis downtime = Draw(100, 1500);
    cluster_->worker(i).SetDraining(true);
    After(grace, [this, i, downtime] { TakeDown(i, downtime); });
    After(grace + downtime,
          [this, i] { cluster_->worker(i).SetDraining(false); });
  }
  void TakeDown(int i, Millis downtime) {
    FaultProxy& proxy = cluster_->worker_proxy(i);
    cluster_->worker(i).Crash();
    proxy.SetListening(false);
    proxy.SetMode(Mode::kReset);
    After(downtime, [this, i, &proxy] {
      proxy.SetMode(Mode::kPass);
      proxy.SetListening(true);
      cluster_->worker(i).Restart();
    });
  }
  // Calls get no answer and are carried out late, at many workers or one.
  void WorkersLate() {
    const auto share = [this] { return DrawUpTo(4) * 0.3; };
    const bool is_one = DrawUpTo(2) == 0;
    const int one = DrawUpTo(guards_);
    for (int i = 0; i < guards_; ++i) {
      const qs::test::LateCalls late{{share(), share(), share()},
                                     Draw(100, 4000)};
      const Millis length = Draw(500, 5000);
      if (is_one && i != one) continue;
      cluster_->worker(i).SetLate(late);
      After(length, [this, i] { cluster_->worker(i).SetLate({}); });
    }
  }
  // Some calls fail, of one kind or of all, several times in a row and each at
  // one worker or, at some odds, at each.
  void CallsFail() {
    const int times = 1 + DrawUpTo(3);
    Millis at(0);
    for (int n = 0; n < times; ++n) {
      qs::test::FailingCalls calls;
      calls.fault = static_cast<qs::test::CallFault>(
          1 + DrawUpTo(qs::test::kCallFaults - 1));
      const double share = 0.25 * (1 + DrawUpTo(4));
      const int kind = DrawUpTo(4);  // All of them from 3 on.
      if (kind == 0 || kind == 3) calls.starts = share;
      if (kind == 1 || kind == 3) calls.stops = share;
      if (kind == 2 || kind == 3) calls.polls = share;
      const Millis length = Draw(50, 3000);
      const bool is_one = DrawUpTo(2) == 0;
      const int one = DrawUpTo(guards_);
      for (int i = 0; i < guards_; ++i) {
        if (is_one ? i != one : DrawUpTo(3) == 0) continue;
        After(at, [this, i, calls, length] {
          const int number = cluster_->worker(i).BeginFailing(calls);
          After(length,
                [this, i, number] { cluster_->worker(i).EndFailing(number); });
        });
      }
      at += Draw(20, 1500);
    }
  }
  // Runs end as failed, at most workers.
  void WorkersFail() {
    for (int i = 0; i < guards_; ++i) {
      if (DrawUpTo(4) == 0) continue;
      FakeWorker& worker = cluster_->worker(i);
      worker.SetFailing(true);
      After(Draw(100, 1500), [&worker] { worker.SetFailing(false); });
    }
  }
  void WorkerSlow() {
    FakeWorker& worker = cluster_->worker(DrawUpTo(guards_));
    worker.SetSlowness(2 + DrawUpTo(7));
    After(Draw(500, 5000), [&worker] { worker.SetSlowness(1); });
  }
  void WorkerFails() {
    FakeWorker& worker = cluster_->worker(DrawUpTo(guards_));
    worker.SetFailing(true);
    After(Draw(100, 3000), [&worker] { worker.SetFailing(false); });
  }
  void WorkerDrains() {
    FakeWorker& worker = cluster_->worker(DrawUpTo(guards_));
    worker.SetDraining(true);
    After(Draw(100, 3000), [&worker] { worker.SetDraining(false); });
  }

  // It shrinks, also to nothing, and grows again.
  void WorkerCapacity() {
    FakeWorker& worker = cluster_->worker(DrawUpTo(guards_));
    const int steps = 1 + DrawUpTo(3);
    Millis at(0);
    for (int i = 0; i < steps; ++i) {
      const int64_t cpu = int64_t{4000} * DrawUpTo(4);
      After(at, [&worker, cpu] { worker.SetCapacity(cpu); });
      at += Draw(300, 3000);
    }
    // Long enough that what was announced has to count.
    if (DrawUpTo(2) == 0) at += Draw(3000, 6000);
    After(at, [&worker] { worker.SetCapacity(HeldCluster::kWorkerCpu); });
  }

  // Rolling restarts. They have random numbers of their own, so that a seed
  // gives the same failures with and without them.

  void ScheduleRollingRestarts() {
    constexpr Millis kRound{6000};
    for (int round = 0; round < rolling_.rounds; ++round) {
      const Millis start = kRound * round;
      RollProcesses(start);
      ScheduleConfigurationStorm(start + DrawRolling(0, 1000));
    }
  }
  // Restarts many processes in turn, also faster than they stop.
  void RollProcesses(Millis start) {
    std::vector<int> order(processes_.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), rolling_random_);
    const auto longest_step = static_cast<int>(DrawRolling(20, 220).count());
    Millis at = start;
    for (const int i : order) {
      const Millis downtime = DrawRolling(0, 1500);
      switch (DrawRolling(0, 4).count()) {
        case 0:
          After(at, [this, i, downtime] { Kill(i, downtime); });
          break;
        case 1:
          After(at + DrawRolling(20, 1500),
                [this, i, downtime] { Kill(i, downtime); });
          [[fallthrough]];
        default:
          After(at, [this, i, downtime] { Stop(i, downtime); });
      }
      at += DrawRolling(10, longest_step);
    }
  }
  void ScheduleConfigurationStorm(Millis start) {
    constexpr Millis kInterval{330};
    constexpr Millis kLength{4000};
    for (Millis at(0); at < kLength; at += kInterval) {
      After(start + at, [this] {
        ++version_;
        cluster_->WriteCatalog(version_, version_ % 2 == 0);
      });
    }
  }
  Millis DrawRolling(int from, int to) {
    return Millis(from + static_cast<int>(rolling_random_() %
                                          static_cast<uint32_t>(to - from)));
  }

  void CheckRecovery() {
    CheckServed();
    CheckDeadlyTask(static_cast<int>(options_.seed) % entries_);
    CheckEvacuation();
    CheckServed();
    for (const std::string& id : refused_) {
      if (cluster_->ledger().starts_of(id) > 0) {
        RecordViolation("a refusal says that nothing ran", id, 0);
      }
    }
    for (const Refusal& refusal : refusals_) {
      if (cluster_->ledger().HasStartedBetween(refusal.id, refusal.at,
                                               refusal.again)) {
        RecordViolation("nothing starts after a refusal", refusal.id, 0);
      }
    }
  }

  void CheckMemory() {
    for (int i = 0; i < cluster_->process_count(); ++i) {
      const double peak = qs::UsageOf(cluster_->process(i).pid()).peak_mb;
      const bool is_within =
          peak <= (i < entries_ ? kEntryMemoryMb : kGuardMemoryMb);
      if (!is_within) RecordViolation("memory of the machine", Name(i), 0);
      most_memory_ = std::max(most_memory_, peak);
    }
  }

  void CheckServed() {
    for (int i = 0; i < entries_; ++i) {
      const bool recovered = qs::test::WaitUntil(
          [&] {
            return cluster_->HandIn(i, cluster_->NextId(), 1, Millis(1))
                       .status == 200;
          },
          kRecovery);
      if (!recovered) {
        RecordViolation("jobs are served once failures stop", Name(i), 0);
      }
    }
  }

  void CheckCancelled() {
    for (const auto& [id, at] : cancels_) {
      if (at && cluster_->ledger().HasStartedBetween(id, *at + kCancelBound,
                                                     Instant::max())) {
        RecordViolation("nothing of a cancelled job starts", id, 0);
      }
    }
  }

  // One that runs while nothing fails crashes two workers and no more, and its
  // caller is told as soon as the second crash is known.
  void CheckDeadlyTask(int entry) {
    const std::string id = cluster_->NextId();
    const HeldCluster::Answer answer = cluster_->HandIn(
        entry, id, 1, Millis(300), "/q/", kPatienceForCrashes, 0);
    qs::test::RunLedger& ledger = cluster_->ledger();
    const bool is_given_up = answer.status == 200 &&
                             answer.body.find("completed") == std::string::npos;
    const bool is_at_once = qs::Elapsed(ledger.last_crash_of(id),
                                        Clock::now()) <= kSecondCrashIsTold;
    if (!is_given_up || !is_at_once || !ledger.HasCrashedTwice(id) ||
        ledger.starts_of(id) != 2) {
      RecordViolation("a deadly task is given up after two crashes", id,
                      answer.status);
    }
  }

  struct Refusal {
    std::string id;
    Instant at;
    Instant again;
  };

  HeldCluster* cluster_;
  CallerOptions caller_options_;
  qs::SoakOptions options_;
  RollingOptions rolling_;
  int entries_;
  int guards_;
  Random random_;
  Random rolling_random_;
  Random call_random_;  // See ScheduleCallFailures.
  Random evacuation_random_;
  std::vector<ProcessState> processes_;
  std::multimap<Instant, std::function<void()>> scheduled_;
  uint64_t version_ = 2;
  std::atomic<bool> stop_{false};
  std::atomic<int> deadly_jobs_{0};
  std::atomic<int> given_up_{0};  // Jobs, for crashes.
  std::map<std::string, int> injected_;
  std::mutex mutex_;
  std::map<int, int> answers_;
  std::vector<std::string> refused_;
  std::vector<Refusal> refusals_;
  // Cancelled jobs, and when that was acknowledged.
  std::map<std::string, std::optional<Instant>> cancels_;
  std::map<std::string, int> violations_ = {
      {"one run of a task at a time", 0},
      {"complete when every task is done", 0},
      {"failed when a task failed too often", 0},
      {"a refusal says that nothing ran", 0},
      {"nothing starts after a refusal", 0},
      {"nothing of a cancelled job starts", 0},
      {"at most two starts after three crashes", 0},
      {"a deadly task is given up after two crashes", 0},
      {"no start over the announced capacity", 0},
      {"callers are answered in time or cut off", 0},
      {"a process ends only when told to", 0},
      {"a planned stop ends in its grace time", 0},
      {"jobs are served once failures stop", 0},
      {"nothing starts in an evacuated zone", 0},
      {"memory of the machine", 0},
  };
  double most_memory_ = 0;  // At the end, of all processes.
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsheldsoak: callers of held jobs against a seeded schedule"};
  qs::SoakOptions options{4, 1, 20, 8};
  qs::AddSoakOptions(&app, &options, HeldCluster::kMaxGuards);
  qs::test::HeldClusterOptions cluster_options;
  app.add_option("--entries", cluster_options.entries)
      ->check(CLI::Range(1, HeldCluster::kMaxEntries));
  app.add_option("--daemon", cluster_options.daemon,
                 "the quetzalspindled to run, if not the one built here");
  app.add_option("--guard-links", cluster_options.guard_links,
                 "guards to which an entry keeps links")
      ->check(CLI::Range(1, HeldCluster::kMaxGuards));
  RollingOptions rolling;
  app.add_option("--rolling", rolling.rounds,
                 "rounds of 6 s of restarts of all processes in turn, beside "
                 "changes of the configuration in quick succession")
      ->check(CLI::Range(0, 1000));
  app.add_option("--long-one-in", rolling.long_one_in,
                 "one task in so many runs for 1 to 4 s")
      ->check(CLI::Range(1, 1000));
  CallerOptions caller_options;
  app.add_option("--call-failures", caller_options.call_failures,
                 "failures of callers' connections and of calls to workers")
      ->check(CLI::Range(0, 10'000));
  int longest_unnoticed =
      static_cast<int>(caller_options.longest_unnoticed.count());
  app.add_option("--unnoticed-ms", longest_unnoticed,
                 "how long an entry may not notice that a caller left")
      ->check(CLI::Range(2, 10'000));
  app.add_flag("--retry-at-once", caller_options.retries_at_once,
               "callers submit again at once if a kept connection broke");
  app.add_option("--cancel-one-in", caller_options.cancel_one_in,
                 "callers cancel one job in so many")
      ->check(CLI::Range(1, 1000));
  app.add_option("--crowd", caller_options.crowd,
                 "clients that keep to no limits, beside the callers")
      ->check(CLI::Range(0, 1000));
  CLI11_PARSE(app, argc, argv);
  caller_options.longest_unnoticed = Millis(longest_unnoticed);
  cluster_options.guards = options.guards;
  cluster_options.has_links = true;
  cluster_options.zones = std::min(options.guards, 2);
  HeldCluster cluster(cluster_options);
  std::printf("seed %u\n", options.seed);
  if (!cluster.WaitReady()) {
    std::printf("the processes did not become ready, logs: %s\n",
                cluster.KeepLogs().c_str());
    return 1;
  }
  HeldSoak soak(&cluster, options, cluster_options.entries, rolling,
                caller_options);
  soak.Run();
  return soak.Judge() ? 0 : 1;
}
