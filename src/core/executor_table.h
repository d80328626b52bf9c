#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/demand.h"
#include "core/placement_policy.h"
#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

struct ExecutorTableOptions {
  Incarnation self;  // Incarnation of this process, home and executor alike.
  std::string zone;
  // Grants that may be queued at an executor for each of its slots.
  uint32_t queue_per_slot = 0;
  // A service or constraint that no executor offers any more counts as
  // temporarily absent for this time after it was last offered. Until then jobs
  // that need it may be retried; afterwards they are refused permanently.
  Millis service_retention{600'000};
};

// An executor as one home knows it, and the home's open grants there.
struct ExecutorEntry {
  Address address;
  std::string zone;
  std::string worker_kind;
  std::vector<std::string> services;
  Load load;
  // Grants of other homes at this executor, as last reported.
  uint32_t foreign_grants = 0;
  Instant foreign_grants_at;  // Time of that report.
  Instant direct_load_at;     // Last load report in a reply of the executor.
  bool is_connected = false;
  bool is_live = false;
  Instant disconnected_at;
  Instant not_live_since;  // When it was last found not live.
  Instant backoff_until;   // No new grants before this time.
  Millis backoff{0};       // Doubles with each consecutive refusal.
  std::set<GrantNumber> open_grants;
  std::vector<Grant> unsent_grants;  // To send with the next actions.

  bool Meets(const Demand& demand) const;
  // Returns whether the executor is unreachable: disconnected, or not live by
  // gossip. `*since` is then the time when this began.
  bool IsUnreachable(Instant* since) const;
};

// The executors that a home may grant tasks to. Chooses the executor for each
// task.
class ExecutorTable {
 public:
  using Map = std::unordered_map<Incarnation, ExecutorEntry>;

  ExecutorTable(ExecutorTableOptions options,
                std::unique_ptr<PlacementPolicy> policy, uint32_t seed);

  // Returns null if the incarnation is unknown.
  ExecutorEntry* Find(Incarnation incarnation);
  const ExecutorEntry* Find(Incarnation incarnation) const;
  Map& entries() { return entries_; }
  void Erase(Incarnation incarnation) { entries_.erase(incarnation); }

  void OnMember(const MemberRecord& record, bool is_live, Instant now);
  ExecutorEntry* OnConnected(Address address, Incarnation incarnation);
  static void OnLoad(ExecutorEntry* entry, const Load& load, Instant now);
  // An executor returned a grant unstarted. Delays further grants to it, so
  // that a task is not sent back and forth between the home and a refusing
  // executor.
  static void OnRefusal(ExecutorEntry* entry, Instant now);
  // A grant ended, and was not returned, `age` after it was made.
  void OnGrantEnded(ExecutorEntry* entry, Clock::duration age);
  void OnTimer(Instant now);

  // Chooses an executor for the next task with this demand and sets
  // `*incarnation`. Returns null if none has capacity. With `own_is_allowed`,
  // the executor of this process, which is stopping, is chosen if no other can
  // take the task.
  ExecutorEntry* Choose(const Demand& demand, bool own_is_allowed, Instant now,
                        Incarnation* incarnation);

  // Returns why no executor meets a demand, or kNone if one does. While
  // `are_members_known` is false the reason is always temporary, since a member
  // that meets the demand may not have been received yet.
  Reason RefusalFor(const Demand& demand, bool are_members_known) const;

 private:
  uint32_t GrantCapacityAt(const ExecutorEntry& entry, Instant now) const;
  uint32_t FreeCapacityAt(const ExecutorEntry& entry, Instant now) const;
  uint32_t OutstandingAt(const ExecutorEntry& entry, Instant now) const;
  ExecutorEntry* ChooseOwn(const Demand& demand, Instant now,
                           Incarnation* incarnation);
  void UpdateMeans(Instant now);

  ExecutorTableOptions options_;
  std::unique_ptr<PlacementPolicy> policy_;
  PlacementPolicy::Random random_;
  Map entries_;
  std::map<Demand, Instant> last_offered_;  // When each offer was last seen.
  // Means over all executors and over recent grants. They replace the reported
  // load gradually as a report ages.
  double mean_foreign_grants_ = 0;
  double mean_grant_seconds_ = 0.1;
};

}  // namespace qs
