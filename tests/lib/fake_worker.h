#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
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
  void Ended(const std::string& task, const std::string& run,
             const std::string& how);
  // Of the tasks of a job.
  int starts_of(const std::string& job);
  int done_of(const std::string& job);
  // The most failures of one task.
  int failed_of(const std::string& job);
  // What happened to the tasks of a job, a line each.
  std::string HistoryOf(const std::string& job);
  // Tasks that had two runs at a time.
  int doubled() const { return doubled_; }
  int starts() const { return starts_; }
  int running() const { return running_; }

 private:
  void Note(const std::string& task, const std::string& run,
            const std::string& what);

  std::mutex mutex_;
  std::map<std::string, int> open_;
  std::map<std::string, int> starts_by_job_;
  std::map<std::string, std::set<std::string>> done_by_job_;
  std::map<std::string, std::map<std::string, int>> failed_by_job_;
  std::map<std::string, std::string> history_by_job_;
  std::atomic<int> doubled_{0};
  std::atomic<int> starts_{0};
  std::atomic<int> running_{0};
};

// A stand-in for a worker of the platform. A run lasts as many milliseconds as
// its spec says, as long as its lease is renewed.
class FakeWorker {
 public:
  // Announces itself at `guard`, as reached at `announced`, where a proxy may
  // stand before it. `ledger` must outlive the worker.
  FakeWorker(std::string id, Address address, Address announced, Address guard,
             int64_t cpu, RunLedger* ledger);
  ~FakeWorker();

  void SetDraining(bool is_draining) { is_draining_ = is_draining; }
  void SetFailing(bool is_failing) { is_failing_ = is_failing; }
  int starts() const { return starts_; }

 private:
  using Key = std::pair<std::string, uint32_t>;  // Task and attempt.
  struct Run {
    Instant ends;
  };

  HttpResponse OnStart(const nlohmann::json& body);
  HttpResponse OnStop(const nlohmann::json& body);
  HttpResponse OnHold(const nlohmann::json& body);
  HttpResponse Answer(int status, nlohmann::json body) const;
  bool IsFenced(const nlohmann::json& body);
  void Extend(const nlohmann::json& body);
  // Ends what is over. With the lock held.
  void Settle();
  void End(const Key& key, const char* how);
  std::string RunName(const Key& key) const;
  int64_t ClockNow() const;
  void Announce();
  void Watch();
  void SendHeartbeat(HttpCaller* caller, uint64_t sequence);

  std::string id_;
  Address announced_;
  Address guard_;
  int64_t cpu_;
  RunLedger* ledger_;
  Instant born_ = Clock::now();
  int64_t born_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t fence_ = 0;
  int64_t lease_ = 0;
  uint64_t next_end_ = 1;
  std::map<Key, Run> running_;
  std::map<std::string, uint32_t> highest_;
  std::vector<nlohmann::json> ended_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_failing_{false};
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> starts_{0};
  std::unique_ptr<HttpServer> http_;
  std::thread announcer_;
  std::thread watcher_;
};

}  // namespace qs::test
