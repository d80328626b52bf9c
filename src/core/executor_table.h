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
  Incarnation self;  // Of the executor in the same process.
  std::string zone;
  uint32_t queue_per_slot = 0;  // Grants beyond the slots of an executor.
  Millis service_retention{
      600'000};  // A vanished service counts as coming back.
};

// What one home knows of an executor, and the grants that it has there.
struct ExecutorEntry {
  Address address;
  std::string zone;
  std::string worker_kind;
  std::vector<std::string> services;
  Load load;
  uint32_t foreign_grants = 0;  // Grants of other homes there, when last told.
  Instant foreign_grants_at;
  Instant direct_load_at;  // In a reply of its own.
  bool is_connected = false;
  bool is_live = false;
  Instant disconnected_at;
  Instant not_live_since;  // When it stopped being live.
  Instant backoff_until;   // No grants before, after refusals in a row.
  Millis backoff{0};
  std::set<GrantNumber> open_grants;
  std::vector<Grant> unsent_grants;  // Not yet sent.

  bool Meets(const Demand& demand) const;
  // Whether neither connection nor gossip tell of it, and since when.
  bool IsUnreachable(Instant* since) const;
};

// The executors that a home may grant tasks to, and the choice among them.
class ExecutorTable {
 public:
  using Map = std::unordered_map<Incarnation, ExecutorEntry>;

  ExecutorTable(ExecutorTableOptions options,
                std::unique_ptr<PlacementPolicy> policy, uint32_t seed);

  // Null when the incarnation is not known.
  ExecutorEntry* Find(Incarnation incarnation);
  const ExecutorEntry* Find(Incarnation incarnation) const;
  Map& entries() { return entries_; }
  void Erase(Incarnation incarnation) { entries_.erase(incarnation); }

  void OnMember(const MemberRecord& record, bool is_live, Instant now);
  ExecutorEntry* OnConnected(Address address, Incarnation incarnation);
  static void OnLoad(ExecutorEntry* entry, const Load& load, Instant now);
  // Keeps a task from bouncing between the home and an executor that refuses.
  static void OnRefusal(ExecutorEntry* entry, Instant now);
  // A grant ended after `age`.
  void OnGrantEnded(ExecutorEntry* entry, Clock::duration age);
  void OnTimer(Instant now);

  // Where the next task goes, null for nowhere now. With `own_is_allowed`, the
  // executor of a stopping process takes what nobody else can.
  ExecutorEntry* Choose(const Demand& demand, bool own_is_allowed, Instant now,
                        Incarnation* incarnation);

  // Why no executor will ever meet a demand, or does not now. kNone where one
  // does. Before the members are known (`is_warm`) nothing is said for good.
  Reason RefusalFor(const Demand& demand, bool is_warm) const;

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
  std::map<Demand, Instant> last_offered_;  // What was offered, and when.
  // Means over executors and recent grants, to judge aged load reports.
  double mean_foreign_grants_ = 0;
  double mean_grant_seconds_ = 0.1;
};

}  // namespace qs
