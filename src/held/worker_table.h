#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

struct WorkerTableOptions {
  std::string zone;  // Availability zone of the entry.
  // A worker of the entry's own zone goes first until so much of it is in use:
  // the way is shorter, and bytes between zones are paid for. Above it, the
  // work of a busy zone goes to all.
  double own_zone_load = 0.75;
  // A guard without a report for so long gets no orders.
  Millis silent_after{500};
  // Pause after a guard gave an order back for want of room.
  Millis refusal_pause{4};
  // Longest wait at a guard for which work is sent ahead of free room. It
  // bridges the way of an end to the entry and of the next order back.
  Millis queue_ahead{25};
  // Slower than the median worker by this factor: only trial runs.
  double outlier_factor = 2.5;
  // A task with less slack than the first is urgent and prefers fast workers;
  // one with more than the second leaves them to others. Workers of one fleet
  // differ in speed by half, which a task of 100 ms feels by tens of them.
  Millis urgent_slack{130};
  Millis relaxed_slack{400};
  Millis trial_interval{500};
};

// What an entry knows of one guard and its worker, and what it has there.
struct WorkerEntry {
  Address address;
  bool is_connected = false;
  bool has_report = false;
  Instant heard;   // The last report.
  Instant echoed;  // When a report was last echoed.
  RunReport report;
  // Orders that the last report does not include yet, by number.
  std::map<uint64_t, std::pair<Resources, uint64_t>> in_flight;
  Resources in_flight_need;
  uint64_t in_flight_work = 0;  // Core-milliseconds.
  std::set<uint64_t> open;      // All runs there that have not ended.
  Instant refused_until;
  Instant next_trial;
  bool is_outlier = false;
};

// What a task needs of a worker.
struct PlacementNeed {
  std::string service;
  Resources need;
  Millis estimate{0};
  // Beyond its estimate, for a task that starts at its arrival.
  Millis slack{0};
  std::string required_label;
  std::string preferred_rack;
  std::set<Incarnation> avoid;  // Where the task failed.
};

// The workers that an entry may order runs from, and the choice among them.
class WorkerTable {
 public:
  using Map = std::map<Incarnation, WorkerEntry>;

  WorkerTable(const WorkerTableOptions& options, uint32_t seed);

  Map& entries() { return entries_; }
  const Map& entries() const { return entries_; }
  WorkerEntry* Find(Incarnation guard);
  WorkerEntry* OnUp(Address address, Incarnation guard, Instant now);
  void OnReport(WorkerEntry* entry, const RunReport& report, Instant now);
  static void OnOrdered(WorkerEntry* entry, const RunOrder& order);
  void OnRefused(WorkerEntry* entry, Instant now);

  // Where a run goes now. Null where no worker has room, or, unless
  // `room_only`, a short queue.
  WorkerEntry* Choose(const PlacementNeed& need, bool room_only, Instant now,
                      Incarnation* guard);

  // Processors of all workers that serve `service` now, in thousandths.
  int64_t ServingCpu(const std::string& service, Instant now) const;
  // Whether a worker that was ever seen here could run such a task.
  bool CouldEverRun(const PlacementNeed& need) const;
  // Whether workers can be reached now, and none of them could, had it room.
  bool LacksOffer(const PlacementNeed& need) const;
  bool KnowsService(const std::string& service) const;
  // Core-milliseconds that wait at the guards of a service.
  uint64_t QueuedWork(const std::string& service, Instant now) const;
  // What the other entries that compete for these workers have waiting, by
  // estimate.
  WorkByUrgency WaitingWorkOfOthers(Instant now) const;

 private:
  bool IsUsable(const WorkerEntry& entry, const PlacementNeed& need,
                Instant now) const;
  bool IsFresh(const WorkerEntry& entry, Instant now) const;
  static void TakeReport(WorkerEntry* entry, const RunReport& report);
  int DistanceOf(const WorkerEntry& entry, const PlacementNeed& need,
                 double load) const;
  // Lower is better: by load, and by speed as the task's slack asks for it.
  double CostOf(const WorkerEntry& entry, const PlacementNeed& need,
                double load) const;
  static Resources FreeRoom(const WorkerEntry& entry);
  static Millis QueueDelay(const WorkerEntry& entry);
  void JudgeOutliers();

  WorkerTableOptions options_;
  std::minstd_rand random_;
  // What a worker offered at some time. A worker that is gone may come back.
  struct Offer {
    std::string service;
    Resources capacity;
    std::vector<std::string> labels;
    bool operator==(const Offer&) const = default;
  };

  Map entries_;
  std::vector<Offer> offers_;
};

}  // namespace qs
