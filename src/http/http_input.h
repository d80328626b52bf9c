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
  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }

  // Returns the free part of the buffer, to read into. It holds at least one
  // byte: the buffer doubles when it is full.
  asio::mutable_buffer WritableBuffer();
  // Records that `bytes` bytes were read into the writable buffer.
  void OnRead(size_t bytes) { size_ += bytes; }
  // Passes all unparsed bytes to a Boost.Beast parser and removes those that
  // the parser consumed. Returns their number, and sets `*error` as the parser
  // does.
  template <typename Parser>
  size_t Feed(Parser* parser, boost::system::error_code* error) {
    const size_t taken =
        parser->put(boost::asio::const_buffer(bytes_.data(), size_), *error);
    Drop(taken);
    return taken;
  }
  void Clear() { size_ = 0; }
  // Frees the memory if the buffer is empty.
  void Shrink();

 private:
  void Drop(size_t bytes);

  std::vector<char> bytes_;
  size_t size_ = 0;  // Number of unparsed bytes in `bytes_`.
};

}  // namespace qs
