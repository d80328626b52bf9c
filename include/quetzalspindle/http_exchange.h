#pragma once

#include <string>
#include <utility>
#include <vector>

#include "quetzalspindle/time.h"

namespace qs {

// One HTTP request as a client sends it.
struct HttpExchange {
  std::string method = "POST";
  std::string target;  // Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Millis timeout{1000};
};

// How far a request got.
enum class HttpFault : uint8_t {
  kNone,
  kUnreachable,  // No connection stands; nothing was sent.
  kNoAnswer,     // Sent, at least in part; no whole answer came.
};

// The answer to a request, meaningful where there is no fault.
struct HttpOutcome {
  HttpFault fault = HttpFault::kNoAnswer;
  int status = 0;
  std::string body;
};

}  // namespace qs
