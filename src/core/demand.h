#pragma once

#include <compare>
#include <string>

namespace qs {

// The placement constraints of a task, or the matching attributes that a
// backend server offers. In a constraint, an empty zone or kind of worker
// matches any.
struct Demand {
  std::string service;
  std::string zone;
  std::string worker_kind;

  auto operator<=>(const Demand&) const = default;

  bool IsMetBy(const Demand& offer) const {
    if (offer.service != service) return false;
    if (!zone.empty() && offer.zone != zone) return false;
    return worker_kind.empty() || offer.worker_kind == worker_kind;
  }
};

}  // namespace qs
