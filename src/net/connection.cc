#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>

namespace qs {
namespace {

constexpr size_t kMaxUnsentBytes = 128U << 20U;
constexpr int kUserTimeoutMs = 5000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
constexpr size_t kKeptBodyCapacity = 1U << 20U;

}  // namespace

void ConfigureSocket(asio::ip::tcp::socket* socket) {
  std::error_code ignored;
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
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

std::shared_ptr<Connection> Connection::Make(asio::ip::tcp::socket socket) {
  ConfigureSocket(&socket);
  return std::shared_ptr<Connection>(new Connection(std::move(socket)));
}

Connection::Connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

void Connection::Start(MessageCallback on_message, ClosedCallback on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  ReadHeader();
}

void Connection::ReadHeader() {
  asio::async_read(socket_, asio::buffer(header_),
                   [self = shared_from_this()](std::error_code error, size_t) {
                     if (error) return self->Fail(error);
                     const Result<uint32_t> size = DecodeHeader(self->header_);
                     if (!size) return self->Fail(size.error());
                     self->ReadBody(*size);
                   });
}

void Connection::ReadBody(uint32_t size) {
  if (body_.capacity() > kKeptBodyCapacity) std::vector<uint8_t>().swap(body_);
  body_.resize(size);
  asio::async_read(socket_, asio::buffer(body_),
                   [self = shared_from_this()](std::error_code error, size_t) {
                     if (error) return self->Fail(error);
                     Result<Message> message = DecodeBody(self->body_);
                     if (!message) return self->Fail(message.error());
                     if (self->closed_) return;
                     self->on_message_(std::move(*message));
                     if (!self->closed_) self->ReadHeader();
                   });
}

void Connection::Send(std::string frame) {
  if (closed_) return;
  unsent_bytes_ += frame.size();
  queued_.push_back(std::move(frame));
  if (unsent_bytes_ > kMaxUnsentBytes) {
    // Posted, since the caller may be iterating over its connections.
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
  writing_ = true;
  leaving_ = std::exchange(queued_, {});
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(leaving_.size());
  for (const std::string& frame : leaving_) {
    buffers.push_back(asio::buffer(frame));
  }
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](std::error_code error, size_t size) {
        self->writing_ = false;
        self->unsent_bytes_ -= size;
        self->leaving_.clear();
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
  // The callbacks may own the objects that own this connection.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->on_message_ = nullptr;
    self->on_closed_ = nullptr;
  });
}

}  // namespace qs
