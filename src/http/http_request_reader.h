#pragma once

#include <asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>

#include "http/http_input.h"
#include "http/http_limits.h"
#include "quetzalspindle/http_message.h"

namespace qs {

// Reads requests from the bytes of one connection, within limits. Without I/O.
class HttpRequestReader {
 public:
  enum class State { kNeedsInput, kDone, kRefused };

  explicit HttpRequestReader(const HttpLimits& limits)
      : limits_(limits), input_(limits.max_header_bytes) {}

  // The free part of the input. After Parse it has room unless the request is
  // done or refused.
  asio::mutable_buffer WritableBuffer() { return input_.WritableBuffer(); }
  void OnRead(size_t bytes) { input_.OnRead(bytes); }
  // Parses the input up to the end of a request at most. `max_body_bytes` is
  // taken for a request that begins here.
  State Parse(size_t max_body_bytes);
  // Why the request was refused. The rest of the input cannot be read then.
  HttpRefusal refusal() const { return refusal_; }
  // Whether a part of a request was read.
  bool has_begun() const { return parser_.has_value(); }
  bool is_header_done() const { return parser_ && parser_->is_header_done(); }
  bool has_input() const { return !input_.empty(); }
  bool ExpectsContinue() const;
  // Takes a request that is done. `*keep_alive` says whether another one may
  // follow on the connection.
  HttpRequest Take(bool* keep_alive);
  // Drops all that was read and frees its memory.
  void Reset();
  // Memory held, input and request, as far as it was written to.
  size_t held_bytes() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  State Refuse(HttpRefusal refusal);
  // Checks what the parser itself does not limit.
  HttpRefusal CheckHeader() const;
  size_t CountHeaders() const;

  HttpLimits limits_;
  HttpInput input_;
  std::optional<Parser> parser_;
  size_t header_bytes_ = 0;  // Of the present request, in the parser.
  HttpRefusal refusal_ = HttpRefusal::kNone;
};

}  // namespace qs
