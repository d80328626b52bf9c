#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs {

// Limits that the operators set for one team.
struct TeamDeclaration {
  // Limit on the team's tasks that have not ended, waiting or granted, at any
  // one home.
  uint32_t max_open_tasks = 0;
  auto operator<=>(const TeamDeclaration&) const = default;
};

// Limits that the operators set for the jobs of one service. Zero: no limit.
struct ServiceDeclaration {
  uint32_t max_tasks_per_job = 0;
  Millis max_deadline{0};
  auto operator<=>(const ServiceDeclaration&) const = default;
};

// The operators' order to give a backend server no new work. It is listed under
// the address of the backend server's guard.
struct DrainDeclaration {
  std::string reason;
  auto operator<=>(const DrainDeclaration&) const = default;
};

// The content of the operators' configuration. If `teams` is empty, every team
// may submit jobs; otherwise only the teams in it may.
struct Declarations {
  std::map<std::string, TeamDeclaration> teams;
  std::map<std::string, ServiceDeclaration> services;
  std::map<Address, DrainDeclaration> drains;
};

}  // namespace qs
