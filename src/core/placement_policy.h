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

// A backend server that can accept a task now.
struct Candidate {
  uint32_t slots = 0;
  uint32_t outstanding = 0;  // Estimated running and queued tasks.
  bool same_zone = false;    // Same availability zone as the home.
};

// Chooses the backend server for a task. Implementations register under a name
// in PlacementRegistry; the settings name the one to use.
class PlacementPolicy {
 public:
  using Random = std::minstd_rand;

  virtual ~PlacementPolicy() = default;

  // Returns the index of the chosen candidate. `candidates` must not be empty,
  // and each candidate must have capacity for one more task.
  size_t Choose(std::span<const Candidate> candidates, Random* random) const {
    return OnChoose(candidates, random);
  }

 private:
  virtual size_t OnChoose(std::span<const Candidate> candidates,
                          Random* random) const = 0;
};

using PlacementFactory = std::unique_ptr<PlacementPolicy> (*)();

// The placement policies linked into the program, by name.
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
