#include "http/http_request_reader.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "http/http_text.h"

namespace qs {
namespace {

namespace http = boost::beast::http;

// Of a header in the parser, beside its text.
constexpr size_t kFieldBytes = 96;

HttpRefusal RefusalOf(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return HttpRefusal::kBodyTooLarge;
  if (error == http::error::header_limit) return HttpRefusal::kHeaderTooLarge;
  return HttpRefusal::kMalformed;
}

std::string Copy(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string_view HttpRefusalName(HttpRefusal refusal) {
  static constexpr std::array<std::string_view, kHttpRefusals> kNames = {
      "none",
      "malformed",
      "line_too_long",
      "header_too_large",
      "too_many_headers",
      "chunk_too_large",
      "body_too_large",
      "memory",
      "connections",
      "address",
      "header_timeout",
      "request_timeout",
      "body_gap",
      "unread_answer"};
  return kNames.at(static_cast<size_t>(refusal));
}

HttpRequestReader::State HttpRequestReader::Parse(size_t max_body_bytes) {
  while (!input_.empty()) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->header_limit(static_cast<uint32_t>(limits_.max_header_bytes));
      parser_->body_limit(max_body_bytes);
      header_bytes_ = 0;
    }
    const bool was_header_done = parser_->is_header_done();
    boost::system::error_code error;
    const size_t taken = input_.Feed(&*parser_, &error);
    if (!was_header_done) {
      header_bytes_ = std::min(header_bytes_ + taken, limits_.max_header_bytes);
    }
    if (error && error != http::error::need_more) {
      return Refuse(RefusalOf(error));
    }
    // Trailers are added to the headers.
    if (parser_->is_done() || (!was_header_done && is_header_done())) {
      const HttpRefusal refusal = CheckHeader();
      if (refusal != HttpRefusal::kNone) return Refuse(refusal);
      if (!parser_->is_done()) header_bytes_ += CountHeaders() * kFieldBytes;
    }
    if (parser_->is_done()) return State::kDone;
    if (taken > 0) continue;
    // The parser takes a header, a chunk's line and the trailers only whole.
    if (input_.is_full()) {
      return Refuse(parser_->is_header_done() ? HttpRefusal::kChunkTooLarge
                                              : HttpRefusal::kHeaderTooLarge);
    }
    break;
  }
  return State::kNeedsInput;
}

HttpRefusal HttpRequestReader::CheckHeader() const {
  // Two spaces and the version, "HTTP/1.1".
  constexpr size_t kRestOfLine = 10;
  const auto& message = parser_->get();
  const size_t line =
      message.method_string().size() + message.target().size() + kRestOfLine;
  if (line > limits_.max_line_bytes) return HttpRefusal::kLineTooLong;
  return CountHeaders() > limits_.max_headers ? HttpRefusal::kTooManyHeaders
                                              : HttpRefusal::kNone;
}

size_t HttpRequestReader::CountHeaders() const {
  const auto& message = parser_->get();
  return static_cast<size_t>(std::distance(message.begin(), message.end()));
}

HttpRequestReader::State HttpRequestReader::Refuse(HttpRefusal refusal) {
  Reset();
  refusal_ = refusal;
  return State::kRefused;
}

bool HttpRequestReader::ExpectsContinue() const {
  return is_header_done() &&
         boost::beast::iequals(parser_->get()[http::field::expect],
                               "100-continue");
}

HttpRequest HttpRequestReader::Take(bool* keep_alive) {
  *keep_alive = parser_->keep_alive();
  auto message = parser_->release();
  HttpRequest request;
  request.method = Copy(message.method_string());
  const std::string target = Copy(message.target());
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = ParseQuery(target.substr(mark + 1));
  }
  for (const auto& field : message) {
    const auto name = field.name_string();
    request.headers[LowerCase({name.data(), name.size()})] =
        Copy(field.value());
  }
  request.body = std::move(message.body());
  parser_.reset();
  header_bytes_ = 0;
  input_.Shrink();
  return request;
}

void HttpRequestReader::Reset() {
  parser_.reset();
  header_bytes_ = 0;
  input_.Clear();
  input_.Shrink();
}

size_t HttpRequestReader::held_bytes() const {
  size_t bytes = input_.capacity() + header_bytes_;
  if (parser_) {
    // A body of an announced length has its memory reserved, but untouched.
    const std::string& body = parser_->get().body();
    bytes += std::min(body.capacity(), 2 * body.size());
  }
  return bytes;
}

}  // namespace qs
