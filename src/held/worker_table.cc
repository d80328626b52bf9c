#include "held/worker_table.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace qs {
namespace {

// Entries that share the trial runs of an outlier in one `trial_interval`.
constexpr uint32_t kEntriesPerTrial = 4;
// A task counts on the room of a worker where it is on time with this
// probability.
constexpr double kFairChance = 0.5;

// Factors are rounded to multiples of this, as natural logarithms. It is less
// than their noise, and makes many of them equal.
constexpr double kFactorStep = 0.05;

double Rounded(double factor) {
  return std::exp(std::round(std::log(factor) / kFactorStep) * kFactorStep);
}

// An empty label matches every worker.
bool HasLabel(const std::vector<std::string>& labels,
              const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Whether a worker with this offer could run the task if all its capacity were
// free. `Offer` is a RunReport or a stored WorkerTable::Offer.
template <typename Offer>
bool CanRun(const Offer& offer, const PlacementNeed& need) {
  return offer.service == need.service &&
         need.resources.FitsIn(offer.capacity) &&
         HasLabel(offer.labels, need.required_label);
}

}  // namespace

WorkerTable::WorkerTable(const WorkerTableOptions& options, uint32_t seed)
    : options_(options), random_(seed), placement_(options.placement) {}

WorkerRecord* WorkerTable::Find(Incarnation guard) {
  const auto found = records_.find(guard);
  return found == records_.end() ? nullptr : &found->second;
}

WorkerRecord* WorkerTable::OnGuardConnected(Address address, Incarnation guard,
                                            Instant now) {
  WorkerRecord& record = records_[guard];
  record.address = address;
  record.guard = guard;
  record.is_connected = true;
  ++record.connection;
  record.has_report = false;
  record.timer_stamp = 0;
  record.echo_stamp = 0;
  record.last_report_at = now;
  record.in_flight.clear();
  record.in_flight_need = {};
  record.in_flight_work = 0;
  record.full_for_band.reset();
  record.told_evacuations = 0;
  return &record;
}

SpeedChange WorkerTable::OnReport(WorkerRecord* record, const RunReport& report,
                                  Instant now) {
  MergeReport(record, report);
  record->has_report = true;
  record->last_report_at = now;
  while (!record->in_flight.empty() &&
         record->in_flight.begin()->first <= report.seen_order) {
    const auto& [need, work] = record->in_flight.begin()->second;
    record->in_flight_need -= need;
    record->in_flight_work -= work;
    record->in_flight.erase(record->in_flight.begin());
  }
  record->is_evacuated = evacuations_.Contains(record->report.zone);
  if (report.has_offer && !report.service.empty()) {
    AddOffer({report.service, report.capacity, report.labels, report.zone});
    record->kind = WorkerKind::Of(report.service, report.labels, report.rack);
  }
  if (report.queued_work < record->full_at_work) record->full_for_band.reset();
  const bool is_valid = model_.OnFactorReported(
      record->guard, record->kind, report.slowness, report.slowness_runs, now);
  return is_valid ? UpdateOutlier(record) : SpeedChange::kIgnored;
}

SpeedChange WorkerTable::UpdateOutlier(WorkerRecord* record) {
  record->factor = Rounded(model_.FactorOf(record->guard, record->kind));
  const double others = model_.FactorOfOthers(record->guard, record->kind);
  const double limit =
      record->is_outlier ? options_.sound_factor : options_.outlier_factor;
  const bool is_outlier = record->factor > others * limit;
  if (is_outlier == record->is_outlier) return SpeedChange::kNone;
  record->is_outlier = is_outlier;
  return is_outlier ? SpeedChange::kBecameSlow : SpeedChange::kBecameSound;
}

void WorkerTable::OnRunDone(WorkerRecord* record, const PlacementNeed& need,
                            Millis run_time, Instant now) {
  model_.OnRunEnded(need.queue, record->guard, record->kind, need.estimate,
                    run_time, IsRemote(*record, need), now);
}

Millis WorkerTable::ExpectedAt(const WorkerRecord& record,
                               const PlacementNeed& need) const {
  const Millis expected = model_.CorrectedEstimate(need.queue, need.estimate);
  if (!IsRemote(record, need)) return expected;
  return std::chrono::duration_cast<Millis>(expected * model_.remote_factor());
}

bool WorkerTable::IsRemote(const WorkerRecord& record,
                           const PlacementNeed& need) {
  return !need.preferred_rack.empty() &&
         record.report.rack != need.preferred_rack;
}

size_t WorkerTable::BytesOf(const Offer& offer) {
  size_t bytes = sizeof(Offer) + offer.service.size() + offer.zone.size();
  for (const std::string& label : offer.labels) {
    bytes += sizeof(std::string) + label.size();
  }
  return bytes;
}

void WorkerTable::AddOffer(Offer offer) {
  const auto is_covered = [](const Offer& one, const Offer& by) {
    return one.service == by.service && one.labels == by.labels &&
           one.zone == by.zone && one.capacity.FitsIn(by.capacity);
  };
  for (const Offer& known : offers_) {
    if (is_covered(offer, known)) return;
  }
  std::erase_if(offers_, [&](const Offer& known) {
    const bool is_replaced = is_covered(known, offer);
    if (is_replaced) offer_bytes_ -= BytesOf(known);
    return is_replaced;
  });
  if (offer_bytes_ + BytesOf(offer) > options_.max_offer_bytes) {
    lacks_offers_ = true;
    return;
  }
  offer_bytes_ += BytesOf(offer);
  offers_.push_back(std::move(offer));
}

void WorkerTable::MergeReport(WorkerRecord* record, const RunReport& report) {
  RunReport& last = record->report;
  RunReport merged = report;
  merged.ends.clear();
  merged.worker_losses.clear();
  if (!report.has_offer) {
    // A report without an offer leaves the last one in force.
    merged.service = std::move(last.service);
    merged.rack = std::move(last.rack);
    merged.labels = std::move(last.labels);
    merged.capacity = last.capacity;
    merged.zone = std::move(last.zone);
  }
  last = std::move(merged);
}

void WorkerTable::OnOrderSent(WorkerRecord* record, const RunOrder& order) {
  // A run that is alone occupies the whole worker.
  const Resources& need =
      order.must_run_alone ? record->report.capacity : order.need;
  const uint64_t work = TaskWork(need, order.estimate);
  record->in_flight[order.number] = {need, work};
  record->in_flight_need += need;
  record->in_flight_work += work;
}

void WorkerTable::OnOrderRefused(WorkerRecord* record, size_t urgency_band,
                                 Instant now) {
  record->paused_until = now + options_.refusal_pause;
  if (record->report.queued_work == 0) return;
  record->full_for_band =
      std::min(record->full_for_band.value_or(urgency_band), urgency_band);
  record->full_at_work = record->report.queued_work;
  record->full_until = now + options_.full_queue_lifetime;
}

void WorkerTable::OnGuardFull(WorkerRecord* record, Instant now) const {
  record->paused_until = now + options_.full_guard_pause;
}

bool WorkerTable::OnEvacuations(const Evacuations& evacuations) {
  const std::set<std::string> former = evacuations_.zones();
  if (!evacuations_.AdoptIfNewer(evacuations)) return false;
  if (evacuations_.zones() == former) return false;
  zones_changed_revision_ = evacuations_.revision();
  for (auto& [guard, record] : records_) {
    record.is_evacuated = evacuations_.Contains(record.report.zone);
  }
  return true;
}

Evacuations WorkerTable::TakeEvacuationsFor(WorkerRecord* record) const {
  if (record->told_evacuations >= evacuations_.revision()) return {};
  record->told_evacuations = evacuations_.revision();
  return evacuations_;
}

Resources WorkerTable::FreeCapacity(const WorkerRecord& record) {
  Resources free = record.report.capacity;
  free -= record.report.used;
  free -= record.in_flight_need;
  return free;
}

Millis WorkerTable::QueueDelay(const WorkerRecord& record,
                               size_t urgency_band) {
  const int64_t cores = std::max<int64_t>(
      record.report.capacity.cpu_millis / kCpuMillisPerCore, 1);
  uint64_t work = record.report.queued_work;
  for (size_t band = urgency_band + 1; band < kUrgencyBands; ++band) {
    work -= std::min(work, record.report.queued_by_urgency[band]);
  }
  return Millis(static_cast<int64_t>(work + record.in_flight_work) / cores);
}

bool WorkerTable::IsUsable(const WorkerRecord& record,
                           const PlacementNeed& need, Instant now) const {
  return IsFresh(record, now) && !record.awaits_echo && !record.is_evacuated &&
         record.open_runs.size() < options_.max_open_orders &&
         record.order_bytes < options_.max_order_bytes &&
         now >= record.paused_until &&
         record.report.state == ServingState::kServing &&
         CanRun(record.report, need);
}

bool WorkerTable::IsCandidate(Incarnation guard, const WorkerRecord& record,
                              const PlacementNeed& need, Instant now) const {
  return IsUsable(record, need, now) && !need.avoid.contains(guard) &&
         (!record.is_outlier || now >= record.next_trial);
}

bool WorkerTable::IsFresh(const WorkerRecord& record, Instant now) const {
  return record.is_connected && record.has_report &&
         now - record.last_report_at <= options_.report_timeout;
}

int WorkerTable::DistanceOf(const WorkerRecord& record,
                            const PlacementNeed& need, double load) const {
  const bool is_at_data =
      !need.preferred_rack.empty() && record.report.rack == need.preferred_rack;
  if (is_at_data) return 0;
  const bool is_own_zone = !options_.zone.empty() &&
                           record.report.zone == options_.zone &&
                           load < options_.own_zone_max_load;
  return is_own_zone ? 1 : 2;
}

WorkerRecord* WorkerTable::Choose(const PlacementNeed& need,
                                  bool free_capacity_only, Instant now,
                                  Incarnation* guard) {
  std::vector<PlacementOption> options;
  std::vector<WorkerRecord*> workers;
  options.reserve(records_.size());
  workers.reserve(records_.size());
  std::optional<double> busy_factor;
  for (auto& [incarnation, record] : records_) {
    if (!IsUsable(record, need, now) || need.avoid.contains(incarnation)) {
      continue;
    }
    PlacementOption option;
    option.factor = record.factor;
    if (IsRemote(record, need)) option.factor *= model_.remote_factor();
    const Resources free = FreeCapacity(record);
    const double capacity = static_cast<double>(
        std::max<int64_t>(record.report.capacity.cpu_millis, 1));
    if (need.resources.FitsIn(free) && record.report.queued_work == 0) {
      option.load = 1 - static_cast<double>(free.cpu_millis) / capacity;
      option.distance = DistanceOf(record, need, option.load);
      option.is_trial = record.is_outlier && now >= record.next_trial;
      if (interference_ != nullptr && interference_->has_beliefs()) {
        option.interference = interference_->CostBeside(
            need.queue,
            static_cast<double>(need.resources.cpu_millis) / capacity,
            record.report.running);
      }
    } else {
      option.is_free = false;
      option.delay = QueueDelay(record, need.urgency_band);
      option.queue =
          static_cast<double>(option.delay.count()) +
          static_cast<double>(record.in_flight_need.cpu_millis) / capacity;
      const bool is_full = record.full_for_band && now < record.full_until &&
                           need.urgency_band >= *record.full_for_band;
      // After the capacity has shrunk, the runs beyond it must end first.
      const bool can_queue = !free_capacity_only && !is_full &&
                             option.delay <= options_.max_queue_delay &&
                             record.report.used.FitsIn(record.report.capacity);
      if (!can_queue) {
        busy_factor =
            std::min(busy_factor.value_or(option.factor), option.factor);
        continue;
      }
    }
    options.push_back(option);
    workers.push_back(&record);
  }
  const OnTimePlacement::Verdict verdict =
      placement_.Choose(need, model_, options, busy_factor, &random_);
  last_choice_ = verdict.choice;
  if (verdict.choice == PlacementChoice::kHeld ||
      verdict.choice == PlacementChoice::kNone) {
    return nullptr;
  }
  WorkerRecord* chosen = workers[verdict.option];
  *guard = chosen->guard;
  return MarkChosen(chosen, now);
}

WorkerRecord* WorkerTable::ChooseToRunAlone(const PlacementNeed& need,
                                            Instant now, Incarnation* guard) {
  struct Candidate {
    Incarnation guard;
    WorkerRecord* record = nullptr;
    bool is_busy = false;
    int64_t used_cpu = 0;
  };
  std::vector<Candidate> candidates;
  for (auto& [incarnation, record] : records_) {
    if (!IsCandidate(incarnation, record, need, now)) continue;
    Resources used = record.report.used;
    used += record.in_flight_need;
    const bool is_busy = used != Resources{} || record.report.queued_work > 0;
    candidates.push_back({incarnation, &record, is_busy, used.cpu_millis});
  }
  if (candidates.empty()) return nullptr;
  std::shuffle(candidates.begin(), candidates.end(), random_);
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return std::pair(a.is_busy, a.used_cpu) <
                                std::pair(b.is_busy, b.used_cpu);
                       });
  *guard = best->guard;
  return MarkChosen(best->record, now);
}

bool WorkerTable::HasRoomFor(const PlacementNeed& need, uint32_t tasks,
                             Instant now) const {
  uint32_t found = 0;
  for (const auto& [incarnation, record] : records_) {
    if (record.report.queued_work > 0) continue;
    if (!IsCandidate(incarnation, record, need, now)) continue;
    const double chance = model_.OnTimeProbability(
        need.queue, need.estimate, record.factor, need.remaining);
    if (chance < kFairChance) continue;
    Resources free = FreeCapacity(record);
    // An outlier gets one run at a time.
    const uint32_t most = record.is_outlier ? found + 1 : tasks;
    while (found < most && need.resources.FitsIn(free)) {
      free -= need.resources;
      ++found;
    }
    if (found >= tasks) return true;
  }
  return false;
}

WorkerRecord* WorkerTable::MarkChosen(WorkerRecord* record, Instant now) const {
  if (!record->is_outlier) return record;
  const uint32_t entries = std::max(record->report.linked_entries, 1U);
  record->next_trial =
      now + std::max(options_.trial_interval,
                     options_.trial_interval * entries / kEntriesPerTrial);
  return record;
}

size_t WorkerTable::CountConnected() const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [](const auto& item) {
        return item.second.is_connected && !item.second.report.service.empty();
      }));
}

// If run times are longer than estimated on the whole, the objectives of the
// jobs grow with them, and capacity is relative to the mean worker.
int64_t WorkerTable::DeliveredCpu(const std::string& service,
                                  Instant now) const {
  double sum = 0;
  double log_sum = 0;
  int workers = 0;
  for (const auto& [guard, record] : records_) {
    const bool serves =
        IsFresh(record, now) && record.report.state == ServingState::kServing &&
        record.report.service == service && !record.is_evacuated;
    if (!serves) continue;
    sum +=
        static_cast<double>(record.report.capacity.cpu_millis) / record.factor;
    log_sum += std::log(record.factor);
    ++workers;
  }
  if (workers == 0) return 0;
  const double mean_factor = std::exp(log_sum / workers);
  return std::llround(sum * std::max(mean_factor, 1.0));
}

bool WorkerTable::CouldEverRun(const PlacementNeed& need) const {
  if (lacks_offers_) return true;
  const bool has_offer =
      std::any_of(offers_.begin(), offers_.end(),
                  [&](const Offer& offer) { return CanRun(offer, need); });
  if (has_offer) return true;
  return std::any_of(records_.begin(), records_.end(), [&](const auto& item) {
    const RunReport& report = item.second.report;
    return item.second.is_connected && report.service == need.service &&
           report.capacity.cpu_millis <= 0 &&
           HasLabel(report.labels, need.required_label);
  });
}

bool WorkerTable::CouldRunInEvacuatedZonesOnly(
    const PlacementNeed& need) const {
  if (evacuations_.zones().empty() || lacks_offers_) return false;
  bool has_offer = false;
  for (const Offer& offer : offers_) {
    if (!CanRun(offer, need)) continue;
    if (!evacuations_.Contains(offer.zone)) return false;
    has_offer = true;
  }
  return has_offer;
}

bool WorkerTable::LacksOffer(const PlacementNeed& need) const {
  bool has_worker = false;
  for (const auto& [guard, record] : records_) {
    if (!record.is_connected || record.report.service.empty()) continue;
    has_worker = true;
    if (!record.is_evacuated && CanRun(record.report, need)) return false;
  }
  return has_worker;
}

bool WorkerTable::KnowsService(const std::string& service) const {
  return std::any_of(offers_.begin(), offers_.end(), [&](const Offer& offer) {
    return offer.service == service;
  });
}

uint64_t WorkerTable::QueuedWork(const std::string& service,
                                 Instant now) const {
  uint64_t sum = 0;
  for (const auto& [guard, record] : records_) {
    if (!record.has_report || record.report.service != service) continue;
    if (now - record.last_report_at > options_.report_timeout) continue;
    sum += record.report.queued_work;
  }
  return sum;
}

// Entries report their waiting work to a guard with orders and echoes, so at
// any time a guard has recent reports from only some of the entries linked to
// it. Entries are assumed to be alike, and the mean of the reported work is
// used for those that did not report. Every guard is linked to about the same
// number of entries, so the entries linked to one guard compete for as many
// guards as this entry is linked to.
WorkByUrgency WorkerTable::WaitingWorkOfOthers(Instant now) const {
  WorkByUrgency reported{};
  uint64_t reporting = 0;
  uint64_t linked = 0;
  uint64_t guards = 0;
  for (const auto& [guard, record] : records_) {
    if (!IsFresh(record, now)) continue;
    ++guards;
    linked += record.report.linked_entries;
    reporting += record.report.telling_entries;
    for (size_t band = 0; band < kUrgencyBands; ++band) {
      reported[band] += record.report.waiting_work[band];
    }
  }
  if (reporting == 0) return {};
  const uint64_t others = linked > guards ? linked - guards : 0;
  for (uint64_t& work : reported) work = work * others / (reporting * guards);
  return reported;
}

}  // namespace qs
