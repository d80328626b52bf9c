#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "quetzalspindle/address.h"
#include "quetzalspindle/reason.h"

namespace qs {

// Identifies one run of a process. A process that restarts at the same address
// has a new incarnation.
struct Incarnation {
  uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

// Identifies a submission. `home` and `incarnation` identify the only process
// that may start its tasks.
struct SubmissionId {
  Address home;
  Incarnation incarnation;
  uint64_t sequence = 0;

  auto operator<=>(const SubmissionId&) const = default;

  // The opaque form given to callers: "s" and 52 hexadecimal digits. The last
  // eight are a checksum, which distinguishes a mistyped id from one that was
  // issued elsewhere.
  std::string ToString() const;

  // Fails with Reason::kIdMalformed.
  static Result<SubmissionId> Parse(std::string_view text);
};

// Number of a grant, unique within one incarnation of a home: it increases from
// 1 and is never reused. A task that is granted again gets a new number, which
// serves as its attempt number.
using GrantNumber = uint64_t;

}  // namespace qs

template <>
struct std::hash<qs::Incarnation> {
  size_t operator()(const qs::Incarnation& incarnation) const noexcept {
    return std::hash<uint64_t>()(incarnation.value);
  }
};
