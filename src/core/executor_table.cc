#include "core/executor_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace qs {
namespace {

// A load report received by gossip replaces one from a direct reply only if the
// direct reply is older than this.
constexpr Millis kReplyLoadLifetime{500};

constexpr Millis kMinRefusalBackoff{2};
constexpr Millis kMaxRefusalBackoff{1000};

// Weight of each new grant duration in the exponential moving average.
constexpr double kMeanGain = 0.05;
constexpr double kShortestMeanSeconds = 0.001;

double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

uint32_t Difference(uint32_t a, uint32_t b) { return a > b ? a - b : 0; }

}  // namespace

bool ExecutorEntry::Meets(const Demand& demand) const {
  return std::any_of(services.begin(), services.end(),
                     [&](const std::string& service) {
                       return demand.IsMetBy({service, zone, worker_kind});
                     });
}

bool ExecutorEntry::IsUnreachable(Instant* since) const {
  // A paused process keeps its connections open but sends no gossip.
  *since = is_connected ? not_live_since : disconnected_at;
  return !is_connected || !is_live;
}

ExecutorTable::ExecutorTable(ExecutorTableOptions options,
                             std::unique_ptr<PlacementPolicy> policy,
                             uint32_t seed)
    : options_(std::move(options)), policy_(std::move(policy)), random_(seed) {}

ExecutorEntry* ExecutorTable::Find(Incarnation incarnation) {
  const auto found = entries_.find(incarnation);
  return found == entries_.end() ? nullptr : &found->second;
}

const ExecutorEntry* ExecutorTable::Find(Incarnation incarnation) const {
  const auto found = entries_.find(incarnation);
  return found == entries_.end() ? nullptr : &found->second;
}

void ExecutorTable::OnMember(const MemberRecord& record, bool is_live,
                             Instant now) {
  for (const std::string& service : record.services) {
    last_offered_[{service, record.zone, record.worker_kind}] = now;
  }
  ExecutorEntry& entry = entries_[record.incarnation];
  entry.address = record.address;
  entry.zone = record.zone;
  entry.worker_kind = record.worker_kind;
  entry.services = record.services;
  if (entry.is_live && !is_live) entry.not_live_since = now;
  entry.is_live = is_live;
  if (now - entry.direct_load_at <= kReplyLoadLifetime) return;
  entry.load = record.load;
  entry.foreign_grants =
      Difference(record.load.running + record.load.queued,
                 static_cast<uint32_t>(entry.open_grants.size()));
  entry.foreign_grants_at = now;
}

ExecutorEntry* ExecutorTable::OnConnected(Address address,
                                          Incarnation incarnation) {
  ExecutorEntry& entry = entries_[incarnation];
  entry.address = address;
  entry.is_connected = true;
  entry.is_live = true;
  return &entry;
}

void ExecutorTable::OnLoad(ExecutorEntry* entry, const Load& load,
                           Instant now) {
  entry->load = load;
  entry->direct_load_at = now;
  entry->foreign_grants = Difference(load.running + load.queued, load.yours);
  entry->foreign_grants_at = now;
}

void ExecutorTable::OnRefusal(ExecutorEntry* entry, Instant now) {
  // Several refusals of one batch extend the backoff only once.
  if (now < entry->backoff_until) return;
  entry->backoff =
      std::clamp(entry->backoff * 2, kMinRefusalBackoff, kMaxRefusalBackoff);
  entry->backoff_until = now + entry->backoff;
}

void ExecutorTable::OnGrantEnded(ExecutorEntry* entry, Clock::duration age) {
  entry->backoff = Millis(0);
  mean_grant_seconds_ += (Seconds(age) - mean_grant_seconds_) * kMeanGain;
  mean_grant_seconds_ = std::max(mean_grant_seconds_, kShortestMeanSeconds);
}

void ExecutorTable::OnTimer(Instant now) {
  UpdateMeans(now);
  std::erase_if(last_offered_, [&](const auto& offer) {
    return now - offer.second >= options_.service_retention;
  });
}

// The weight of a report in the mean falls with its age. Otherwise, after a
// burst that has ended on all executors, the old reports would keep this home
// treating every executor as full.
void ExecutorTable::UpdateMeans(Instant now) {
  double sum = 0;
  double count = 0;
  for (const auto& [incarnation, entry] : entries_) {
    if (entry.load.state != ServingState::kServing) continue;
    const double age = Seconds(now - entry.foreign_grants_at);
    sum += entry.foreign_grants * mean_grant_seconds_ /
           (mean_grant_seconds_ + age);
    ++count;
  }
  mean_foreign_grants_ = count > 0 ? sum / count : 0;
}

ExecutorEntry* ExecutorTable::Choose(const Demand& demand, bool own_is_allowed,
                                     Instant now, Incarnation* incarnation) {
  std::vector<Candidate> candidates;
  std::vector<std::pair<Incarnation, ExecutorEntry*>> eligible;
  for (auto& [number, entry] : entries_) {
    if (GrantCapacityAt(entry, now) == 0 || !entry.Meets(demand)) continue;
    candidates.push_back({entry.load.slots, OutstandingAt(entry, now),
                          entry.zone == options_.zone});
    eligible.emplace_back(number, &entry);
  }
  if (candidates.empty()) {
    return own_is_allowed ? ChooseOwn(demand, now, incarnation) : nullptr;
  }
  const size_t chosen = policy_->Choose(candidates, &random_);
  *incarnation = eligible[chosen].first;
  return eligible[chosen].second;
}

// The executor of a stopping process accepts only grants of the home in the
// same process.
ExecutorEntry* ExecutorTable::ChooseOwn(const Demand& demand, Instant now,
                                        Incarnation* incarnation) {
  ExecutorEntry* own = Find(options_.self);
  if (own == nullptr) return nullptr;
  const bool can_take = own->load.state == ServingState::kStopping &&
                        now >= own->backoff_until && own->Meets(demand) &&
                        FreeCapacityAt(*own, now) > 0;
  if (!can_take) return nullptr;
  *incarnation = options_.self;
  return own;
}

uint32_t ExecutorTable::GrantCapacityAt(const ExecutorEntry& entry,
                                        Instant now) const {
  if (!entry.is_connected || !entry.is_live) return 0;
  if (now < entry.backoff_until) return 0;
  if (entry.load.state != ServingState::kServing) return 0;
  return FreeCapacityAt(entry, now);
}

uint32_t ExecutorTable::FreeCapacityAt(const ExecutorEntry& entry,
                                       Instant now) const {
  const uint32_t slots = entry.load.slots;
  return Difference(slots + slots * options_.queue_per_slot,
                    OutstandingAt(entry, now));
}

// Estimates the grants of all homes at an executor. The reported number of
// other homes' grants loses value with its age, since their tasks end and
// others start. Within the mean duration of a grant, the estimate moves from
// the reported number to the mean over all executors.
uint32_t ExecutorTable::OutstandingAt(const ExecutorEntry& entry,
                                      Instant now) const {
  const double age = Seconds(now - entry.foreign_grants_at);
  const double weight = std::clamp(age / mean_grant_seconds_, 0.0, 1.0);
  const double foreign_grants =
      entry.foreign_grants * (1 - weight) + mean_foreign_grants_ * weight;
  return static_cast<uint32_t>(std::lround(foreign_grants)) +
         static_cast<uint32_t>(entry.open_grants.size());
}

Reason ExecutorTable::RefusalFor(const Demand& demand,
                                 bool are_members_known) const {
  for (const auto& [incarnation, entry] : entries_) {
    if (entry.Meets(demand)) return Reason::kNone;
  }
  bool service_known = false;
  for (const auto& [offer, seen] : last_offered_) {
    if (demand.IsMetBy(offer)) return Reason::kNoGuardAvailable;
    service_known = service_known || offer.service == demand.service;
  }
  if (!are_members_known) return Reason::kWarmingUp;
  return service_known ? Reason::kConstraintUnmet : Reason::kNoSuchService;
}

}  // namespace qs
