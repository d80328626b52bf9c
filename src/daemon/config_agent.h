#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "store/config_store.h"

namespace qs {

// Where a configuration lies in the key-value service, and how it is read.
struct ConfigSource {
  std::string key;
  std::function<Result<StoredConfig>(const KeyValue&)> decode;
  // What holds where nothing is stored; without it, nothing does.
  std::optional<StoredConfig> initial;
  Millis pause{1000};  // Between two tries to follow it.

  // The operators' declarations.
  static ConfigSource Declarations();
};

// An entry's watch on the configuration in the key-value service. Works on a
// thread of its own and survives outages of the service.
class ConfigAgent {
 public:
  // `on_config` is called on the agent's thread, for every version seen.
  static std::unique_ptr<ConfigAgent> Make(
      ConfigSource source, std::unique_ptr<PlatformStore> store,
      std::function<void(StoredConfig)> on_config);
  ~ConfigAgent();
  // Makes no further call to the store; does not wait for the present one.
  void BeginStop() { stopped_ = true; }
  ConfigAgent(const ConfigAgent&) = delete;
  ConfigAgent& operator=(const ConfigAgent&) = delete;

 private:
  ConfigAgent(ConfigSource source, std::unique_ptr<PlatformStore> store,
              std::function<void(StoredConfig)> on_config);

  void Run();
  // Reads the present version, then delivers changes until the watch ends.
  void Follow();
  void Deliver(const KeyValue& entry);
  void Pause() const;
  void NoteReachable(bool is_reachable, const std::error_code& error);

  ConfigSource source_;
  std::unique_ptr<PlatformStore> store_;
  bool was_reachable_ = true;
  std::function<void(StoredConfig)> on_config_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace qs
