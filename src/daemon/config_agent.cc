#include "daemon/config_agent.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/configuration.h"

namespace qs {
namespace {

constexpr Millis kStopCheckInterval{50};
// Pause after a change of the evacuations before they are read anew, so that
// many changes in a row cost few calls.
constexpr Millis kChangePause{50};
constexpr size_t kMaxLoggedKeys = 8;  // Of one read.
constexpr size_t kMaxLoggedKeyBytes = 200;

}  // namespace

ConfigSource ConfigSource::Declarations() {
  StoredConfig initial;
  initial.version = Configuration::kInitial;
  ConfigSource source;
  source.key = ConfigStore::kKey;
  source.decode = &ConfigStore::Decode;
  source.initial = initial;
  return source;
}

std::unique_ptr<ConfigAgent> ConfigAgent::Make(
    ConfigSource source, std::unique_ptr<PlatformStore> store,
    std::function<void(StoredConfig)> on_config,
    std::function<void(StoredEvacuations)> on_evacuations) {
  std::unique_ptr<ConfigAgent> agent(
      new ConfigAgent(std::move(source), std::move(store), std::move(on_config),
                      std::move(on_evacuations)));
  agent->thread_ = std::thread([raw = agent.get()] { raw->Run(); });
  return agent;
}

ConfigAgent::ConfigAgent(ConfigSource source,
                         std::unique_ptr<PlatformStore> store,
                         std::function<void(StoredConfig)> on_config,
                         std::function<void(StoredEvacuations)> on_evacuations)
    : source_(std::move(source)),
      store_(std::move(store)),
      on_config_(std::move(on_config)),
      on_evacuations_(std::move(on_evacuations)) {
  if (source_.watched_prefix.empty()) source_.watched_prefix = source_.key;
}

ConfigAgent::~ConfigAgent() {
  stopped_ = true;
  thread_.join();
}

void ConfigAgent::Run() {
  while (!stopped_) {
    Wait(ReadAndWatch());
  }
}

Millis ConfigAgent::ReadAndWatch() {
  const Instant began = Clock::now();
  const Result<StoreRange> range = store_->ReadPrefix(source_.watched_prefix);
  LogReachability(range.has_value(), range ? std::error_code() : range.error());
  if (!range) return source_.retry_delay;
  DeliverEvacuations(*range);
  const auto entry =
      std::find_if(range->entries.begin(), range->entries.end(),
                   [&](const KeyValue& e) { return e.key == source_.key; });
  if (entry != range->entries.end()) {
    Deliver(*entry);
  } else if (source_.initial) {
    on_config_(*source_.initial);
  }
  // Watches from the revision after the read, so that no change is missed
  // between the two.
  bool have_evacuations_changed = false;
  const std::error_code ended = store_->Watch(
      source_.watched_prefix, range->revision + 1,
      [&](const KeyValue& changed) {
        // What was in force last stays in force if its key is deleted.
        if (changed.key == source_.key && !changed.is_deleted) Deliver(changed);
        if (IsEvacuation(changed)) have_evacuations_changed = true;
      },
      [&] { return !stopped_ && !have_evacuations_changed; });
  if (have_evacuations_changed) return kChangePause;
  if (!ended) return source_.retry_delay;
  // Either the store no longer has the history after this revision, or it is
  // unreachable. The next read shows which.
  Log(LogLevel::kInfo, "watch_ended",
      {{"key", source_.key},
       {"from_revision", std::to_string(range->revision + 1)},
       {"error", ended.message()}});
  const bool is_overdue = ended == std::errc::timed_out &&
                          Clock::now() - began >= source_.retry_delay;
  return is_overdue ? Millis(0) : source_.retry_delay;
}

bool ConfigAgent::IsEvacuation(const KeyValue& entry) const {
  return !source_.evacuation_prefix.empty() &&
         entry.key.starts_with(source_.evacuation_prefix);
}

// The key alone evacuates its zone, whatever its value.
void ConfigAgent::DeliverEvacuations(const StoreRange& range) {
  if (source_.evacuation_prefix.empty()) return;
  StoredEvacuations stored;
  std::set<std::string> zones;
  for (const KeyValue& entry : range.entries) {
    if (!IsEvacuation(entry)) continue;
    std::string zone = entry.key.substr(source_.evacuation_prefix.size());
    const bool is_odd = !IsZoneName(zone) || zones.size() >= kMaxEvacuatedZones;
    if (!is_odd) {
      zones.insert(std::move(zone));
    } else if (++stored.odd_keys <= kMaxLoggedKeys) {
      Log(LogLevel::kWarn, "evacuation_ignored",
          {{"key", entry.key.substr(0, kMaxLoggedKeyBytes)},
           {"revision", std::to_string(entry.mod_revision)},
           {"reason", IsZoneName(zone) ? "too many zones" : "names no zone"}});
    }
  }
  stored.evacuations = {static_cast<uint64_t>(range.revision),
                        std::move(zones)};
  on_evacuations_(std::move(stored));
}

void ConfigAgent::Deliver(const KeyValue& entry) {
  const Result<StoredConfig> config = source_.decode(entry);
  if (config) {
    on_config_(*config);
    return;
  }
  Log(LogLevel::kError, "configuration_unreadable",
      {{"key", entry.key},
       {"revision", std::to_string(entry.mod_revision)},
       {"error", config.error().message()}});
}

void ConfigAgent::LogReachability(bool is_reachable,
                                  const std::error_code& error) {
  if (is_reachable == was_reachable_) return;
  was_reachable_ = is_reachable;
  if (is_reachable) {
    Log(LogLevel::kInfo, "store_regained", {});
  } else {
    Log(LogLevel::kWarn, "store_lost", {{"error", error.message()}});
  }
}

void ConfigAgent::Wait(Millis duration) const {
  for (Millis remaining = duration; remaining > Millis(0) && !stopped_;
       remaining -= kStopCheckInterval) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

}  // namespace qs
