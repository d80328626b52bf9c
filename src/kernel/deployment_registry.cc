#include <utility>

#include "quetzalspindle/deployment.h"

namespace qs {

DeploymentRegistry& DeploymentRegistry::Instance() {
  static DeploymentRegistry registry;
  return registry;
}

bool DeploymentRegistry::Register(std::string name, DeploymentFactory factory) {
  rows_.push_back({std::move(name), factory});
  return true;
}

std::unique_ptr<Deployment> DeploymentRegistry::Make(
    const std::string& name) const {
  for (const Row& row : rows_) {
    if (row.name == name) return row.factory();
  }
  return nullptr;
}

std::vector<std::string> DeploymentRegistry::names() const {
  std::vector<std::string> names;
  names.reserve(rows_.size());
  for (const Row& row : rows_) names.push_back(row.name);
  return names;
}

}  // namespace qs
