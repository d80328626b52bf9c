#include "core/intake_budget.h"

#include <algorithm>
#include <tuple>

namespace qs {
namespace {

constexpr size_t kPercent = 100;

}  // namespace

IntakeBudget::Admission IntakeBudget::Open(uint32_t address) {
  Admission admission;
  const size_t most = limits_.max_connections_of_address;
  const auto of_address = by_address_.find(address);
  if (most > 0 && of_address != by_address_.end() &&
      of_address->second >= most) {
    admission.to_close = FindIdle(address);
    if (!admission.to_close) admission.verdict = Verdict::kTooManyOfAddress;
  } else if (connections_.size() >= limits_.max_connections) {
    admission.to_close = FindIdle(std::nullopt);
    if (!admission.to_close) admission.verdict = Verdict::kTooMany;
  }
  if (admission.verdict != Verdict::kAdmitted) return admission;
  admission.id = next_id_++;
  connections_[admission.id].address = address;
  ++by_address_[address];
  return admission;
}

void IntakeBudget::Close(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  SetBytes(&found->second, 0);
  const auto of_address = by_address_.find(found->second.address);
  if (--of_address->second == 0) by_address_.erase(of_address);
  connections_.erase(found);
}

void IntakeBudget::Update(Id id, size_t bytes, Phase phase) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  SetBytes(&found->second, bytes);
  found->second.phase = phase;
}

void IntakeBudget::OnServed(Id id) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) found->second.served = next_served_++;
}

void IntakeBudget::SetBytes(Connection* connection, size_t bytes) {
  bytes_ -= connection->bytes;
  if (IsLarge(*connection)) large_bytes_ -= connection->bytes;
  connection->bytes = bytes;
  bytes_ += bytes;
  if (IsLarge(*connection)) large_bytes_ += bytes;
}

std::optional<IntakeBudget::Id> IntakeBudget::FindIdle(
    std::optional<uint32_t> address) const {
  // Those never served come first, and among them the order of opening counts.
  const auto rank = [](const auto& entry) {
    return std::tuple(entry.second.served, entry.first);
  };
  auto found = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.phase != Phase::kReading) continue;
    if (address && it->second.address != *address) continue;
    if (found == connections_.end() || rank(*it) < rank(*found)) found = it;
  }
  if (found == connections_.end()) return std::nullopt;
  return found->first;
}

std::vector<IntakeBudget::Id> IntakeBudget::TakeOverBudget() {
  const size_t max_large =
      limits_.max_bytes / kPercent * (kPercent - limits_.ordinary_percent);
  std::vector<Id> yielding;
  while (bytes_ > limits_.max_bytes || large_bytes_ > max_large) {
    const auto rank = [](const auto& entry) {
      return std::tuple(entry.second.phase != Phase::kInService,
                        entry.second.bytes, entry.first);
    };
    const auto found = std::max_element(
        connections_.begin(), connections_.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    const bool can_yield = found != connections_.end() &&
                           found->second.phase != Phase::kInService &&
                           found->second.bytes > 0;
    if (!can_yield) break;
    SetBytes(&found->second, 0);
    yielding.push_back(found->first);
  }
  return yielding;
}

}  // namespace qs
