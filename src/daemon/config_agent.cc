#include "daemon/config_agent.h"

#include <utility>

namespace qs {
namespace {

constexpr Millis kPause{1000};
constexpr Millis kNap{50};

}  // namespace

std::unique_ptr<ConfigAgent> ConfigAgent::Make(
    std::unique_ptr<PlatformStore> store,
    std::function<void(StoredConfig)> on_config) {
  std::unique_ptr<ConfigAgent> agent(
      new ConfigAgent(std::move(store), std::move(on_config)));
  agent->thread_ = std::thread([raw = agent.get()] { raw->Run(); });
  return agent;
}

ConfigAgent::ConfigAgent(std::unique_ptr<PlatformStore> store,
                         std::function<void(StoredConfig)> on_config)
    : store_(std::move(store)), on_config_(std::move(on_config)) {}

ConfigAgent::~ConfigAgent() {
  stopped_ = true;
  thread_.join();
}

void ConfigAgent::Run() {
  while (!stopped_) {
    Follow();
    Pause();
  }
}

void ConfigAgent::Follow() {
  const Result<StoredConfig> present = ConfigStore(store_.get()).Read();
  if (!present) return;
  on_config_(*present);
  // From the revision of the read on, so that nothing falls between.
  (void)store_->Watch(
      ConfigStore::kKey, present->store_revision + 1,
      [this](const StoreEntry& entry) {
        const Result<StoredConfig> config = ConfigStore::Decode(entry);
        if (config) on_config_(*config);
      },
      [this] { return !stopped_; });
}

void ConfigAgent::Pause() const {
  for (Millis left = kPause; left > Millis(0) && !stopped_; left -= kNap) {
    std::this_thread::sleep_for(kNap);
  }
}

}  // namespace qs
