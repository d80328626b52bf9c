#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quetzalspindle/platform_store.h"

namespace qs {

// The operators' configuration as the key-value service holds it.
struct StoredConfig {
  uint64_t version = 0;
  std::string change_id;  // Of the change that made this version.
  std::string author;
  std::string document;
  std::vector<std::string>
      history;               // Ids of the changes before it, newest last.
  int64_t mod_revision = 0;  // Zero when nothing was ever stored.
  int64_t store_revision =
      0;  // Of the whole store at Read; a watch goes on after.
};

// A change that an operator asks for.
struct ConfigChange {
  std::string change_id;  // Unique to the change; repeats carry the same.
  std::string author;
  uint64_t base_version = 0;  // The version that the operator started from.
  std::string document;
};

enum class ChangeState {
  kAccepted,  // In the store, now or by an earlier try of the same change.
  kLostRace,  // Another version stands in its place; nothing was written.
  kUnknown,   // The store did not tell. The same change may be tried again.
};

struct ChangeOutcome {
  ChangeState state = ChangeState::kUnknown;
  StoredConfig current;  // What the store holds, where that is known.
};

// Reads and writes the configuration by compare-and-swap.
class ConfigStore {
 public:
  static constexpr const char* kKey = "/quetzalspindle/config";

  // `store` must outlive the object.
  explicit ConfigStore(PlatformStore* store) : store_(store) {}

  // Version Configuration::kInitial when nothing was ever stored.
  Result<StoredConfig> Read() const;
  // Writes a change at most once however often its reply is lost: after each
  // doubtful reply the store is read for the change's id.
  ChangeOutcome Apply(const ConfigChange& change) const;

  static Result<StoredConfig> Decode(const KeyValue& entry);

 private:
  PlatformStore* store_;
};

}  // namespace qs
