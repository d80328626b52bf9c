#include "held/service_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace qs {
namespace {

constexpr uint32_t kPercent = 100;
// A factor outside of these bounds, in percent, is no measurement.
constexpr uint32_t kLowestReport = 5;
constexpr uint32_t kHighestReport = 5000;
// Runs at which the weights of a report and of the entry's own runs end to
// grow, and the weight of what is known of the worker's kind.
constexpr uint32_t kMaxReportWeight = 16;
constexpr uint32_t kMaxOwnWeight = 8;
constexpr double kPriorWeight = 2;
// Weight from which on a worker counts in the mean of its kind.
constexpr double kKnownWeight = 4;
// Weight of a report that does not tell its number of runs.
constexpr uint32_t kUntoldRuns = 8;
// Workers of one kind count as alike while their factors differ by less than
// this, as a natural logarithm, which is about the noise of a factor.
constexpr double kAlike = 0.1;
// Bound of the correction of a queue's estimates, as a natural logarithm, and
// the samples that the assumption of no correction counts for.
constexpr double kMaxCorrection = 1.4;
constexpr double kCorrectionSamples = 20;
// Assumed for work that is not on the rack of its data, until it has run.
constexpr double kAssumedRemoteFactor = 1.5;
constexpr double kMaxRemoteFactor = 4;

template <typename Map>
void ForgetOldest(Map* map, size_t limit) {
  if (map->size() <= limit) return;
  map->erase(std::min_element(map->begin(), map->end(),
                              [](const auto& a, const auto& b) {
                                return a.second.used_at < b.second.used_at;
                              }));
}

double Ratio(Millis time, Millis expected) {
  return static_cast<double>(time.count()) /
         static_cast<double>(expected.count());
}

Millis Scaled(Millis time, double factor) {
  return Millis(std::llround(static_cast<double>(time.count()) * factor));
}

std::string KeyOf(const WorkerKind& kind) {
  return kind.service + '\n' + kind.labels;
}

}  // namespace

WorkerKind WorkerKind::Of(const std::string& service,
                          const std::vector<std::string>& labels,
                          const std::string& rack) {
  WorkerKind kind{service, {}};
  for (const std::string& label : labels) {
    if (label != rack) kind.labels += label + '\n';
  }
  return kind;
}

void ServiceModel::OnRunEnded(const std::string& queue, Incarnation worker,
                              const WorkerKind& kind, Millis estimate,
                              Millis run_time, bool is_remote, Instant now) {
  if (estimate <= Millis(0) || run_time < Millis(0)) {
    ++ignored_;
    return;
  }
  const double distance = is_remote ? remote_factor() : 1;
  const double ratio = std::max(Ratio(run_time, estimate), 1e-3);
  const double factor = FactorOf(worker, kind);
  Worker* known = WorkerAt(worker, kind, now);
  known->own.OnRunEnded(
      ratio * Ratio(estimate, CorrectedEstimate(queue, estimate)) / distance);
  UpdateGroups(known, now);
  if (is_remote) {
    remote_.OnRunEnded(ratio / factor / std::exp(TimesOf(queue).LogMean()));
  }
  Queue& times = queues_[queue];
  times.used_at = now;
  times.times.Add(ratio / factor / distance);
  all_.Add(ratio / factor / distance);
  ForgetOldest(&queues_, options_.max_queues);
}

bool ServiceModel::OnFactorReported(Incarnation worker, const WorkerKind& kind,
                                    uint32_t percent, uint32_t runs,
                                    Instant now) {
  if (percent < kLowestReport || percent > kHighestReport) {
    ++ignored_;
    return false;
  }
  Worker* known = WorkerAt(worker, kind, now);
  if (runs == 0 && percent != kPercent) runs = kUntoldRuns;
  // The guard has another worker, of which the entry's runs say nothing.
  if (runs < known->reported_runs) known->own = {};
  const double factor =
      std::clamp(static_cast<double>(percent) / kPercent,
                 SpeedEstimate::kSmallestRatio, SpeedEstimate::kLargestRatio);
  known->reported = std::log(factor);
  known->reported_runs = runs;
  UpdateGroups(known, now);
  return true;
}

ServiceModel::Worker* ServiceModel::WorkerAt(Incarnation worker,
                                             const WorkerKind& kind,
                                             Instant now) {
  const auto [found, is_new] = workers_.try_emplace(worker);
  Worker& known = found->second;
  const bool has_changed =
      known.kind.service != kind.service || known.kind.labels != kind.labels;
  if (is_new || has_changed) {
    if (known.is_in_groups) AddToGroups(known, -1, now);
    known = {};
    known.kind = kind;
  }
  known.used_at = now;
  if (workers_.size() > options_.max_workers) {
    const auto oldest = std::min_element(
        workers_.begin(), workers_.end(), [](const auto& a, const auto& b) {
          return a.second.used_at < b.second.used_at;
        });
    if (oldest->first != worker) {
      if (oldest->second.is_in_groups) AddToGroups(oldest->second, -1, now);
      workers_.erase(oldest);
    }
  }
  return &known;
}

std::pair<double, double> ServiceModel::Observed(const Worker& worker) {
  const auto reported = std::min(worker.reported_runs, kMaxReportWeight);
  const auto own_runs = std::min(worker.own.runs(), kMaxOwnWeight);
  // The report covers the runs of this entry.
  const uint32_t own = own_runs > reported ? own_runs - reported : 0;
  const double weight = reported + own;
  if (weight == 0) return {0, 0};
  return {weight, (reported * worker.reported + own * worker.own.log_factor()) /
                      weight};
}

void ServiceModel::UpdateGroups(Worker* worker, Instant now) {
  if (worker->is_in_groups) AddToGroups(*worker, -1, now);
  const auto [weight, value] = Observed(*worker);
  worker->is_in_groups = weight >= kKnownWeight;
  worker->in_groups = value;
  if (worker->is_in_groups) AddToGroups(*worker, 1, now);
}

void ServiceModel::AddToGroups(const Worker& worker, int sign, Instant now) {
  for (const std::string& key : {KeyOf(worker.kind), worker.kind.service}) {
    Group& group = groups_[key];
    group.sum += sign * worker.in_groups;
    group.workers += static_cast<uint32_t>(sign);
    if (group.workers == 0) group.sum = 0;
    if (group.workers > 0) {
      group.last_mean = group.sum / group.workers;
      group.is_known = true;
    }
    group.used_at = now;
  }
  // Groups of known workers are kept, so that their sums stay right.
  if (groups_.size() <= options_.max_kinds) return;
  auto oldest = groups_.end();
  for (auto item = groups_.begin(); item != groups_.end(); ++item) {
    if (item->second.workers > 0) continue;
    const bool is_older = oldest == groups_.end() ||
                          item->second.used_at < oldest->second.used_at;
    if (is_older) oldest = item;
  }
  if (oldest != groups_.end()) groups_.erase(oldest);
}

double ServiceModel::LogPrior(const Worker* worker,
                              const WorkerKind& kind) const {
  const bool is_counted = worker != nullptr && worker->is_in_groups;
  for (const std::string& key : {KeyOf(kind), kind.service}) {
    const auto found = groups_.find(key);
    if (found == groups_.end() || !found->second.is_known) continue;
    const Group& group = found->second;
    if (!is_counted) return group.last_mean;
    if (group.workers > 1) {
      return (group.sum - worker->in_groups) / (group.workers - 1);
    }
  }
  return 0;
}

double ServiceModel::FactorOf(Incarnation worker,
                              const WorkerKind& kind) const {
  const auto found = workers_.find(worker);
  const Worker* known = found == workers_.end() ? nullptr : &found->second;
  const double prior = LogPrior(known, kind);
  if (known == nullptr) return std::exp(prior);
  const auto [weight, value] = Observed(*known);
  const double deviation = (value - prior) * weight / (weight + kPriorWeight);
  const double beyond = std::max(std::abs(deviation) - kAlike, 0.0);
  return std::exp(prior + std::copysign(beyond, deviation));
}

double ServiceModel::FactorOfOthers(Incarnation worker,
                                    const WorkerKind& kind) const {
  const auto found = workers_.find(worker);
  return std::exp(
      LogPrior(found == workers_.end() ? nullptr : &found->second, kind));
}

double ServiceModel::remote_factor() const {
  const double learned = remote_.runs() / (remote_.runs() + kCorrectionSamples);
  const double factor =
      std::exp(learned * remote_.log_factor() +
               (1 - learned) * std::log(kAssumedRemoteFactor));
  return std::clamp(factor, 1.0, kMaxRemoteFactor);
}

const RunTimeDistribution& ServiceModel::TimesOf(
    const std::string& queue) const {
  const auto found = queues_.find(queue);
  return found == queues_.end() ? unknown_ : found->second.times;
}

Millis ServiceModel::ExpectedRunTime(const std::string& queue, Millis estimate,
                                     double factor) const {
  return Scaled(estimate, factor * TimesOf(queue).Mean());
}

double ServiceModel::OnTimeProbability(const std::string& queue,
                                       Millis estimate, double factor,
                                       Millis left, double slack_factor) const {
  if (estimate <= Millis(0)) return left >= Millis(0) ? 1 : 0;
  const RunTimeDistribution& times = TimesOf(queue);
  // A ratio r of the run is on time if r x factor <= r x slack_factor + spare.
  const double spare = Ratio(left, estimate) - slack_factor;
  const double excess = factor - slack_factor;
  if (excess > 0) return times.AtMost(spare / excess);
  if (spare >= 0) return 1;
  return excess == 0 ? 0 : 1 - times.AtMost(spare / excess);
}

Millis ServiceModel::CorrectedEstimate(const std::string& queue,
                                       Millis estimate) const {
  const RunTimeDistribution& times = TimesOf(queue);
  const double share = times.samples() / (times.samples() + kCorrectionSamples);
  const double correction =
      std::clamp(share * (times.LogMean() - all_.LogMean()), -kMaxCorrection,
                 kMaxCorrection);
  return std::max(Scaled(estimate, std::exp(correction)), Millis(1));
}

}  // namespace qs
