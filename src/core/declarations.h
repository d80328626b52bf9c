#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs {

// What the operators declare about one team.
struct TeamDeclaration {
  // Tasks of the team that one home holds at a time, waiting or granted.
  uint32_t max_open_tasks = 0;
  auto operator<=>(const TeamDeclaration&) const = default;
};

// What the operators declare about one service.
struct ServiceDeclaration {
  uint32_t max_tasks_per_job = 0;
  Millis max_deadline{0};
  auto operator<=>(const ServiceDeclaration&) const = default;
};

// A backend server that shall get no new work, by the address of its guard.
struct DrainDeclaration {
  std::string reason;
  auto operator<=>(const DrainDeclaration&) const = default;
};

// The operators' rules. Without any team declared, every team may submit; with
// one, only those declared.
struct Declarations {
  std::map<std::string, TeamDeclaration> teams;
  std::map<std::string, ServiceDeclaration> services;
  std::map<Address, DrainDeclaration> drains;
};

}  // namespace qs
