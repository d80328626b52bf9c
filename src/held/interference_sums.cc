#include "held/interference_sums.h"

#include <algorithm>
#include <cmath>

namespace qs {
namespace {

// More runs than a worker can end within the half-life of any of them.
constexpr double kMaxRuns = 1e9;
constexpr double kMaxProduct = 1e12;

}  // namespace

bool InterferenceSums::IsValid() const {
  if (neighbours.size() > kMaxNeighbourQueues ||
      products.size() != size() * size() || !(runs >= 0 && runs <= kMaxRuns)) {
    return false;
  }
  const bool is_finite =
      std::all_of(products.begin(), products.end(),
                  [](double value) { return std::abs(value) <= kMaxProduct; });
  if (!is_finite) return false;
  for (size_t row = 0; row < size(); ++row) {
    if (product(row, row) < 0) return false;
  }
  return true;
}

InterferenceAccumulator::InterferenceAccumulator(std::string queue,
                                                 Millis half_life)
    : half_life_(half_life), means_(1, 0.0) {
  sums_.queue = std::move(queue);
  sums_.products.assign(1, 0.0);
}

double InterferenceAccumulator::DecayUntil(Instant now) const {
  const double halvings =
      static_cast<double>((now - aged_at_).count()) /
      static_cast<double>(Clock::duration(half_life_).count());
  return std::exp2(-std::max(halvings, 0.0));
}

size_t InterferenceAccumulator::RowOf(const std::string& neighbour) {
  const auto known =
      std::find(sums_.neighbours.begin(), sums_.neighbours.end(), neighbour);
  const auto row = static_cast<size_t>(known - sums_.neighbours.begin());
  if (known != sums_.neighbours.end()) return row;
  if (sums_.neighbours.size() == kMaxNeighbourQueues) return sums_.size();
  // The share of a new neighbour was zero in all runs before.
  const size_t old_size = sums_.size();
  std::vector<double> products((old_size + 1) * (old_size + 1), 0.0);
  const auto moved = [&](size_t index) {
    return index < row ? index : index + 1;
  };
  for (size_t i = 0; i < old_size; ++i) {
    for (size_t j = 0; j < old_size; ++j) {
      products[moved(i) * (old_size + 1) + moved(j)] = sums_.product(i, j);
    }
  }
  sums_.neighbours.push_back(neighbour);
  sums_.products = std::move(products);
  means_.insert(means_.begin() + static_cast<ptrdiff_t>(row), 0.0);
  return row;
}

void InterferenceAccumulator::Add(const std::vector<QueueShare>& neighbours,
                                  double log_ratio, Instant now) {
  const double decay = DecayUntil(now);
  aged_at_ = std::max(aged_at_, now);
  sums_.runs *= decay;
  for (double& product : sums_.products) product *= decay;
  std::vector<std::pair<size_t, double>> shares;
  shares.reserve(neighbours.size());
  for (const QueueShare& neighbour : neighbours) {
    shares.emplace_back(RowOf(neighbour.queue), neighbour.share);
  }
  std::vector<double> deviation(sums_.size(), 0.0);
  for (const auto& [row, share] : shares) {
    if (row < sums_.neighbours.size()) deviation[row] += share;
  }
  deviation.back() = log_ratio;
  for (size_t i = 0; i < deviation.size(); ++i) deviation[i] -= means_[i];
  // Weighted update of means and centred products by one observation.
  const double factor = sums_.runs / (sums_.runs + 1);
  sums_.runs += 1;
  for (size_t i = 0; i < deviation.size(); ++i) {
    means_[i] += deviation[i] / sums_.runs;
    for (size_t j = 0; j < deviation.size(); ++j) {
      sums_.products[i * deviation.size() + j] +=
          factor * deviation[i] * deviation[j];
    }
  }
}

InterferenceSums InterferenceAccumulator::SumsAt(Instant now) const {
  InterferenceSums aged = sums_;
  const double decay = DecayUntil(now);
  aged.runs *= decay;
  for (double& product : aged.products) product *= decay;
  return aged;
}

}  // namespace qs
