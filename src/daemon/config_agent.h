#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "platform/config_store.h"

namespace qs {

// An entry's watch on the configuration in the key-value service. Works on a
// thread of its own and survives outages of the service.
class ConfigAgent {
 public:
  // `on_config` is called on the agent's thread, for every version seen.
  static std::unique_ptr<ConfigAgent> Make(
      std::unique_ptr<PlatformStore> store,
      std::function<void(StoredConfig)> on_config);
  ~ConfigAgent();
  ConfigAgent(const ConfigAgent&) = delete;
  ConfigAgent& operator=(const ConfigAgent&) = delete;

 private:
  ConfigAgent(std::unique_ptr<PlatformStore> store,
              std::function<void(StoredConfig)> on_config);

  void Run();
  // Reads the present version, then delivers changes until the watch ends.
  void Follow();
  void Pause() const;

  std::unique_ptr<PlatformStore> store_;
  std::function<void(StoredConfig)> on_config_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace qs
