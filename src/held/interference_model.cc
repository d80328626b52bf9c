#include "held/interference_model.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace qs {
namespace {

// Added to the diagonal of the normal equations, relative to it, so that
// neighbours that always come together do not make them singular.
constexpr double kRidge = 1e-6;
// A neighbour whose share hardly varied says nothing about its effect.
constexpr double kMinVariance = 1e-4;

// A symmetric positive definite system, row-major.
class NormalEquations {
 public:
  explicit NormalEquations(size_t size)
      : size_(size), values_(size * size, 0.0) {}

  double& at(size_t row, size_t column) {
    return values_[row * size_ + column];
  }

  // Inverts by Gauss-Jordan elimination; pivots of such a matrix need no
  // exchange of rows. Empty if it is singular.
  std::optional<NormalEquations> Inverse() const {
    NormalEquations left = *this;
    NormalEquations inverse(size_);
    for (size_t i = 0; i < size_; ++i) inverse.at(i, i) = 1;
    for (size_t i = 0; i < size_; ++i) {
      const double pivot = left.at(i, i);
      if (!(pivot > 0)) return std::nullopt;
      for (size_t j = 0; j < size_; ++j) {
        left.at(i, j) /= pivot;
        inverse.at(i, j) /= pivot;
      }
      for (size_t row = 0; row < size_; ++row) {
        if (row == i) continue;
        const double factor = left.at(row, i);
        for (size_t j = 0; j < size_; ++j) {
          left.at(row, j) -= factor * left.at(i, j);
          inverse.at(row, j) -= factor * inverse.at(i, j);
        }
      }
    }
    return inverse;
  }

 private:
  size_t size_;
  std::vector<double> values_;
};

// The sums of one queue at all workers.
struct PooledSums {
  std::vector<std::string> neighbours;
  double runs = 0;
  double freedom = 0;  // Runs less one for each worker, whose mean is taken.
  // One row for each neighbour and a last one for the logarithm.
  NormalEquations products{1};
};

// Estimated effect of one neighbour, and its standard error.
struct Coefficient {
  std::string neighbour;
  double value = 0;
  double error = 0;
};

template <typename ByGuard>
PooledSums Pool(const ByGuard& by_guard) {
  PooledSums pooled;
  for (const auto& [guard, received] : by_guard) {
    pooled.runs += received.sums.runs;
    pooled.freedom += std::max(received.sums.runs - 1, 0.0);
    for (const std::string& name : received.sums.neighbours) {
      const bool is_known =
          std::find(pooled.neighbours.begin(), pooled.neighbours.end(), name) !=
          pooled.neighbours.end();
      if (!is_known && pooled.neighbours.size() < kMaxNeighbourQueues) {
        pooled.neighbours.push_back(name);
      }
    }
  }
  const size_t last = pooled.neighbours.size();
  pooled.products = NormalEquations(last + 1);
  for (const auto& [guard, received] : by_guard) {
    const InterferenceSums& sums = received.sums;
    // The row of each neighbour; none for those beyond the limit.
    std::vector<std::optional<size_t>> rows;
    for (const std::string& name : sums.neighbours) {
      const auto found =
          std::find(pooled.neighbours.begin(), pooled.neighbours.end(), name);
      const auto row = static_cast<size_t>(found - pooled.neighbours.begin());
      rows.push_back(row < last ? std::optional(row) : std::nullopt);
    }
    rows.emplace_back(last);
    for (size_t i = 0; i < rows.size(); ++i) {
      for (size_t j = 0; j < rows.size(); ++j) {
        if (!rows[i] || !rows[j]) continue;
        pooled.products.at(*rows[i], *rows[j]) += sums.product(i, j);
      }
    }
  }
  return pooled;
}

// Least squares over the neighbours whose share varied. Empty if the sums say
// nothing.
std::vector<Coefficient> Solve(PooledSums pooled) {
  const size_t last = pooled.neighbours.size();
  std::vector<size_t> varied;
  for (size_t i = 0; i < last; ++i) {
    if (pooled.products.at(i, i) > kMinVariance * pooled.runs) {
      varied.push_back(i);
    }
  }
  const double freedom = pooled.freedom - static_cast<double>(varied.size());
  if (varied.empty() || freedom <= 0) return {};
  NormalEquations system(varied.size());
  for (size_t i = 0; i < varied.size(); ++i) {
    for (size_t j = 0; j < varied.size(); ++j) {
      system.at(i, j) =
          pooled.products.at(varied[i], varied[j]) * (i == j ? 1 + kRidge : 1);
    }
  }
  std::optional<NormalEquations> inverse = system.Inverse();
  if (!inverse) return {};
  std::vector<Coefficient> coefficients(varied.size());
  double unexplained = pooled.products.at(last, last);
  for (size_t i = 0; i < varied.size(); ++i) {
    coefficients[i].neighbour = pooled.neighbours[varied[i]];
    for (size_t j = 0; j < varied.size(); ++j) {
      coefficients[i].value +=
          inverse->at(i, j) * pooled.products.at(varied[j], last);
    }
    unexplained -= coefficients[i].value * pooled.products.at(varied[i], last);
  }
  const double variance = std::max(unexplained, 0.0) / freedom;
  for (size_t i = 0; i < varied.size(); ++i) {
    coefficients[i].error =
        std::sqrt(std::max(variance * inverse->at(i, i), 0.0));
  }
  return coefficients;
}

// The other neighbour whose effect is surely the smallest. A queue with one
// neighbour is compared with no neighbour at all.
Coefficient MildestOther(const std::vector<Coefficient>& coefficients,
                         const Coefficient& one) {
  const Coefficient* mildest = nullptr;
  for (const Coefficient& other : coefficients) {
    if (&other == &one) continue;
    const bool is_milder =
        mildest == nullptr ||
        other.value + other.error < mildest->value + mildest->error;
    if (is_milder) mildest = &other;
  }
  return mildest == nullptr ? Coefficient() : *mildest;
}

}  // namespace

bool InterferenceModel::OnSums(Incarnation guard, const InterferenceSums& sums,
                               Instant now) {
  const auto known = sums_.find(sums.queue);
  const bool has_room = known != sums_.end()
                            ? known->second.size() < options_.max_workers ||
                                  known->second.contains(guard)
                            : sums_.size() < options_.max_queues;
  if (!sums.IsValid() || !has_room) return false;
  sums_[sums.queue][guard] = {sums, now};
  return true;
}

std::vector<InterferencePair> InterferenceModel::Refresh(Instant now) {
  if (now - refreshed_at_ < options_.refresh_interval) return {};
  refreshed_at_ = now;
  for (auto& [queue, by_guard] : sums_) {
    std::erase_if(by_guard, [&](const auto& item) {
      return now - item.second.received_at > options_.sums_lifetime;
    });
  }
  std::erase_if(sums_, [](const auto& item) { return item.second.empty(); });
  std::map<std::string, Effects> effects;
  for (const auto& [queue, by_guard] : sums_) {
    effects[queue] = Estimate(queue);
  }
  std::vector<InterferencePair> changed;
  believed_ = 0;
  for (const auto& [queue, row] : effects) {
    for (const auto& [neighbour, pair] : row) {
      if (pair.is_believed) ++believed_;
      const bool was_believed = EffectOf(queue, neighbour) > 0;
      if (pair.is_believed != was_believed) changed.push_back(pair);
    }
  }
  for (const auto& [queue, row] : effects_) {
    for (const auto& [neighbour, pair] : row) {
      const auto now_known = effects.find(queue);
      const bool is_known =
          now_known != effects.end() && now_known->second.contains(neighbour);
      if (!pair.is_believed || is_known) continue;
      changed.push_back(pair);
      changed.back().is_believed = false;
    }
  }
  effects_ = std::move(effects);
  return changed;
}

InterferenceModel::Effects InterferenceModel::Estimate(
    const std::string& queue) const {
  const PooledSums pooled = Pool(sums_.at(queue));
  if (pooled.runs < options_.min_runs) return {};
  const std::vector<Coefficient> coefficients = Solve(pooled);
  Effects effects;
  for (const Coefficient& coefficient : coefficients) {
    const Coefficient mildest = MildestOther(coefficients, coefficient);
    InterferencePair pair;
    pair.queue = queue;
    pair.neighbour = coefficient.neighbour;
    pair.effect = coefficient.value - std::max(mildest.value, 0.0);
    pair.standard_error = std::hypot(coefficient.error, mildest.error);
    pair.runs = pooled.runs;
    const bool was_believed = EffectOf(queue, pair.neighbour) > 0;
    const double limit = was_believed ? 0.5 : 1.0;
    pair.is_believed =
        pair.effect > limit * options_.min_effect &&
        pair.effect > limit * options_.min_confidence * pair.standard_error;
    pair.effect = std::clamp(pair.effect, 0.0, options_.max_effect);
    effects.emplace(pair.neighbour, std::move(pair));
  }
  return effects;
}

double InterferenceModel::EffectOf(const std::string& queue,
                                   const std::string& neighbour) const {
  const auto row = effects_.find(queue);
  if (row == effects_.end()) return 0;
  const auto pair = row->second.find(neighbour);
  if (pair == row->second.end() || !pair->second.is_believed) return 0;
  return pair->second.effect;
}

double InterferenceModel::CostBeside(
    const std::string& queue, double share,
    const std::vector<QueueShare>& running) const {
  if (!has_beliefs()) return 0;
  double cost = 0;
  for (const QueueShare& neighbour : running) {
    cost += EffectOf(queue, neighbour.queue) * neighbour.share;
    cost += EffectOf(neighbour.queue, queue) * share;
  }
  return cost;
}

std::vector<InterferencePair> InterferenceModel::pairs() const {
  std::vector<InterferencePair> out;
  for (const auto& [queue, row] : effects_) {
    for (const auto& [neighbour, pair] : row) out.push_back(pair);
  }
  return out;
}

}  // namespace qs
