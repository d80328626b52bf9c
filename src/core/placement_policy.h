#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "quetzalspindle/result.h"

namespace qs {

// One backend server that could take a task now.
struct Candidate {
  uint32_t slots = 0;
  uint32_t outstanding = 0;  // Estimate of running and queued tasks there.
  bool same_zone = false;    // As the home.
};

// Chooses where a task goes. Implementations register by name, see
// PlacementRegistry; the settings choose one.
class PlacementPolicy {
 public:
  using Random = std::minstd_rand;

  virtual ~PlacementPolicy() = default;

  // The index of the chosen candidate. There is at least one, and each has
  // room.
  size_t Choose(std::span<const Candidate> candidates, Random* random) const {
    return OnChoose(candidates, random);
  }

 private:
  virtual size_t OnChoose(std::span<const Candidate> candidates,
                          Random* random) const = 0;
};

using PlacementFactory = std::unique_ptr<PlacementPolicy> (*)();

// The policies linked into the program.
class PlacementRegistry {
 public:
  static PlacementRegistry& Instance();

  // Returns true, so that a namespace-scope constant can register a policy.
  bool Register(std::string name, PlacementFactory factory);
  std::unique_ptr<PlacementPolicy> Make(const std::string& name) const;
  std::vector<std::string> names() const;

 private:
  struct Row {
    std::string name;
    PlacementFactory factory;
  };
  std::vector<Row> rows_;
};

}  // namespace qs
