#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "quetzalspindle/address.h"
#include "quetzalspindle/reason.h"

namespace qs {

// Names one run of one process. Two starts at the same address differ.
struct Incarnation {
  uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

// Names a submission and the one process incarnation that may start its tasks.
struct SubmissionId {
  Address home;
  Incarnation incarnation;
  uint64_t sequence = 0;

  auto operator<=>(const SubmissionId&) const = default;

  // The opaque form given to callers: "s" and 52 hexadecimal digits, the last
  // eight a checksum, so that a mistyped id is told from a foreign one.
  std::string ToString() const;

  // Fails with Reason::kIdMalformed.
  static Result<SubmissionId> Parse(std::string_view text);
};

// Numbers the grants of one home incarnation, rising from 1 and never reused. A
// task that is granted again gets a new number, which is its attempt number.
using GrantNumber = uint64_t;

}  // namespace qs

template <>
struct std::hash<qs::Incarnation> {
  size_t operator()(const qs::Incarnation& incarnation) const noexcept {
    return std::hash<uint64_t>()(incarnation.value);
  }
};
