#include "held/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace qs {
namespace {

// A queue competes until it got nothing for this multiple of `memory`.
constexpr int kForgetAfter = 4;
// Approximate number of tasks that the moving average of horizons covers.
constexpr int kHorizonSamples = 32;

bool IsUsableWeight(double weight) {
  return std::isfinite(weight) && weight > 0;
}

}  // namespace

size_t FairShares::SetWeights(const Catalog& catalog) {
  size_t rejected = 0;
  std::map<std::string, double> weights;
  for (const QueueDeclaration& queue : catalog.queues) {
    const bool is_usable = IsUsableWeight(queue.weight);
    weights[queue.name] = is_usable ? queue.weight : WeightOf(queue.name);
    if (!is_usable) ++rejected;
  }
  weights_ = std::move(weights);
  competing_weight_ = 0;
  for (const auto& [name, received] : received_) {
    competing_weight_ += WeightOf(name);
  }
  return rejected;
}

double FairShares::WeightOf(const std::string& queue) const {
  const auto found = weights_.find(queue);
  return found == weights_.end() ? 1 : found->second;
}

double FairShares::Discounted(const Received& received, Instant now) const {
  const double age = std::chrono::duration<double>(now - received.at) /
                     std::chrono::duration<double>(options_.memory);
  return received.work * std::exp(-std::max(age, 0.0));
}

void FairShares::Add(Received* received, uint64_t work, Instant now) const {
  received->work = Discounted(*received, now) + static_cast<double>(work);
  received->at = now;
}

void FairShares::Forget(Instant now) {
  if (now - forgot_at_ < options_.memory) return;
  forgot_at_ = now;
  for (auto item = received_.begin(); item != received_.end();) {
    if (now - item->second.at <= options_.memory * kForgetAfter) {
      ++item;
      continue;
    }
    competing_weight_ -= WeightOf(item->first);
    item = received_.erase(item);
  }
  if (received_.empty()) competing_weight_ = 0;
}

void FairShares::OnDispatched(const std::string& queue, uint64_t work,
                              Millis horizon, Instant now) {
  Forget(now);
  const auto [item, is_new] = received_.try_emplace(queue);
  Received& received = item->second;
  if (is_new) {
    competing_weight_ += WeightOf(queue);
    received.horizon = horizon;
  }
  received.horizon += (horizon - received.horizon) / kHorizonSamples;
  Add(&received, work, now);
  Add(&total_, work, now);
}

void FairShares::OnReturned(const std::string& queue, uint64_t work) {
  const auto found = received_.find(queue);
  if (found == received_.end()) return;
  const double returned =
      std::min(found->second.work, static_cast<double>(work));
  found->second.work -= returned;
  total_.work = std::max(total_.work - returned, 0.0);
}

std::vector<FairShares::Overtaking> FairShares::OvertakingOf(
    Millis horizon, Instant now) const {
  std::vector<Overtaking> overtaking;
  const double total = Discounted(total_, now);
  if (total <= 0) return overtaking;
  for (const auto& [name, received] : received_) {
    if (received.horizon >= horizon) continue;
    overtaking.push_back(
        {Discounted(received, now) / total, horizon - received.horizon});
  }
  return overtaking;
}

double FairShares::GuaranteeOf(const std::string& queue) const {
  const double weight = WeightOf(queue);
  const double sum = received_.contains(queue) ? competing_weight_
                                               : competing_weight_ + weight;
  return options_.guaranteed * weight / std::max(sum, weight);
}

bool FairShares::IsBelowShare(const std::string& queue, Instant now) const {
  const auto found = received_.find(queue);
  const double own =
      found == received_.end() ? 0 : Discounted(found->second, now);
  return own < Discounted(total_, now) * GuaranteeOf(queue);
}

}  // namespace qs
