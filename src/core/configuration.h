#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace qs {

// The operators' configuration that is active in this process. Its version only
// rises: an older version, received in a delayed message or from a store that
// lost its data, is ignored.
class Configuration {
 public:
  // The version before any configuration was received.
  static constexpr uint64_t kUnknown = 0;
  // The version of the empty document that precedes the first change.
  static constexpr uint64_t kInitial = 1;

  bool is_known() const { return version_ != kUnknown; }
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }

  // Activates `document` if `version` is higher than the active version.
  // Returns whether it did.
  bool ApplyIfNewer(uint64_t version, std::string document) {
    if (version <= version_) return false;
    version_ = version;
    document_ = std::move(document);
    return true;
  }

 private:
  uint64_t version_ = kUnknown;
  std::string document_;
};

}  // namespace qs
