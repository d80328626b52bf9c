#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/executor.h"
#include "core/home.h"
#include "core/observer.h"

namespace qs::test {

// Connects one home to several executors through a simulated network. The test
// decides when each message arrives, whether it is lost or repeated, and when a
// process crashes. The simulated backend servers only record every start.
class CoreHarness {
 public:
  explicit CoreHarness(int executors);

  Instant now() const { return now_; }
  Home& home() { return *home_; }
  Executor& executor(int i) { return *executors_[Index(i)].core; }

  Incarnation IncarnationOf(int i) const {
    return executors_[Index(i)].incarnation;
  }

  // Callers.
  uint64_t Mint();
  void Submit(uint64_t sequence, const JobSpec& job);
  void Cancel(uint64_t sequence);
  // The answers that callers received for a submission, in order.
  const std::vector<JobAnswer>& answers(uint64_t sequence) {
    return answers_[sequence];
  }

  // The network between the home and an executor: "To" means messages to the
  // executor, "From" messages from it.
  size_t InFlightTo(int executor) const;
  size_t InFlightFrom(int executor) const;
  // Delivers message `index`. With `keep` it also stays in flight and can be
  // delivered again.
  void DeliverTo(int executor, size_t index, bool keep);
  void DeliverFrom(int executor, size_t index, bool keep);
  void LoseTo(int executor, size_t index);
  void LoseFrom(int executor, size_t index);
  // Breaks the connection. Messages in flight are lost.
  void Disconnect(int executor);
  // Restores the connection.
  void Reconnect(int executor);

  // Disconnects the executor and replaces it by a new incarnation without any
  // state. Its running tasks continue at the backend server, but their ends are
  // reported to nobody.
  void CrashExecutor(int executor);
  // Reports to the home that the previous incarnation terminated and another
  // runs, if the home does not know yet.
  void DetectCrash(int executor);

  // The number of tasks running at the backend server of an executor, and the
  // end of one of them.
  size_t Running(int executor) const;
  void EndTask(int executor, size_t index, TaskResult result);

  // Makes a task crash the backend server that runs it. EndTask then ends it by
  // the crash, with all tasks beside it.
  void MakeDeadly(const std::string& payload) { deadly_.insert(payload); }
  bool IsDeadly(const std::string& payload) const {
    return deadly_.contains(payload);
  }
  // The backend server of an executor crashes: all tasks that run there end as
  // disconnected. It comes back at once.
  void CrashBackend(int executor);
  // Announces a backend server with this many slots from now on.
  void SetSlots(int executor, uint32_t slots);
  void Announce(int executor);
  void Advance(Millis duration);
  // Reconnects all executors, then delivers all messages and ends all tasks as
  // done until no message is in flight and no job is running.
  void Settle();

  // The largest number of tasks that a start exceeded the slots by which its
  // backend server had announced last.
  size_t max_excess() const { return max_excess_; }
  // The payloads that were running at a backend server when it crashed, by
  // crash.
  const std::vector<std::set<std::string>>& crashes() const { return crashes_; }
  // How often each payload was started, by all executors together.
  const std::map<std::string, int>& starts() const { return starts_; }

 private:
  struct Node {
    Incarnation incarnation;
    Incarnation known_incarnation;  // As the home knows it.
    std::unique_ptr<Executor> core;
    bool is_connected = true;
    uint32_t slots = 2;
    std::vector<HomeAction> to_executor;  // SendGrants and SendAsk.
    std::vector<std::pair<Incarnation, GrantReplies>> to_home;
    std::vector<StartTask> running;
  };

  static size_t Index(int i) { return static_cast<size_t>(i); }
  Address AddressOf(int i) const;
  MemberRecord RecordOf(int i) const;
  void StartExecutor(int i);
  void RouteActions();
  void Route(HomeAction action);
  void Route(int executor, ExecutorAction action);

  Observer observer_;
  Instant now_;
  uint64_t next_incarnation_ = 100;
  uint64_t next_request_ = 1;
  Incarnation home_incarnation_{1};
  std::unique_ptr<Home> home_;
  std::vector<Node> executors_;
  std::map<uint64_t, uint64_t> requests_;  // Sequence of each request.
  std::map<uint64_t, std::vector<JobAnswer>> answers_;
  std::map<std::string, int> starts_;
  std::vector<std::set<std::string>> crashes_;
  std::set<std::string> deadly_;
  size_t max_excess_ = 0;
};

// A job whose tasks have the payloads "prefix-0", "prefix-1" and so on.
JobSpec MakeJob(const std::string& prefix, int tasks,
                OnFailure on_failure = OnFailure::kFinish);

}  // namespace qs::test
