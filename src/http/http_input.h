#pragma once

#include <asio/buffer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <vector>

namespace qs {

// Buffer of the bytes that were read from a connection and not parsed yet.
class HttpInput {
 public:
  // Holds `max_bytes` at most.
  explicit HttpInput(size_t max_bytes) : max_bytes_(max_bytes) {}

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  size_t capacity() const { return bytes_.size(); }
  bool is_full() const { return size_ >= max_bytes_; }

  // Returns the free part of the buffer, to read into. It holds at least one
  // byte unless the buffer is full: it doubles, up to the most that it holds.
  asio::mutable_buffer WritableBuffer();
  // Records that `bytes` bytes were read into the writable buffer.
  void OnRead(size_t bytes) { size_ += bytes; }
  // Passes all unparsed bytes to a Boost.Beast parser and removes those that
  // the parser consumed. Returns their number, and sets `*error` as the parser
  // does.
  template <typename Parser>
  size_t Feed(Parser* parser, boost::system::error_code* error) {
    // The parser ends the process if it meets a last chunk again with fewer
    // bytes. No chunked body ends with fewer, so more must come.
    const bool is_too_short = size_ < kShortestLastChunk &&
                              parser->is_header_done() && parser->chunked();
    if (is_too_short) return 0;
    const size_t taken =
        parser->put(boost::asio::const_buffer(bytes_.data(), size_), *error);
    Drop(taken);
    return taken;
  }
  void Clear() { size_ = 0; }
  // Frees the memory if the buffer is empty.
  void Shrink();

 private:
  // "0" with the ends of its line and of the trailers.
  static constexpr size_t kShortestLastChunk = 5;

  void Drop(size_t bytes);

  size_t max_bytes_;
  std::vector<char> bytes_;
  size_t size_ = 0;  // Number of unparsed bytes in `bytes_`.
};

}  // namespace qs
