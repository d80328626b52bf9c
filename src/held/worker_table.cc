#include "held/worker_table.h"

#include <algorithm>
#include <limits>

namespace qs {
namespace {

// Candidates drawn at random, of which the least loaded is taken. Entries that
// act on the same reports then do not all choose the same worker.
constexpr size_t kChoices = 3;
// An urgent task looks at more of them, as a part of the workers is fast.
constexpr size_t kUrgentChoices = 8;
// A worker slower by one percent counts as one that is used by so much more.
constexpr double kUrgentLoadPerPercent = 0.04;
constexpr double kRelaxedLoadPerPercent = -0.01;
// Fewer workers make no meaningful median.
constexpr size_t kMinForMedian = 3;

// An empty label is had by all.
bool HasLabel(const std::vector<std::string>& labels,
              const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Whether a worker that offers this could run such a task, had it room. `Offer`
// is a report, or what is remembered of one.
template <typename Offer>
bool Suits(const Offer& offer, const PlacementNeed& need) {
  return offer.service == need.service && need.need.FitsIn(offer.capacity) &&
         HasLabel(offer.labels, need.required_label);
}

}  // namespace

WorkerTable::WorkerTable(const WorkerTableOptions& options, uint32_t seed)
    : options_(options), random_(seed) {}

WorkerEntry* WorkerTable::Find(Incarnation guard) {
  const auto found = entries_.find(guard);
  return found == entries_.end() ? nullptr : &found->second;
}

WorkerEntry* WorkerTable::OnUp(Address address, Incarnation guard,
                               Instant now) {
  WorkerEntry& entry = entries_[guard];
  entry.address = address;
  entry.is_connected = true;
  entry.has_report = false;
  entry.heard = now;
  entry.in_flight.clear();
  entry.in_flight_need = {};
  entry.in_flight_work = 0;
  return &entry;
}

void WorkerTable::OnReport(WorkerEntry* entry, const RunReport& report,
                           Instant now) {
  const bool is_slowness_new =
      !entry->has_report || entry->report.slowness != report.slowness;
  TakeReport(entry, report);
  entry->has_report = true;
  entry->heard = now;
  while (!entry->in_flight.empty() &&
         entry->in_flight.begin()->first <= report.seen_order) {
    const auto& [need, work] = entry->in_flight.begin()->second;
    entry->in_flight_need -= need;
    entry->in_flight_work -= work;
    entry->in_flight.erase(entry->in_flight.begin());
  }
  if (report.has_offer && !report.service.empty()) {
    const Offer offer{report.service, report.capacity, report.labels};
    if (std::find(offers_.begin(), offers_.end(), offer) == offers_.end()) {
      offers_.push_back(offer);
    }
  }
  if (is_slowness_new) JudgeOutliers();
}

void WorkerTable::TakeReport(WorkerEntry* entry, const RunReport& report) {
  RunReport& known = entry->report;
  RunReport whole = report;
  whole.ends.clear();
  if (!report.has_offer) {
    // What it offers is as the last report on this connection said.
    whole.service = std::move(known.service);
    whole.rack = std::move(known.rack);
    whole.labels = std::move(known.labels);
    whole.capacity = known.capacity;
    whole.zone = std::move(known.zone);
  }
  known = std::move(whole);
}

void WorkerTable::OnOrdered(WorkerEntry* entry, const RunOrder& order) {
  const uint64_t work = TaskWork(order.need, order.estimate);
  entry->in_flight[order.number] = {order.need, work};
  entry->in_flight_need += order.need;
  entry->in_flight_work += work;
}

void WorkerTable::OnRefused(WorkerEntry* entry, Instant now) {
  entry->refused_until = now + options_.refusal_pause;
}

void WorkerTable::JudgeOutliers() {
  std::vector<uint32_t> values;
  for (const auto& [guard, entry] : entries_) {
    if (entry.is_connected && entry.has_report) {
      values.push_back(entry.report.slowness);
    }
  }
  if (values.size() < kMinForMedian) return;
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  const double limit = *middle * options_.outlier_factor;
  for (auto& [guard, entry] : entries_) {
    entry.is_outlier = entry.report.slowness > limit;
  }
}

Resources WorkerTable::FreeRoom(const WorkerEntry& entry) {
  Resources room = entry.report.capacity;
  room -= entry.report.used;
  room -= entry.in_flight_need;
  return room;
}

Millis WorkerTable::QueueDelay(const WorkerEntry& entry) {
  const int64_t cores = std::max<int64_t>(
      entry.report.capacity.cpu_millis / kCpuMillisPerCore, 1);
  const auto work =
      static_cast<int64_t>(entry.report.queued_work + entry.in_flight_work);
  return Millis(work / cores);
}

bool WorkerTable::IsUsable(const WorkerEntry& entry, const PlacementNeed& need,
                           Instant now) const {
  return IsFresh(entry, now) && now >= entry.refused_until &&
         entry.report.state == ServingState::kServing &&
         Suits(entry.report, need);
}

bool WorkerTable::IsFresh(const WorkerEntry& entry, Instant now) const {
  return entry.is_connected && entry.has_report &&
         now - entry.heard <= options_.silent_after;
}

// Zero for the rack of the data, one for the own zone while it has room to
// spare, two for the rest.
int WorkerTable::DistanceOf(const WorkerEntry& entry, const PlacementNeed& need,
                            double load) const {
  const bool is_at_data =
      !need.preferred_rack.empty() && entry.report.rack == need.preferred_rack;
  if (is_at_data) return 0;
  const bool is_own_zone = !options_.zone.empty() &&
                           entry.report.zone == options_.zone &&
                           load < options_.own_zone_load;
  return is_own_zone ? 1 : 2;
}

double WorkerTable::CostOf(const WorkerEntry& entry, const PlacementNeed& need,
                           double load) const {
  const double slowness = entry.report.slowness;
  if (need.slack < options_.urgent_slack) {
    return load + kUrgentLoadPerPercent * slowness;
  }
  if (need.slack > options_.relaxed_slack) {
    return load + kRelaxedLoadPerPercent * slowness;
  }
  return load;
}

WorkerEntry* WorkerTable::Choose(const PlacementNeed& need, bool room_only,
                                 Instant now, Incarnation* guard) {
  struct Found {
    Incarnation guard;
    WorkerEntry* entry = nullptr;
    int distance = 0;  // Lower goes first.
    double cost = 0;   // Lower is better.
  };
  std::vector<Found> with_room;
  Found shortest_queue;
  double shortest = std::numeric_limits<double>::max();
  for (auto& [incarnation, entry] : entries_) {
    if (!IsUsable(entry, need, now)) continue;
    if (need.avoid.contains(incarnation)) continue;
    if (entry.is_outlier && now < entry.next_trial) continue;
    const Resources room = FreeRoom(entry);
    const double capacity = static_cast<double>(
        std::max<int64_t>(entry.report.capacity.cpu_millis, 1));
    if (need.need.FitsIn(room) && entry.report.queued_work == 0) {
      const double load = 1 - static_cast<double>(room.cpu_millis) / capacity;
      with_room.push_back({incarnation, &entry, DistanceOf(entry, need, load),
                           CostOf(entry, need, load)});
      continue;
    }
    if (room_only) continue;
    const Millis delay = QueueDelay(entry);
    if (delay > options_.queue_ahead) continue;
    const auto length =
        static_cast<double>(delay.count()) +
        static_cast<double>(entry.in_flight_need.cpu_millis) / capacity;
    if (length < shortest) {
      shortest = length;
      shortest_queue = {incarnation, &entry, 0, 0};
    }
  }
  Found best = shortest_queue;
  if (!with_room.empty()) {
    std::shuffle(with_room.begin(), with_room.end(), random_);
    const int nearest = std::min_element(with_room.begin(), with_room.end(),
                                         [](const Found& a, const Found& b) {
                                           return a.distance < b.distance;
                                         })
                            ->distance;
    best = {};
    best.cost = std::numeric_limits<double>::max();
    const size_t choices =
        need.slack < options_.urgent_slack ? kUrgentChoices : kChoices;
    size_t seen = 0;
    for (const Found& found : with_room) {
      if (found.distance != nearest) continue;
      if (++seen > choices) break;
      if (found.cost < best.cost) best = found;
    }
  }
  if (best.entry == nullptr) return nullptr;
  if (best.entry->is_outlier) {
    best.entry->next_trial = now + options_.trial_interval;
  }
  *guard = best.guard;
  return best.entry;
}

int64_t WorkerTable::ServingCpu(const std::string& service, Instant now) const {
  int64_t sum = 0;
  for (const auto& [guard, entry] : entries_) {
    const bool serves = IsFresh(entry, now) &&
                        entry.report.state == ServingState::kServing &&
                        entry.report.service == service && !entry.is_outlier;
    if (serves) sum += entry.report.capacity.cpu_millis;
  }
  return sum;
}

bool WorkerTable::CouldEverRun(const PlacementNeed& need) const {
  return std::any_of(offers_.begin(), offers_.end(),
                     [&](const Offer& offer) { return Suits(offer, need); });
}

bool WorkerTable::LacksOffer(const PlacementNeed& need) const {
  bool knows_worker = false;
  for (const auto& [guard, entry] : entries_) {
    if (!entry.is_connected || entry.report.service.empty()) continue;
    knows_worker = true;
    if (Suits(entry.report, need)) return false;
  }
  return knows_worker;
}

bool WorkerTable::KnowsService(const std::string& service) const {
  return std::any_of(offers_.begin(), offers_.end(), [&](const Offer& offer) {
    return offer.service == service;
  });
}

uint64_t WorkerTable::QueuedWork(const std::string& service,
                                 Instant now) const {
  uint64_t sum = 0;
  for (const auto& [guard, entry] : entries_) {
    if (!entry.has_report || entry.report.service != service) continue;
    if (now - entry.heard > options_.silent_after) continue;
    sum += entry.report.queued_work;
  }
  return sum;
}

// An entry tells a guard of its work along with orders and echoes, so at any
// time a guard has heard of some of the entries that use it. Entries are alike:
// the mean of those that told stands for the rest. The guards here serve as
// many entries each as any others, so the work of one guard's entries is what
// competes for as many guards as this entry has.
WorkByUrgency WorkerTable::WaitingWorkOfOthers(Instant now) const {
  WorkByUrgency told{};
  uint64_t telling = 0;
  uint64_t linked = 0;
  uint64_t guards = 0;
  for (const auto& [guard, entry] : entries_) {
    if (!IsFresh(entry, now)) continue;
    ++guards;
    linked += entry.report.linked_entries;
    telling += entry.report.telling_entries;
    for (size_t band = 0; band < kUrgencyBands; ++band) {
      told[band] += entry.report.waiting_work[band];
    }
  }
  if (telling == 0) return {};
  const uint64_t others = linked > guards ? linked - guards : 0;
  for (uint64_t& work : told) work = work * others / (telling * guards);
  return told;
}

}  // namespace qs
