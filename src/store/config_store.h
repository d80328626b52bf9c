#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quetzalspindle/platform_store.h"

namespace qs {

// The operators' configuration, as stored in the key-value service.
struct StoredConfig {
  uint64_t version = 0;
  std::string change_id;  // Id of the change that made this version.
  std::string author;
  std::string document;
  // Ids of the changes before it, newest last.
  std::vector<std::string> history;
  int64_t mod_revision = 0;  // Zero if no configuration was ever stored.
  // Revision of the whole store when it was read. A watch that continues from
  // this read starts at the next revision.
  int64_t store_revision = 0;
};

// A change that an operator requests.
struct ConfigChange {
  std::string change_id;  // Unique to the change; retries use the same id.
  std::string author;
  uint64_t base_version = 0;  // The version that the operator edited.
  std::string document;
};

enum class ChangeState {
  kAccepted,  // Stored, by this or an earlier attempt of the same change.
  kLostRace,  // The base version has been replaced by another change; nothing
              // was written.
  kUnknown,   // The store gave no usable reply. The change may be retried under
              // the same id.
};

struct ChangeOutcome {
  ChangeState state = ChangeState::kUnknown;
  StoredConfig current;  // The stored version, if it could be read.
};

// Reads and writes the configuration by compare-and-swap.
class ConfigStore {
 public:
  static constexpr const char* kKey = "/quetzalspindle/config";

  // `store` must outlive the object.
  explicit ConfigStore(PlatformStore* store) : store_(store) {}

  // Returns version Configuration::kInitial if nothing was ever stored.
  Result<StoredConfig> Read() const;
  // Writes a change at most once, even if replies are lost: after every write
  // attempt the store is read again to look for the change's id.
  ChangeOutcome Apply(const ConfigChange& change) const;

  static Result<StoredConfig> Decode(const KeyValue& entry);

 private:
  PlatformStore* store_;
};

}  // namespace qs
