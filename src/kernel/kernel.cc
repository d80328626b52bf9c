#include "kernel/kernel.h"

#include <sys/resource.h>

#include <algorithm>
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

constexpr size_t kKib = 1024;

size_t CountDescriptors(const Settings& settings) {
  if (settings.descriptors > 0) return settings.descriptors;
  constexpr rlim_t kFallback = 1024;
  constexpr rlim_t kMost = 65'536;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kFallback;
  return std::min(limit.rlim_cur, kMost);
}

IntakeLimits IntakeLimitsOf(const Settings& settings, size_t descriptors,
                            const MemoryPlan& memory) {
  IntakeLimits limits;
  limits.max_bytes =
      std::min(settings.max_intake_kib * kKib, memory.intake_bytes);
  limits.ordinary_bytes = settings.ordinary_kib * kKib;
  limits.ordinary_percent = settings.ordinary_percent;
  limits.max_connections =
      settings.max_connections > 0
          ? settings.max_connections
          : memory.MaxConnections(settings.receive_buffer_bytes,
                                  descriptors / 4 * 3);
  limits.max_connections_of_address = settings.max_connections_of_address;
  return limits;
}

}  // namespace

Kernel::Kernel(Settings settings)
    : settings(std::move(settings)),
      deployment(
          DeploymentRegistry::Instance().Make(this->settings.deployment)),
      incarnation(RandomIncarnation()),
      descriptors(CountDescriptors(this->settings)),
      memory(MemoryPlan::Make(this->settings.memory_mb)),
      intake(IntakeLimitsOf(this->settings, descriptors, memory),
             [this](HttpRefusal refusal) {
               metrics.ClientRefused(HttpRefusalName(refusal));
             }) {}

std::unique_ptr<PlatformStore> Kernel::MakeStore() const {
  if (deployment != nullptr) {
    return deployment->MakeStore(settings.store, settings.store_timeout,
                                 settings.max_answer_kib * kKib);
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
