#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace qs {

// The version of the operators' configuration that a process has in force. It
// only rises: an older version, from a late message or a store that lost its
// data, changes nothing.
class Configuration {
 public:
  // No version is known yet.
  static constexpr uint64_t kUnknown = 0;
  // The empty document that is in force before the first change.
  static constexpr uint64_t kInitial = 1;

  bool is_known() const { return version_ != kUnknown; }
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }

  // Puts a version in force if it is above the present one. Returns whether it
  // did.
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
