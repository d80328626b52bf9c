#include "core/placement_policy.h"

#include <algorithm>
#include <utility>

namespace qs {
namespace {

// Compares outstanding tasks per slot. Cross-multiplying compares the ratios
// exactly in integers.
bool IsLessLoaded(const Candidate& a, const Candidate& b) {
  const uint64_t left = uint64_t{a.outstanding} * b.slots;
  const uint64_t right = uint64_t{b.outstanding} * a.slots;
  return left < right;
}

size_t RandomIndex(size_t count, PlacementPolicy::Random* random) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(*random);
}

class RandomPolicy final : public PlacementPolicy {
  size_t OnChoose(std::span<const Candidate> candidates,
                  Random* random) const override {
    return RandomIndex(candidates.size(), random);
  }
};

class TwoChoicesPolicy final : public PlacementPolicy {
  size_t OnChoose(std::span<const Candidate> candidates,
                  Random* random) const override {
    const size_t a = RandomIndex(candidates.size(), random);
    const size_t b = RandomIndex(candidates.size(), random);
    return IsLessLoaded(candidates[b], candidates[a]) ? b : a;
  }
};

// Chooses the least loaded candidate. The search starts at a random index, so
// that homes with equal load data do not all choose the same one of several
// equally loaded backend servers.
class LeastLoadedPolicy : public PlacementPolicy {
 protected:
  virtual bool IsBetter(const Candidate& a, const Candidate& b) const {
    return IsLessLoaded(a, b);
  }

 private:
  size_t OnChoose(std::span<const Candidate> candidates,
                  Random* random) const override {
    const size_t start = RandomIndex(candidates.size(), random);
    size_t best = start;
    for (size_t step = 1; step < candidates.size(); ++step) {
      const size_t i = (start + step) % candidates.size();
      if (IsBetter(candidates[i], candidates[best])) best = i;
    }
    return best;
  }
};

// Prefers candidates with a free slot in the home's own availability zone;
// among these, or when there are none, chooses the least loaded.
class ZoneFirstPolicy final : public LeastLoadedPolicy {
  static bool IsFreeNearby(const Candidate& c) {
    return c.same_zone && c.outstanding < c.slots;
  }
  bool IsBetter(const Candidate& a, const Candidate& b) const override {
    const bool a_near = IsFreeNearby(a);
    const bool b_near = IsFreeNearby(b);
    if (a_near != b_near) return a_near;
    return IsLessLoaded(a, b);
  }
};

template <typename T>
std::unique_ptr<PlacementPolicy> MakePolicy() {
  return std::make_unique<T>();
}

const bool kRegistered = [] {
  auto& registry = PlacementRegistry::Instance();
  registry.Register("random", &MakePolicy<RandomPolicy>);
  registry.Register("two_choices", &MakePolicy<TwoChoicesPolicy>);
  registry.Register("least_loaded", &MakePolicy<LeastLoadedPolicy>);
  registry.Register("zone_first", &MakePolicy<ZoneFirstPolicy>);
  return true;
}();

}  // namespace

PlacementRegistry& PlacementRegistry::Instance() {
  static PlacementRegistry registry;
  return registry;
}

bool PlacementRegistry::Register(std::string name, PlacementFactory factory) {
  rows_.push_back({std::move(name), factory});
  return true;
}

std::unique_ptr<PlacementPolicy> PlacementRegistry::Make(
    const std::string& name) const {
  for (const Row& row : rows_) {
    if (row.name == name) return row.factory();
  }
  return nullptr;
}

std::vector<std::string> PlacementRegistry::names() const {
  std::vector<std::string> names;
  names.reserve(rows_.size());
  for (const Row& row : rows_) names.push_back(row.name);
  return names;
}

}  // namespace qs
