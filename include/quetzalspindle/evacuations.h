#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace qs {

inline constexpr size_t kMaxEvacuatedZones = 64;
inline constexpr size_t kMaxZoneNameBytes = 64;

// Whether this may be the name of an availability zone: printable, without
// spaces and slashes, and of limited length.
inline bool IsZoneName(std::string_view name) {
  const auto is_allowed = [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte != 0x7F && byte != '/';
  };
  return !name.empty() && name.size() <= kMaxZoneNameBytes &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

// The availability zones in which the operators want nothing to start, as the
// platform's store had them at one revision. A zone is evacuated or taken back
// only by a snapshot of a higher revision.
class Evacuations {
 public:
  // Nothing is known: no snapshot was received yet.
  Evacuations() = default;
  // `zones` holds at most kMaxEvacuatedZones names. A revision of zero makes an
  // unknown one.
  Evacuations(uint64_t revision, std::set<std::string> zones)
      : revision_(revision), zones_(std::move(zones)) {}

  bool operator==(const Evacuations&) const = default;

  bool is_known() const { return revision_ != 0; }
  uint64_t revision() const { return revision_; }
  const std::set<std::string>& zones() const { return zones_; }
  bool Contains(const std::string& zone) const { return zones_.contains(zone); }

  // Takes the newer of both over. Returns whether that was `other`.
  bool AdoptIfNewer(const Evacuations& other) {
    if (other.revision_ <= revision_) return false;
    *this = other;
    return true;
  }

  // The zones, separated by spaces.
  std::string ToText() const {
    std::string text;
    for (const std::string& zone : zones_) {
      if (!text.empty()) text += ' ';
      text += zone;
    }
    return text;
  }

 private:
  uint64_t revision_ = 0;
  std::set<std::string> zones_;
};

}  // namespace qs
