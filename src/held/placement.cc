#include "held/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

namespace qs {
namespace {

// Number of workers drawn at random, from which the one with the lowest cost is
// chosen. Drawing keeps entries that act on the same reports from all choosing
// the same worker.
constexpr size_t kCandidates = 3;
// Cost, in units of the load of a worker, of a lower probability to be on time.
constexpr double kCostOfChance = 10;
// Cost of a worker that is faster than needed, for the natural logarithm of its
// speed.
constexpr double kCostOfSpeed = 1;
// Cost of the same logarithm of a slowdown by neighbours. Above that of a
// worker that is in use, so that tasks that slow each other down are kept apart
// where there is room.
constexpr double kCostOfInterference = 3;
// A task has time to spare if it is on time with this probability after this
// further delay.
constexpr double kTimeToSpare = 0.95;
constexpr Millis kSpareDelay{100};
// A task that is on time with less than this probability is placed to be of
// use.
constexpr double kHopeless = 0.1;
// Equally likely delays by calls and reports, and by other tasks that compete
// for the worker, and errors of a worker's factor.
constexpr std::array<Millis, 3> kUnforeseenDelays = {Millis(0), Millis(30),
                                                     Millis(80)};
constexpr std::array<double, 3> kFactorErrors = {0.88, 1, 1.14};
constexpr double kEstimateGain = 0.02;
// A trial run may take this many times the estimate and be on time.
constexpr int kTrialSlack = 2;

}  // namespace

bool OnTimePlacement::SuitsTrial(const PlacementNeed& need) const {
  const auto estimate = static_cast<double>(need.estimate.count());
  const bool is_short =
      typical_estimate_ms_ == 0 || estimate <= typical_estimate_ms_;
  return is_short && need.remaining >= kTrialSlack * need.estimate;
}

double OnTimePlacement::ChanceOf(const PlacementNeed& need,
                                 const ServiceModel& model, double factor,
                                 Millis delay) {
  double sum = 0;
  for (const Millis unforeseen : kUnforeseenDelays) {
    for (const double error : kFactorErrors) {
      sum += model.OnTimeProbability(need.queue, need.estimate, factor * error,
                                     need.remaining - delay - unforeseen,
                                     need.slack_factor);
    }
  }
  return sum / (kUnforeseenDelays.size() * kFactorErrors.size());
}

OnTimePlacement::Verdict OnTimePlacement::Choose(
    const PlacementNeed& need, const ServiceModel& model,
    const std::vector<PlacementOption>& workers,
    std::optional<double> busy_factor, std::minstd_rand* random) {
  if (workers.empty()) return {};
  std::vector<double> chances(workers.size());
  double best_free = -1;
  double best_queued = -1;
  const auto rate = [&](const auto& chance) {
    best_free = best_queued = -1;
    for (size_t i = 0; i < workers.size(); ++i) {
      const PlacementOption& worker = workers[i];
      chances[i] = chance(worker.factor, worker.delay);
      double& best = worker.is_free ? best_free : best_queued;
      best = std::max(best, chances[i]);
    }
  };
  // Many workers have the same factor, and all free ones the same delay.
  std::vector<std::tuple<double, Millis, double>> known;
  const auto chance_of = [&](double factor, Millis delay) {
    for (const auto& [its_factor, its_delay, its_chance] : known) {
      if (its_factor == factor && its_delay == delay) return its_chance;
    }
    const double chance = ChanceOf(need, model, factor, delay);
    known.emplace_back(factor, delay, chance);
    return chance;
  };
  rate(chance_of);
  const double best = std::max(best_free, best_queued);
  double fastest_free = std::numeric_limits<double>::max();
  double fastest = fastest_free;
  for (const PlacementOption& worker : workers) {
    fastest = std::min(fastest, worker.factor);
    if (worker.is_free) fastest_free = std::min(fastest_free, worker.factor);
  }
  if (busy_factor && *busy_factor * options_.least_speedup <= fastest) {
    const double later = ChanceOf(need, model, *busy_factor,
                                  std::max(options_.least_hold, need.waited));
    const bool pays = std::pow(later, need.width) >
                      std::pow(best, need.width) + options_.hold_gain;
    if (pays) return {PlacementChoice::kHeld, 0};
  }
  const bool is_late = best < kHopeless;
  if (is_late) {
    rate([&](double factor, Millis delay) {
      return model.OnTimeProbability(need.queue, need.estimate, factor,
                                     need.useful - delay);
    });
  }

  if (SuitsTrial(need)) {
    const auto trial = std::find_if(
        workers.begin(), workers.end(),
        [](const auto& worker) { return worker.is_trial && worker.is_free; });
    if (trial != workers.end()) {
      return {PlacementChoice::kTrial,
              static_cast<size_t>(trial - workers.begin())};
    }
  }
  typical_estimate_ms_ +=
      (static_cast<double>(need.estimate.count()) - typical_estimate_ms_) *
      (typical_estimate_ms_ == 0 ? 1 : kEstimateGain);
  const double tolerance =
      std::max(options_.job_tolerance / need.width, options_.least_tolerance);
  const bool must_queue = best_free < 0;
  const bool queue_pays = best_queued > best_free + options_.queue_gain &&
                          fastest * options_.least_speedup <= fastest_free;
  if (must_queue || queue_pays) {
    size_t shortest = workers.size();
    for (size_t i = 0; i < workers.size(); ++i) {
      if (workers[i].is_free || chances[i] < best_queued - tolerance) continue;
      if (shortest == workers.size() ||
          workers[i].queue < workers[shortest].queue) {
        shortest = i;
      }
    }
    const PlacementChoice choice =
        must_queue ? PlacementChoice::kOnTime : PlacementChoice::kQueued;
    return {is_late ? PlacementChoice::kLate : choice, shortest};
  }
  const auto has_time_to_spare = [&](size_t i) {
    return is_late ? chances[i] >= kTimeToSpare
                   : chance_of(workers[i].factor, kSpareDelay) >= kTimeToSpare;
  };
  const size_t chosen = PickFree(workers, chances, best_free - tolerance,
                                 has_time_to_spare, random);
  if (is_late) return {PlacementChoice::kLate, chosen};
  const bool is_slow = workers[chosen].factor > fastest;
  return {is_slow ? PlacementChoice::kTimeToSpare : PlacementChoice::kOnTime,
          chosen};
}

size_t OnTimePlacement::PickFree(
    const std::vector<PlacementOption>& workers,
    const std::vector<double>& chances, double least,
    const std::function<bool(size_t)>& has_time_to_spare,
    std::minstd_rand* random) {
  std::vector<size_t> free;
  free.reserve(workers.size());
  for (size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].is_free) free.push_back(i);
  }
  std::shuffle(free.begin(), free.end(), *random);
  std::vector<size_t> suitable;
  int nearest = std::numeric_limits<int>::max();
  for (const size_t i : free) {
    if (chances[i] < least) continue;
    if (workers[i].distance < nearest) {
      nearest = workers[i].distance;
      suitable.clear();
    }
    if (workers[i].distance == nearest) suitable.push_back(i);
  }
  const auto cost = [&](size_t i) {
    const double speed =
        has_time_to_spare(i) ? -kCostOfSpeed * std::log(workers[i].factor) : 0;
    return workers[i].load - kCostOfChance * chances[i] + speed +
           kCostOfInterference * workers[i].interference;
  };
  size_t best = suitable.front();
  double lowest = std::numeric_limits<double>::max();
  for (size_t drawn = 0; drawn < std::min(kCandidates, suitable.size());
       ++drawn) {
    const double its_cost = cost(suitable[drawn]);
    if (its_cost >= lowest) continue;
    lowest = its_cost;
    best = suitable[drawn];
  }
  return best;
}

}  // namespace qs
