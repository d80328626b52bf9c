#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalspindle/time.h"

namespace qs {

// A queue to which callers send held jobs.
struct QueueDeclaration {
  std::string name;
  std::string host;         // Callers name it in the Host header.
  std::string path_prefix;  // The longest matching prefix wins.
  std::string service;      // Whose backend servers run the tasks.
  uint32_t priority = 0;    // Lower values are more urgent.
  uint32_t max_attempts = 1;
  // A job is on time within slack_factor x its longest chain of work plus
  // latency_target.
  double slack_factor = 1;
  Millis latency_target{0};
  Millis default_caller_timeout{0};  // For callers that state none.
};

struct ServiceTraits {
  bool refuses_overload = true;  // Its backend servers guard their capacity.
};

// The operators' declaration of queues and services, in one version.
struct Catalog {
  uint64_t version = 0;
  std::vector<QueueDeclaration> queues;
  std::map<std::string, ServiceTraits> services;
  size_t max_body_bytes = 1U << 20U;

  // The queue of a request, null where there is none.
  const QueueDeclaration* Route(std::string_view host,
                                std::string_view path) const;
  const QueueDeclaration* Find(std::string_view queue) const;
};

}  // namespace qs
