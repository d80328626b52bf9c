#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "held/interference_model.h"
#include "held/placement.h"
#include "held/service_model.h"
#include "quetzalspindle/evacuations.h"
#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

struct WorkerTableOptions {
  std::string zone;  // Availability zone of the entry.
  // Workers in the entry's own zone are preferred while the used share of their
  // processors is below this value, because the network path is shorter and
  // traffic between zones is billed. Above it, workers of all zones compete, so
  // that the work of a busy zone spreads.
  double own_zone_max_load = 0.75;
  // A guard gets no orders while its last report is older than this.
  Millis report_timeout{500};
  // Time without new orders to a guard that refused one for lack of capacity.
  Millis refusal_pause{4};
  // The same to a guard that holds as many runs as it may. About the time in
  // which short runs end there.
  Millis full_guard_pause{80};
  // Time for which a guard's queue counts as full after a refusal, though its
  // length does not change: runs in it may have been replaced since. About the
  // time between two reports without news.
  Millis full_queue_lifetime{200};
  // Tasks are sent to a busy worker while the predicted wait at its guard is at
  // most this. The queue keeps the worker busy during the round trip between
  // the report of an ended run and the arrival of the next order.
  Millis max_queue_delay{25};
  // A guard gets no orders while so many that this entry sent have not ended,
  // or so many bytes of them. Bounds the frames to a guard, and what they take
  // there.
  size_t max_open_orders = 256;
  size_t max_order_bytes = size_t{1} << 20U;
  // Memory of the offers that are remembered. A worker may announce other
  // labels each time.
  size_t max_offer_bytes = size_t{2} << 20U;
  // A worker that is slower than others of its kind by the first factor is an
  // outlier, until it is slower by less than the second only.
  double outlier_factor = 2.5;
  double sound_factor = 1.8;
  // An outlier gets a trial run once in this time. With many entries, each lets
  // pass a quarter of this time for each entry.
  Millis trial_interval{500};
  PlacementOptions placement;
};

// State that an entry keeps about one guard, its worker and the runs there.
struct WorkerRecord {
  Address address;
  Incarnation guard;
  bool is_connected = false;
  uint64_t connection = 0;  // Counts the connections to the guard.
  bool has_report = false;
  Instant last_report_at;  // Arrival of the last report, or of the connection.
  Instant last_echo_at;    // When a report was last echoed to the guard.
  RunReport report;
  // Stamps of the newest reports that had arrived at the newest timer event and
  // at the one before; 0 without one. Only the second may be echoed.
  uint64_t timer_stamp = 0;
  uint64_t echo_stamp = 0;
  // No report can be echoed yet, so that the guard would refuse orders.
  bool awaits_echo = false;
  // Needs and work of the orders that the last report does not cover yet, by
  // run number.
  std::map<uint64_t, std::pair<Resources, uint64_t>> in_flight;
  Resources in_flight_need;
  uint64_t in_flight_work = 0;   // Core-milliseconds.
  std::set<uint64_t> open_runs;  // Runs not known to have ended.
  size_t order_bytes = 0;        // Of their orders.
  Instant paused_until;          // No orders before this; see `refusal_pause`.
  // Set while the queue of the guard is full for tasks of this urgency or less:
  // from a refusal until a report tells of less queued work, for
  // `full_queue_lifetime` at most.
  std::optional<size_t> full_for_band;
  uint64_t full_at_work = 0;
  Instant full_until;
  Instant next_trial;  // An outlier gets no trial run before this.
  bool is_outlier = false;
  WorkerKind kind;
  double factor = 1;          // Of run times; see ServiceModel.
  bool is_evacuated = false;  // Its zone is evacuated: it gets no new runs.
  // Revision of the newest snapshot of the evacuations that was sent to the
  // guard on this connection.
  uint64_t told_evacuations = 0;
};

// What a report has changed in the view of its worker.
enum class SpeedChange : uint8_t { kNone, kBecameSlow, kBecameSound, kIgnored };

// Records of the workers that an entry can send tasks to, and the choice of a
// worker for a task.
class WorkerTable {
 public:
  using Map = std::map<Incarnation, WorkerRecord>;

  WorkerTable(const WorkerTableOptions& options, uint32_t seed);

  // Takes account of tasks that slow each other down. `model` must outlive the
  // table.
  void SetInterference(const InterferenceModel* model) {
    interference_ = model;
  }

  Map& records() { return records_; }
  const Map& records() const { return records_; }
  size_t offer_count() const { return offers_.size(); }
  WorkerRecord* Find(Incarnation guard);
  WorkerRecord* OnGuardConnected(Address address, Incarnation guard,
                                 Instant now);
  SpeedChange OnReport(WorkerRecord* record, const RunReport& report,
                       Instant now);
  // A run of a task with this need ended with success.
  void OnRunDone(WorkerRecord* record, const PlacementNeed& need,
                 Millis run_time, Instant now);
  // The run time of a task to tell a worker; see RunOrder::expected.
  Millis ExpectedAt(const WorkerRecord& record,
                    const PlacementNeed& need) const;
  static void OnOrderSent(WorkerRecord* record, const RunOrder& order);
  // The guard refused an order of a task of this urgency.
  void OnOrderRefused(WorkerRecord* record, size_t urgency_band, Instant now);
  // The guard refused an order as it holds as many runs as it may.
  void OnGuardFull(WorkerRecord* record, Instant now) const;

  // Takes the snapshot over if it is newer. Returns whether its zones differ
  // from the former ones.
  bool OnEvacuations(const Evacuations& evacuations);
  const Evacuations& evacuations() const { return evacuations_; }
  // Whether the guard has not been sent the zones that are evacuated now.
  bool LacksEvacuations(const WorkerRecord& record) const {
    return record.told_evacuations < zones_changed_revision_;
  }
  // Returns the snapshot if the guard has not been sent it yet, and counts it
  // as sent. Otherwise returns an unknown one.
  Evacuations TakeEvacuationsFor(WorkerRecord* record) const;

  // Chooses the worker for a task and sets `guard` to its guard. Returns null
  // if no suitable worker has free capacity and, unless `free_capacity_only` is
  // set, none has a short enough queue, or if the task had better wait.
  // `last_choice` tells why.
  WorkerRecord* Choose(const PlacementNeed& need, bool free_capacity_only,
                       Instant now, Incarnation* guard);
  // Chooses the worker for a task that runs alone: an idle one, or else the one
  // that uses least. Its capacity in use may be any, as the guard lets the
  // other runs end first.
  WorkerRecord* ChooseToRunAlone(const PlacementNeed& need, Instant now,
                                 Incarnation* guard);

  // Whether `tasks` such tasks fit into the room that is free now at workers
  // where they are as likely to be on time as not.
  bool HasRoomFor(const PlacementNeed& need, uint32_t tasks, Instant now) const;

  PlacementChoice last_choice() const { return last_choice_; }
  const ServiceModel& model() const { return model_; }

  size_t CountConnected() const;
  // What the workers that serve `service` now deliver, in thousandths of a core
  // that does work in its estimated time, or in the time of the mean worker if
  // that is longer.
  int64_t DeliveredCpu(const std::string& service, Instant now) const;
  // Whether some worker that ever reported to this entry could run the task, or
  // might: of one that has no capacity now, the usual capacity is not known,
  // and there may have been no memory for an offer.
  bool CouldEverRun(const PlacementNeed& need) const;
  // Whether some worker that ever reported could run the task, but only workers
  // of evacuated zones.
  bool CouldRunInEvacuatedZonesOnly(const PlacementNeed& need) const;
  // Whether workers are connected now and none of them could run the task, even
  // with all its capacity free, or only in an evacuated zone. False if no
  // worker is connected.
  bool LacksOffer(const PlacementNeed& need) const;
  bool KnowsService(const std::string& service) const;
  // Core-milliseconds queued at the guards of a service.
  uint64_t QueuedWork(const std::string& service, Instant now) const;
  // Estimated work that waits at the other entries that compete for these
  // workers.
  WorkByUrgency WaitingWorkOfOthers(Instant now) const;

 private:
  bool IsUsable(const WorkerRecord& record, const PlacementNeed& need,
                Instant now) const;
  // Whether a worker can be chosen for the task, its free capacity aside.
  bool IsCandidate(Incarnation guard, const WorkerRecord& record,
                   const PlacementNeed& need, Instant now) const;
  WorkerRecord* MarkChosen(WorkerRecord* record, Instant now) const;
  bool IsFresh(const WorkerRecord& record, Instant now) const;
  static void MergeReport(WorkerRecord* record, const RunReport& report);
  // 0 for the rack of the task's data; 1 for the entry's own zone while the
  // worker's load is below `own_zone_max_load`; 2 otherwise.
  int DistanceOf(const WorkerRecord& record, const PlacementNeed& need,
                 double load) const;
  static bool IsRemote(const WorkerRecord& record, const PlacementNeed& need);
  SpeedChange UpdateOutlier(WorkerRecord* record);
  static Resources FreeCapacity(const WorkerRecord& record);
  // Time in which the worker drains the work in flight and the work queued at
  // its guard that precedes a task of this urgency.
  static Millis QueueDelay(const WorkerRecord& record, size_t urgency_band);

  WorkerTableOptions options_;
  std::minstd_rand random_;
  ServiceModel model_;
  OnTimePlacement placement_;
  const InterferenceModel* interference_ = nullptr;
  PlacementChoice last_choice_ = PlacementChoice::kNone;
  // What some worker has offered. Kept after the worker disconnects, because it
  // may reconnect, and after its capacity shrinks, because it may grow again.
  struct Offer {
    std::string service;
    Resources capacity;
    std::vector<std::string> labels;
    std::string zone;
  };
  static size_t BytesOf(const Offer& offer);
  void AddOffer(Offer offer);

  Evacuations evacuations_;
  // Revision of the snapshot with which the set of zones last changed.
  uint64_t zones_changed_revision_ = 0;
  Map records_;
  std::vector<Offer> offers_;  // None fits in another of the same kind.
  size_t offer_bytes_ = 0;
  // Some offer found no memory: that none is known says nothing any more.
  bool lacks_offers_ = false;
};

}  // namespace qs
