#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "quetzalspindle/address.h"
#include "standins/record.h"

namespace review {

struct MinionOptions {
  std::string id;
  qs::Address address;
  qs::Address guard;  // Where it sends its heartbeats.
  std::string service = "svc";
  int64_t cpu = 16'000;
  int64_t memory_mb = 65'536;
  std::vector<std::string> labels = {"a", "r1-1"};
  // Rejects what does not fit, as with `rejectsOverload`.
  bool rejects_overload = true;
  Millis heartbeat{1500};
};

// A start that a minion carried out, and its end.
struct TaskRun {
  std::string task;
  uint32_t attempt = 0;
  std::string spec;
  std::string minion;
  Instant began;
  Instant ended = Instant::max();
  std::string how;
};

// A stand-in for one minion, as the users' protocol describes it: starts,
// stops, holds, heartbeats, one lease for all that runs. The spec of a task
// begins with its run time in milliseconds.
class Minion {
 public:
  Minion(MinionOptions options, Record* record);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  // From the next heartbeat on, which is sent at once.
  void BeginDraining();
  // Withdraws itself and ends, with all that runs on it. Returns the number of
  // these runs.
  int Leave();
  // When a heartbeat that said `draining` got its 2xx.
  std::optional<Instant> drain_acknowledged_at();
  // Sends no heartbeat meanwhile.
  void PauseHeartbeats(bool is_paused) { is_paused_ = is_paused; }
  // The body of the next heartbeat.
  nlohmann::json NextHeartbeat();
  const std::string& id() const { return options_.id; }

  std::vector<TaskRun> runs();

 private:
  using Key = std::pair<std::string, uint32_t>;

  qs::HttpResponse OnCall(
      const qs::HttpRequest& request,
      qs::HttpResponse (Minion::*handler)(const nlohmann::json&));
  qs::HttpResponse OnStart(const nlohmann::json& body);
  qs::HttpResponse OnStop(const nlohmann::json& body);
  qs::HttpResponse OnHold(const nlohmann::json& body);
  qs::HttpResponse Answer(int status, nlohmann::json body) const;
  bool IsFenced(const nlohmann::json& body);
  void Extend(const nlohmann::json& body);
  // Ends what is over. With the lock held, as the next.
  void Settle();
  void End(const Key& key, const std::string& how, Instant ended);
  int64_t ClockNow() const;
  void SendHeartbeats();
  void Stop();

  const MinionOptions options_;
  Record* record_;
  const Instant born_ = Clock::now();
  const int64_t born_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t fence_ = 0;
  int64_t lease_ms_ = 0;  // On its clock.
  uint64_t next_end_ = 1;
  struct Running {
    Instant ends;
    int64_t cpu = 0;
    size_t index = 0;  // In `runs_`.
  };
  std::map<Key, Running> running_;
  std::map<std::string, uint32_t> highest_;
  std::vector<nlohmann::json> finished_;
  std::vector<TaskRun> runs_;
  uint64_t sequence_ = 0;
  bool is_draining_ = false;
  std::optional<Instant> drain_acknowledged_at_;
  std::atomic<bool> is_paused_{false};
  std::atomic<bool> is_stopping_{false};
  bool must_beat_ = false;
  std::unique_ptr<qs::HttpServer> http_;
  std::thread beater_;
  std::thread settler_;
};

}  // namespace review
