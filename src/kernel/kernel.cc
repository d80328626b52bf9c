#include "kernel/kernel.h"

#include <random>
#include <utility>

#include "store/etcd_store.h"

namespace qs {
namespace {

Incarnation RandomIncarnation() {
  std::random_device device;
  uint64_t value = 0;
  // The value 0 means that there is no incarnation.
  while (value == 0) {
    value = (static_cast<uint64_t>(device()) << 32U) | device();
  }
  return {value};
}

}  // namespace

Kernel::Kernel(Settings settings)
    : settings(std::move(settings)),
      deployment(
          DeploymentRegistry::Instance().Make(this->settings.deployment)),
      incarnation(RandomIncarnation()) {}

std::unique_ptr<PlatformStore> Kernel::MakeStore() const {
  if (deployment != nullptr) {
    return deployment->MakeStore(settings.store, settings.store_timeout);
  }
  if (settings.platform_endpoint.empty()) return nullptr;
  return EtcdStore::Make(settings.platform_endpoint, settings.platform_timeout);
}

RoleRegistry& RoleRegistry::Instance() {
  static RoleRegistry registry;
  return registry;
}

bool RoleRegistry::Register(std::string name, RoleFactory factory) {
  rows_.push_back({std::move(name), factory});
  return true;
}

std::unique_ptr<RolePlugin> RoleRegistry::Make(const std::string& name,
                                               Kernel* kernel) const {
  for (const Row& row : rows_) {
    if (row.name == name) return row.factory(kernel);
  }
  return nullptr;
}

}  // namespace qs
