#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <span>
#include <utility>

namespace qs {
namespace {

constexpr int kUserTimeoutMs = 5000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// Large enough for about twenty reports or orders, so that those which arrive
// together are read with one system call. Small, because a process has a
// connection to every other process.
constexpr size_t kInputBytes = 4096;

// Returns the buffers without their first `written` bytes.
std::vector<asio::const_buffer> RemainingBuffers(
    const std::vector<asio::const_buffer>& buffers, size_t written) {
  std::vector<asio::const_buffer> rest;
  for (const asio::const_buffer& buffer : buffers) {
    const size_t skipped = std::min(written, buffer.size());
    written -= skipped;
    if (skipped < buffer.size()) rest.push_back(buffer + skipped);
  }
  return rest;
}

}  // namespace

void ConfigureSocket(asio::ip::tcp::socket* socket) {
  std::error_code ignored;
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
  socket->non_blocking(true, ignored);
  const int fd = socket->native_handle();
  const auto set = [fd](int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

std::shared_ptr<Connection> Connection::Make(asio::ip::tcp::socket socket,
                                             const FrameLimits& limits) {
  ConfigureSocket(&socket);
  return std::shared_ptr<Connection>(new Connection(std::move(socket), limits));
}

Connection::Connection(asio::ip::tcp::socket socket, const FrameLimits& limits)
    : socket_(std::move(socket)), limits_(limits), input_(kInputBytes) {}

void Connection::Start(MessageCallback on_message, ClosedCallback on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  Read();
}

void Connection::Read() {
  socket_.async_read_some(
      asio::buffer(input_.data() + input_size_, input_.size() - input_size_),
      [self = shared_from_this()](std::error_code error, size_t size) {
        if (error) return self->Fail(error);
        self->input_size_ += size;
        self->DeliverFrames();
        if (!self->closed_) self->Read();
      });
}

// Delivers all complete frames in the input buffer. If the next frame is larger
// than the buffer, the buffer grows as the frame's bytes come, not by the size
// that its header states, and shrinks again after the frame was delivered.
void Connection::DeliverFrames() {
  size_t consumed = 0;
  size_t needed_size = kInputBytes;
  while (!closed_ && input_size_ - consumed >= kFrameHeaderBytes) {
    const uint8_t* frame = input_.data() + consumed;
    const Result<uint32_t> size = DecodeHeader(
        std::span<const uint8_t, kFrameHeaderBytes>(frame, kFrameHeaderBytes));
    if (!size) return Fail(size.error());
    const size_t frame_size = kFrameHeaderBytes + *size;
    const size_t max_size = accepts_large_frames_
                                ? limits_.max_frame_bytes + kFrameHeaderBytes
                                : kInputBytes;
    if (frame_size > max_size) {
      return Fail(std::make_error_code(std::errc::message_size));
    }
    const size_t present = input_size_ - consumed;
    if (present < frame_size) {
      needed_size = std::max(needed_size, std::min(frame_size, 2 * present));
      break;
    }
    // Copied because the decoder requires an aligned body.
    body_.assign(frame + kFrameHeaderBytes, frame + frame_size);
    consumed += frame_size;
    Result<Message> message = DecodeBody(body_);
    if (!message) return Fail(message.error());
    on_message_(std::move(*message));
  }
  if (closed_) return;
  std::copy(input_.begin() + static_cast<ptrdiff_t>(consumed),
            input_.begin() + static_cast<ptrdiff_t>(input_size_),
            input_.begin());
  input_size_ -= consumed;
  if (input_.size() == needed_size) return;
  input_.resize(needed_size);
  if (needed_size == kInputBytes) {
    input_.shrink_to_fit();
    std::vector<uint8_t>().swap(body_);
  }
}

void Connection::Send(std::string frame) {
  if (closed_) return;
  unsent_bytes_ += frame.size();
  queued_.push_back(std::move(frame));
  if (unsent_bytes_ > limits_.max_unsent_bytes) {
    // Posted rather than called, because Fail runs the closed callback and the
    // caller may be iterating over its connections.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail(std::make_error_code(std::errc::no_buffer_space));
    });
    return;
  }
  if (writing_ || write_posted_) return;
  write_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->write_posted_ = false;
    if (!self->writing_) self->Write();
  });
}

void Connection::Write() {
  if (closed_ || queued_.empty()) return;
  frames_in_write_ = std::exchange(queued_, {});
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(frames_in_write_.size());
  size_t total = 0;
  for (const std::string& frame : frames_in_write_) {
    buffers.push_back(asio::buffer(frame));
    total += frame.size();
  }
  // Usually the socket accepts all bytes at once, and no asynchronous write is
  // needed.
  std::error_code error;
  const size_t written = socket_.write_some(buffers, error);
  if (error == asio::error::would_block) error.clear();
  unsent_bytes_ -= written;
  if (error) return Fail(error);
  if (written == total) return frames_in_write_.clear();
  writing_ = true;
  asio::async_write(
      socket_, RemainingBuffers(buffers, written),
      [self = shared_from_this()](std::error_code error, size_t size) {
        self->writing_ = false;
        self->unsent_bytes_ -= size;
        self->frames_in_write_.clear();
        if (error) return self->Fail(error);
        self->Write();
      });
}

void Connection::Fail(std::error_code error) {
  if (closed_) return;
  const ClosedCallback on_closed = std::move(on_closed_);
  Close();
  if (on_closed) on_closed(error);
}

void Connection::Close() {
  if (closed_) return;
  closed_ = true;
  std::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  // The callbacks may own the objects that own this connection, so they are
  // released only after this call has returned.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->on_message_ = nullptr;
    self->on_closed_ = nullptr;
  });
}

}  // namespace qs
