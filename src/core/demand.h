#pragma once

#include <compare>
#include <string>

namespace qs {

// What a task demands of a backend server, or what one offers. In a demand an
// empty zone or kind of worker stands for any.
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
