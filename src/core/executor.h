#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/breaker.h"
#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

class Observer;

struct ExecutorOptions {
  uint32_t queue_per_slot = 1;    // Waiting grants allowed per slot.
  Millis announcement_ttl{3000};  // Without a new one no new work starts.
  Millis home_grace{5000};  // Queued grants of a cut-off home are dropped.
  Millis record_retention{120'000};  // Its results are dropped.
  BreakerOptions breaker;
};

// What a backend server says of itself.
struct Announcement {
  Address address;
  std::vector<std::string> services;
  uint32_t slots = 0;
  uint32_t connections = 0;
  bool draining = false;
};

// Names a grant across homes.
struct GrantKey {
  Incarnation home;
  GrantNumber number = 0;
  auto operator<=>(const GrantKey&) const = default;
};

// Make the one attempt of a grant on the backend server and report the end to
// Executor::OnTaskEnded.
struct StartTask {
  GrantKey key;
  Address backend;
  Millis remaining{0};
  std::string service;
  std::string payload;
};

struct SendReplies {
  Incarnation home;
  GrantReplies replies;
};

using ExecutorAction = std::variant<StartTask, SendReplies>;

// Decides which grants run on this guard's own backend server. Each grant
// number of a home starts at most once here, and an answer "not run" is first
// made true by a record that refuses the number from then on. No I/O, no
// threads: events in, actions out through TakeActions.
class Executor {
 public:
  // `observer` must outlive the executor.
  Executor(const ExecutorOptions& options, Incarnation self,
           Observer* observer);

  void OnGrants(Incarnation home, GrantBatch batch, Instant now);
  void OnAsk(Incarnation home, const AskBatch& ask, Instant now);
  void OnTaskEnded(const GrantKey& key, TaskResult result, Instant now);
  // The connection to the home broke, or the home is silent. Its grants live on
  // for the grace time, and a stop no longer waits for its acknowledgement. A
  // repeated call changes nothing.
  void OnHomeCutOff(Incarnation home, Instant now);
  // Another incarnation runs at the home's address.
  void OnHomeGone(Incarnation home, Instant now);
  void OnAnnouncement(const Announcement& announcement, Instant now);
  void OnBackendGone(Instant now);
  void SetDraining(bool draining, Instant now);
  // Gives every queued grant back. From now on only the home of this process
  // gets tasks started here.
  void Stop(Instant now);
  void OnTimer(Instant now);

  std::vector<ExecutorAction> TakeActions();

  // The load as gossip reports it; `yours` is zero.
  Load load(Instant now) const;
  ServingState state(Instant now) const;
  const Announcement& announcement() const { return announcement_; }
  bool operator_draining() const { return draining_; }
  uint32_t running() const { return running_; }
  // Whether every result has been acknowledged by its home.
  bool AllAcknowledged() const;

 private:
  struct Record {
    GrantPhase phase = GrantPhase::kQueued;
    Instant received;
    Instant deadline;
    std::string service;
    std::string payload;
    TaskResult result;
  };

  // All that is known of the grants of one home incarnation.
  struct HomeState {
    GrantNumber watermark = 0;  // Below: closed at the home.
    GrantNumber dropped_below =
        0;                     // Below: records were dropped, outcome unknown.
    GrantNumber highest = 0;   // Highest number seen.
    uint32_t outstanding = 0;  // Queued and running.
    bool is_unreachable = false;
    Instant unreachable_since;
    std::map<GrantNumber, Record> records;
  };

  using Records = std::map<GrantNumber, Record>;

  void Accept(Incarnation home, HomeState* state, Grant grant, Instant now);
  void RaiseWatermark(HomeState* state, GrantNumber watermark);
  void ReplyKnownState(Incarnation home, const Records::value_type& entry);
  void End(Incarnation home, GrantNumber number, Record* record,
           TaskResult result);
  void ReturnQueued(HomeState* state, Incarnation home, Reason reason);
  void ReturnAllQueued(Reason reason);
  void DropRecords(HomeState* state, Incarnation home);
  void StartQueued(Instant now);
  bool StartNext(Instant now);
  Reason RefusalFor(Incarnation home, const Grant& grant, Instant now) const;
  ServingState backend_state(Instant now) const;
  void Reply(Incarnation home, GrantStatus status);
  void UpdateBreaker(const TaskResult& result, Instant now);
  bool OffersService(const std::string& service) const;

  ExecutorOptions options_;
  Incarnation self_;
  Observer* observer_;
  Breaker breaker_;
  Announcement announcement_;
  bool has_announcement_ = false;
  Instant announced_at_;
  bool draining_ = false;
  bool stopping_ = false;
  uint32_t running_ = 0;
  uint32_t queued_ = 0;
  std::deque<GrantKey> queue_;  // May name grants that were given back since.
  std::unordered_map<Incarnation, HomeState> homes_;
  std::map<Incarnation, std::vector<GrantStatus>> replies_;
  std::vector<ExecutorAction> actions_;
  Instant now_;
};

}  // namespace qs
