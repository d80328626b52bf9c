#include "http/http_input.h"

#include <algorithm>

namespace qs {
namespace {

constexpr size_t kInitialBytes = 4096;

}  // namespace

asio::mutable_buffer HttpInput::WritableBuffer() {
  if (size_ == bytes_.size()) {
    bytes_.resize(
        std::min(std::max(bytes_.size() * 2, kInitialBytes), max_bytes_));
  }
  return asio::buffer(bytes_.data() + size_, bytes_.size() - size_);
}

void HttpInput::Drop(size_t bytes) {
  std::copy(bytes_.begin() + static_cast<ptrdiff_t>(bytes),
            bytes_.begin() + static_cast<ptrdiff_t>(size_), bytes_.begin());
  size_ -= bytes;
}

void HttpInput::Shrink() {
  if (empty()) std::vector<char>().swap(bytes_);
}

}  // namespace qs
