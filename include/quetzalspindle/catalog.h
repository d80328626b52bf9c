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
  std::string host;         // Must equal the request's Host header.
  std::string path_prefix;  // The queue with the longest match is chosen.
  std::string service;      // Its backend servers run the tasks.
  uint32_t priority = 0;    // Lower values are more urgent.
  uint32_t max_attempts = 1;
  // A job meets its latency objective if it ends within slack_factor x the
  // estimated run time of its critical path plus latency_target.
  double slack_factor = 1;
  Millis latency_target{0};
  Millis default_caller_timeout{0};  // Used where the caller states no timeout.
  double weight = 1;                 // Of the queue's share of scarce capacity.
};

struct ServiceTraits {
  // Whether its backend servers reject tasks that exceed their capacity.
  bool refuses_overload = true;
};

// One version of the queues and services that the operators declare.
struct Catalog {
  uint64_t version = 0;
  std::vector<QueueDeclaration> queues;
  std::map<std::string, ServiceTraits> services;
  size_t max_body_bytes = 1U << 20U;

  // The queue to which a request is addressed; null if no queue matches.
  const QueueDeclaration* Route(std::string_view host,
                                std::string_view path) const;
  // The queue of this name; null if it is not declared.
  const QueueDeclaration* Find(std::string_view queue) const;
};

}  // namespace qs
