#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace qs {

// Why a connection was closed or its request refused before a handler saw it.
enum class HttpRefusal : uint8_t {
  kNone,
  kMalformed,
  kLineTooLong,
  kHeaderTooLarge,
  kTooManyHeaders,
  kChunkTooLarge,  // A chunk's line with its extensions, or the trailers.
  kBodyTooLarge,
  kMemory,          // The process holds too much of its clients.
  kConnections,     // Too many connections in all.
  kAddress,         // Too many connections of one peer address.
  kHeaderTimeout,   // The header did not end in time.
  kRequestTimeout,  // The request did not end in time.
  kBodyGap,         // Too long between two pieces of a body.
  kUnreadAnswer,    // The client did not read its answer.
};
inline constexpr size_t kHttpRefusals = 14;

std::string_view HttpRefusalName(HttpRefusal refusal);

// What a listener takes of one request, apart from its body's size.
struct HttpLimits {
  size_t max_line_bytes = 16'384;
  // Of the request line with the headers; also of a chunk's line with its
  // extensions, and of the trailers.
  size_t max_header_bytes = 16'384;
  size_t max_headers = 4096;
};

}  // namespace qs
