#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_server.h"
#include "quetzalspindle/time.h"

namespace qs {
class HttpCaller;
}

namespace qs::test {

// What all fake workers of a test started, and what they saw go wrong.
class RunLedger {
 public:
  // `run` names the task's attempt and the worker, for the history only.
  void Started(const std::string& task, const std::string& run);
  // `ended` is when the run was over, which may be noticed late.
  void Ended(const std::string& task, const std::string& run,
             const std::string& how, Instant ended);
  // The worker of the run crashed. `was_running` is false where its machine
  // could not know that the run was not there. `was_alone` is true if no other
  // run was there.
  void Crashed(const std::string& task, const std::string& run,
               bool was_running, bool was_alone);
  void StartedOverCapacity(const std::string& task, const std::string& run);
  // Whether a task of the job started after `from`, and before `until`.
  bool HasStartedBetween(const std::string& job, Instant from, Instant until);
  // Of the tasks of a job.
  int starts_of(const std::string& job);
  int done_of(const std::string& job);
  // The names of those that started, sorted.
  std::vector<std::string> StartedTasksOf(const std::string& job);
  // The most failures of one task.
  int failed_of(const std::string& job);
  // Whether two workers crashed under one task of the job, which was alone with
  // one of them.
  bool HasCrashedTwice(const std::string& job);
  // Tasks that were started more than twice after three workers had crashed
  // under them.
  int started_after_crashes();
  // When a worker crashed under a task of the job last.
  Instant last_crash_of(const std::string& job);
  int over_capacity() const { return over_capacity_; }
  int crashes() const { return crashes_; }
  // What happened to the tasks of a job, a line each.
  std::string HistoryOf(const std::string& job);
  // Pairs of runs of one task that were there at the same time.
  int doubled();
  // The history of each job that has such a pair.
  std::string DoubledHistory();
  int starts() const { return starts_; }
  int running() const { return running_; }

 private:
  struct Interval {
    std::string run;
    Instant began;
    Instant ended = Instant::max();
  };

  struct Crashes {
    int running = 0;
    int all = 0;
    int alone = 0;
    int starts_after_three = 0;
    Instant last;
  };

  static int CountOverlaps(const std::vector<Interval>& runs);
  void Note(const std::string& task, const std::string& run,
            const std::string& what);

  std::mutex mutex_;
  std::map<std::string, std::vector<Interval>> runs_by_task_;
  std::map<std::string, int> starts_by_job_;
  std::map<std::string, std::set<std::string>> done_by_job_;
  std::map<std::string, std::map<std::string, int>> failed_by_job_;
  std::map<std::string, std::map<std::string, Crashes>> crashes_by_job_;
  std::map<std::string, std::string> history_by_job_;
  std::atomic<int> starts_{0};
  std::atomic<int> running_{0};
  std::atomic<int> crashes_{0};  // Of runs.
  std::atomic<int> over_capacity_{0};
};

// A share of the calls of each kind.
struct CallShares {
  double starts = 0;
  double stops = 0;
  double polls = 0;
};

// Of the calls of each kind, the share that a worker leaves without an answer
// and carries out later.
struct LateCalls : CallShares {
  Millis longest{0};  // Until they are carried out.
};

// How a call to a worker fails.
enum class CallFault : uint8_t {
  kNone,
  kError,        // Not carried out, status 500.
  kShed,         // Not carried out, status 429.
  kBusy,         // Not carried out, status 503.
  kHang,         // Not carried out, no answer.
  kReset,        // Not carried out, the connection is reset.
  kLostAnswer,   // Carried out, no answer.
  kResetAnswer,  // Carried out, the connection is reset.
  kCutAnswer,    // Carried out, the connection is closed amid the answer.
};
inline constexpr int kCallFaults = 9;

struct FailingCalls : CallShares {
  CallFault fault = CallFault::kNone;
};

// A stand-in for a worker of the platform. A run lasts as many milliseconds as
// its spec says, as long as its lease is renewed. With a spec "300 deadly 2",
// the task with index 2 of its step crashes the worker soon after its start.
class FakeWorker {
 public:
  // Announces itself at `guard`, as reached at `announced`, where a proxy may
  // stand before it. `ledger` must outlive the worker.
  FakeWorker(std::string id, Address address, Address announced, Address guard,
             int64_t cpu, RunLedger* ledger);
  ~FakeWorker();

  void SetDraining(bool is_draining) { is_draining_ = is_draining; }
  void SetFailing(bool is_failing) { is_failing_ = is_failing; }
  void SetLate(const LateCalls& late);
  // Lets a share of the calls fail, beside those that fail already. Returns the
  // number by which it is ended. Where connections fail, a FaultProxy has to
  // stand before the worker.
  int BeginFailing(const FailingCalls& calls);
  void EndFailing(int number);
  // Announced with the next heartbeat. What runs goes on.
  void SetCapacity(int64_t cpu) { cpu_ = cpu; }
  // Whether it refuses what does not fit, as it does at first.
  void SetCapacityEnforced(bool is_enforced) {
    enforces_capacity_ = is_enforced;
  }
  // Called when a deadly task takes the worker down, and when it is back.
  void SetPowerHook(std::function<void(bool is_up)> hook);
  // Runs that start from now on take so many times as long.
  void SetSlowness(int factor) { slowness_ = factor; }
  // Ends all runs and forgets everything, as a process that dies. It answers
  // and announces nothing until Restart, under the same id and address. It is a
  // planned leave, and no crash of its tasks, if its machine knew of a drain.
  void Crash();
  void Restart();
  int starts() const { return starts_; }

 private:
  using Key = std::pair<std::string, uint32_t>;  // Task and attempt.
  struct Run {
    Instant ends;
    std::optional<Instant> crashes;  // When it takes the worker down.
  };

  using Handler = HttpResponse (FakeWorker::*)(const nlohmann::json&);

  HttpResponse OnCall(Handler handler, double CallShares::*share,
                      const HttpRequest& request);
  // Whether the call was put off.
  bool PutOff(Handler handler, double CallShares::*share,
              const nlohmann::json& body);
  CallFault DrawFault(double CallShares::*share, const nlohmann::json& body);
  // The machine may not know whether this task is there.
  void NoteUnanswered(const nlohmann::json& start);
  HttpResponse LeaveUnanswered() const;
  void CarryOutLateCalls();
  HttpResponse OnStart(const nlohmann::json& body);
  HttpResponse OnStop(const nlohmann::json& body);
  HttpResponse OnHold(const nlohmann::json& body);
  HttpResponse Answer(int status, nlohmann::json body) const;
  bool IsFenced(const nlohmann::json& body);
  void Extend(const nlohmann::json& body);
  // Ends what is over. With the lock held.
  void Settle();
  void End(const Key& key, const char* how, Instant ended);
  std::string RunName(const Key& key) const;
  int64_t ClockNow() const;
  // With the lock held.
  Millis DrawMillis(int64_t from, int64_t to);
  // The most that the machine may count on. With the lock held.
  int64_t AllowedCapacity() const;
  // Crashes if a deadly task is due, and comes back after that.
  void CrashWhenDue();
  void ComeBack();
  void Announce();
  void Watch();
  void SendHeartbeat(HttpCaller* caller, uint64_t sequence);

  const std::string name_;
  std::string id_;  // Of this incarnation.
  Address announced_;
  Address guard_;
  std::atomic<int64_t> cpu_;
  RunLedger* ledger_;
  std::atomic<Instant> born_ = Clock::now();
  std::atomic<int64_t> born_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t fence_ = 0;
  int64_t lease_ = 0;
  uint64_t next_end_ = 1;
  std::map<Key, Run> running_;
  std::map<std::string, uint32_t> highest_;
  std::vector<nlohmann::json> ended_;
  // Tasks whose start got no answer, until the latest time at which it may be
  // carried out.
  std::map<std::string, Instant> put_off_;
  // The capacities that the machine acknowledged, with the times.
  std::vector<std::pair<Instant, int64_t>> acknowledged_;
  std::optional<Instant> back_at_;  // After a crash by a deadly task.
  std::function<void(bool)> power_hook_;
  LateCalls late_;
  std::map<int, FailingCalls> failing_calls_;
  int next_failing_ = 1;
  std::mt19937 random_;
  std::multimap<Instant, std::function<void()>> late_calls_;
  std::atomic<int> slowness_{1};
  std::atomic<bool> enforces_capacity_{true};
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_drain_known_{false};  // To its machine.
  std::atomic<bool> is_failing_{false};
  std::atomic<bool> is_down_{false};
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> starts_{0};
  std::unique_ptr<HttpServer> http_;
  std::thread announcer_;
  std::thread watcher_;
};

}  // namespace qs::test
