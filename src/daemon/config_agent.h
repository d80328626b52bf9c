#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "quetzalspindle/evacuations.h"
#include "store/config_store.h"

namespace qs {

// The key of a configuration in the key-value service, and how its value is
// decoded.
struct ConfigSource {
  std::string key;
  std::function<Result<StoredConfig>(const KeyValue&)> decode;
  // Delivered if nothing is stored under the key. If unset, nothing is
  // delivered in that case.
  std::optional<StoredConfig> initial;
  // Delay before the next read after a failure or the end of a watch.
  Millis retry_delay{1000};
  // If set, the evacuations under this prefix are read along with the
  // configuration, and `watched_prefix` covers both, so that one read and one
  // watch serve for them.
  std::string evacuation_prefix{};
  std::string watched_prefix{};

  // The operators' declarations.
  static ConfigSource Declarations();
};

// The evacuations in a read of the store, and how many keys were left out for
// no zone's name or for too many zones.
struct StoredEvacuations {
  Evacuations evacuations;
  size_t odd_keys = 0;
};

// Watches an entry's configuration, and the evacuations, in the key-value
// service. Runs on its own thread and retries during outages of the service.
class ConfigAgent {
 public:
  // `on_config` is called on the agent's thread, for every version that was
  // read; `on_evacuations` for every read of the evacuations.
  static std::unique_ptr<ConfigAgent> Make(
      ConfigSource source, std::unique_ptr<PlatformStore> store,
      std::function<void(StoredConfig)> on_config,
      std::function<void(StoredEvacuations)> on_evacuations = {});
  ~ConfigAgent();
  // Makes no further call to the store. Does not wait for a call in progress.
  void BeginStop() { stopped_ = true; }
  ConfigAgent(const ConfigAgent&) = delete;
  ConfigAgent& operator=(const ConfigAgent&) = delete;

 private:
  ConfigAgent(ConfigSource source, std::unique_ptr<PlatformStore> store,
              std::function<void(StoredConfig)> on_config,
              std::function<void(StoredEvacuations)> on_evacuations);

  void Run();
  // Reads what is stored, then delivers changes of the configuration until the
  // watch ends. Returns the pause before the next read: short if the
  // evacuations have changed, and none if the watch got no answer, as the
  // connection may have stopped delivering.
  Millis ReadAndWatch();
  void DeliverEvacuations(const StoreRange& range);
  bool IsEvacuation(const KeyValue& entry) const;
  void Deliver(const KeyValue& entry);
  void Wait(Millis duration) const;
  void LogReachability(bool is_reachable, const std::error_code& error);

  ConfigSource source_;
  std::unique_ptr<PlatformStore> store_;
  bool was_reachable_ = true;
  std::function<void(StoredConfig)> on_config_;
  std::function<void(StoredEvacuations)> on_evacuations_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace qs
