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
  // Grants that may be queued for each slot of the backend server.
  uint32_t queue_per_slot = 1;
  // The backend server counts as absent, and gets no new work, when its last
  // announcement is older than this.
  Millis announcement_ttl{3000};
  // Queued grants of a home that has been unreachable for this time are
  // returned.
  Millis unreachable_home_timeout{5000};
  // All records of a home that has been unreachable for this time are dropped,
  // including results that it has not acknowledged.
  Millis record_retention{120'000};
  BreakerOptions breaker;
};

// The attributes that a backend server announces to its guard.
struct Announcement {
  Address address;
  std::vector<std::string> services;
  uint32_t slots = 0;
  uint32_t connections = 0;
  bool draining = false;
};

// Identifies a grant among those of all homes.
struct GrantKey {
  Incarnation home;
  GrantNumber number = 0;
  auto operator<=>(const GrantKey&) const = default;
};

// Action: run the task of a grant on the backend server, in a single attempt,
// and report its end to Executor::OnTaskEnded.
struct StartTask {
  GrantKey key;
  Address backend;
  Millis remaining{0};
  std::string service;
  std::string payload;
};

// Action: send the state of grants and the load to a home.
struct SendReplies {
  Incarnation home;
  GrantReplies replies;
};

using ExecutorAction = std::variant<StartTask, SendReplies>;

// Decides when the grants of all homes run on this guard's own backend server.
// Each grant number of a home starts at most once. Before this executor answers
// "not run" for a number, it stores a record that refuses the number from then
// on, so that a late copy of the grant cannot start. Does no I/O and uses no
// threads: callers pass in events and fetch the resulting actions with
// TakeActions.
class Executor {
 public:
  // `observer` must outlive the executor.
  Executor(const ExecutorOptions& options, Incarnation self,
           Observer* observer);

  void OnGrants(Incarnation home, GrantBatch batch, Instant now);
  void OnAsk(Incarnation home, const AskBatch& ask, Instant now);
  void OnTaskEnded(const GrantKey& key, TaskResult result, Instant now);
  // The home is unreachable: its connection broke, or it sends no gossip. Its
  // queued grants are kept for `unreachable_home_timeout`, and a stop of this
  // process no longer waits for its acknowledgements. A message from the home
  // ends this state. Repeated calls change nothing.
  void OnHomeUnreachable(Incarnation home, Instant now);
  // This incarnation of the home has terminated: another one runs at its
  // address. Its queued grants, records and unsent replies are dropped.
  void OnHomeTerminated(Incarnation home, Instant now);
  // Queued grants that exceed the announced capacity are returned, those that
  // were accepted last first.
  void OnAnnouncement(const Announcement& announcement, Instant now);
  // The backend server withdrew its announcement. Queued grants are returned.
  void OnBackendWithdrawn(Instant now);
  // Sets whether the operators drain this backend server. While it is draining,
  // queued grants are returned and new ones refused.
  void SetDraining(bool draining, Instant now);
  // Returns every queued grant. From now on only grants of the home in this
  // process are accepted.
  void Stop(Instant now);
  void OnTimer(Instant now);

  std::vector<ExecutorAction> TakeActions();

  // The load to report by gossip. `yours`, which depends on the receiver, is
  // zero.
  Load load(Instant now) const;
  ServingState state(Instant now) const;
  const Announcement& announcement() const { return announcement_; }
  bool operator_draining() const { return draining_; }
  uint32_t running() const { return running_; }
  // Whether the homes have acknowledged every result, except for homes that are
  // unreachable.
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

  // The grants of one incarnation of a home.
  struct HomeState {
    // The home has closed all grants below this number; their records are
    // dropped.
    GrantNumber watermark = 0;
    // Records below this number were dropped, so the outcome of a grant below
    // it is unknown here.
    GrantNumber dropped_below = 0;
    GrantNumber highest = 0;   // Highest number received.
    uint32_t outstanding = 0;  // Queued and running grants.
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
  void ReturnExcess();
  uint32_t GrantLimit() const;
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
  std::deque<GrantKey> queue_;  // Includes grants returned meanwhile.
  std::unordered_map<Incarnation, HomeState> homes_;
  std::map<Incarnation, std::vector<GrantStatus>> replies_;
  std::vector<ExecutorAction> actions_;
  Instant now_;
};

}  // namespace qs
