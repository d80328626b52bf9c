#include "store/config_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/configuration.h"

namespace qs {
namespace {

using nlohmann::json;

constexpr int kMaxAttempts = 4;
constexpr size_t kHistoryLength = 64;

std::string Encode(const ConfigChange& change, const StoredConfig& base) {
  std::vector<std::string> history = base.history;
  if (!base.change_id.empty()) history.push_back(base.change_id);
  if (history.size() > kHistoryLength) history.erase(history.begin());
  return json{{"version", change.base_version + 1},
              {"change_id", change.change_id},
              {"author", change.author},
              {"document", change.document},
              {"history", history}}
      .dump();
}

// Whether the change made this version or an earlier one.
bool Contains(const StoredConfig& config, const std::string& change_id) {
  return config.change_id == change_id ||
         std::find(config.history.begin(), config.history.end(), change_id) !=
             config.history.end();
}

}  // namespace

Result<StoredConfig> ConfigStore::Decode(const KeyValue& entry) {
  try {
    const json value = json::parse(entry.value);
    StoredConfig config;
    config.version = value.at("version").get<uint64_t>();
    config.change_id = value.at("change_id").get<std::string>();
    config.author = value.at("author").get<std::string>();
    config.document = value.at("document").get<std::string>();
    config.history = value.value("history", std::vector<std::string>());
    config.mod_revision = entry.mod_revision;
    return config;
  } catch (const std::exception&) {
    return tl::unexpected(std::make_error_code(std::errc::bad_message));
  }
}

Result<StoredConfig> ConfigStore::Read() const {
  const Result<StoreRange> range = store_->ReadPrefix(kKey);
  if (!range) return tl::unexpected(range.error());
  Result<StoredConfig> config = StoredConfig{};
  config->version = Configuration::kInitial;
  for (const KeyValue& entry : range->entries) {
    if (entry.key == kKey) config = Decode(entry);
  }
  if (config) config->store_revision = range->revision;
  return config;
}

ChangeOutcome ConfigStore::Apply(const ConfigChange& change) const {
  ChangeOutcome outcome;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const Result<StoredConfig> current = Read();
    if (!current) continue;
    outcome.current = *current;
    if (Contains(*current, change.change_id)) {
      outcome.state = ChangeState::kAccepted;
      return outcome;
    }
    if (current->version != change.base_version) {
      outcome.state = ChangeState::kLostRace;
      return outcome;
    }
    // The reply is ignored because the next iteration reads the outcome. A
    // write that is still in transit then does no harm: its expected revision
    // can match at most once.
    (void)store_->CompareAndSwap(kKey, current->mod_revision,
                                 Encode(change, *current));
  }
  const Result<StoredConfig> last = Read();
  if (!last) return outcome;
  outcome.current = *last;
  if (Contains(*last, change.change_id)) {
    outcome.state = ChangeState::kAccepted;
  } else if (last->version != change.base_version) {
    outcome.state = ChangeState::kLostRace;
  }
  return outcome;
}

}  // namespace qs
