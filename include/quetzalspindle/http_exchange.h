#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "quetzalspindle/time.h"

namespace qs {

// The largest body of an answer where no other limit is given.
inline constexpr size_t kDefaultMaxAnswerBytes = 4U << 20U;

// One HTTP request as a client sends it.
struct HttpExchange {
  std::string method = "POST";
  std::string target;  // Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Millis timeout{1000};
  // The request is sent only over a connection that is known to lead to the
  // process that it is meant for. See EventHttpClient::ConfirmConnections.
  bool needs_confirmed_connection = false;
};

// Why a request got no response.
enum class HttpFault : uint8_t {
  kNone,         // A complete response was received.
  kUnreachable,  // No connection could be used; nothing was sent.
  kNoAnswer,     // Sent at least in part, but no complete response arrived.
  kNotSent,      // No confirmed connection was there in time, so that nothing
                 // was sent.
};

// The result of a request. `status` and `body` hold the response and are valid
// only if `fault` is kNone.
struct HttpOutcome {
  HttpFault fault = HttpFault::kNoAnswer;
  int status = 0;
  std::string body;
};

}  // namespace qs
