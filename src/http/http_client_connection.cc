#include "http/http_client_connection.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <utility>

#include "net/tcp.h"

namespace qs {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

// The timeout for connecting. It expires if the machine does not answer at all.
constexpr Millis kConnectTimeout{300};
// Of an answer's header, of a chunk's line, and of the trailers.
constexpr size_t kMaxHeaderBytes = 8192;

std::string Format(const HttpExchange& exchange, Address server) {
  std::string text = exchange.method + " " + exchange.target +
                     " HTTP/1.1\r\nHost: " + server.ToString() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(exchange.body.size()) + "\r\n";
  for (const auto& [name, value] : exchange.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + exchange.body;
}

}  // namespace

std::shared_ptr<HttpClientConnection> HttpClientConnection::Make(
    asio::io_context* io, Address server, size_t max_answer_bytes) {
  return std::shared_ptr<HttpClientConnection>(
      new HttpClientConnection(io, server, max_answer_bytes));
}

HttpClientConnection::HttpClientConnection(asio::io_context* io, Address server,
                                           size_t max_answer_bytes)
    : io_(io),
      server_(server),
      max_answer_bytes_(max_answer_bytes),
      input_(kMaxHeaderBytes) {}

void HttpClientConnection::Start(HttpExchange exchange, Instant now,
                                 Callback done) {
  assert(!is_busy());
  exchange_ = std::move(exchange);
  done_ = std::move(done);
  finish_by_ = now + exchange_.timeout;
  if (socket_ == nullptr) return Connect();
  is_reused_ = true;
  Send();
}

void HttpClientConnection::Open(Millis timeout, Instant now,
                                std::function<void(HttpFault)> done) {
  assert(!is_busy() && !is_open());
  opened_ = std::move(done);
  finish_by_ = now + timeout;
  Connect();
}

void HttpClientConnection::Connect() {
  phase_ = Phase::kConnecting;
  connect_by_ = Clock::now() + kConnectTimeout;
  is_reused_ = false;
  socket_ = std::make_shared<Socket>(*io_);
  socket_->async_connect(
      ToEndpoint(server_),
      [self = shared_from_this(), socket = socket_](std::error_code error) {
        if (socket != self->socket_) return;
        if (error) {
          self->Drop();
          // Distinguishes a refused connection from an attempt that timed out.
          return self->Finish(error == asio::error::connection_refused
                                  ? HttpFault::kUnreachable
                                  : HttpFault::kNoAnswer);
        }
        std::error_code ignored;
        socket->set_option(tcp::no_delay(true), ignored);
        socket->non_blocking(true, ignored);
        self->opened_at_ = Clock::now();
        self->Read();
        if (self->opened_) return self->Finish(HttpFault::kNone);
        self->Send();
      });
}

void HttpClientConnection::Send() {
  phase_ = Phase::kAwaiting;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(max_answer_bytes_);
  output_ = Format(exchange_, server_);
  std::error_code error;
  const size_t taken = socket_->write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) {
    // The server has closed the kept connection. Nothing was sent on it, so the
    // request may be sent on a new one.
    if (is_reused_) {
      Drop();
      if (exchange_.needs_confirmed_connection) {
        return Finish(HttpFault::kNotSent);
      }
      return Connect();
    }
    return OnConnectionError(error);
  }
  if (taken == output_.size()) return;
  asio::async_write(
      *socket_, asio::buffer(output_.data() + taken, output_.size() - taken),
      [self = shared_from_this(), socket = socket_](std::error_code failed,
                                                    size_t) {
        if (failed && socket == self->socket_) self->OnConnectionError(failed);
      });
}

// Reads continuously, also while the connection is idle, in order to detect
// that the server closes it.
void HttpClientConnection::Read() {
  socket_->async_read_some(input_.WritableBuffer(),
                           [self = shared_from_this(), socket = socket_](
                               std::error_code error, size_t size) {
                             if (socket != self->socket_) return;
                             if (error) return self->OnConnectionError(error);
                             self->OnBytes(size);
                             if (socket == self->socket_) self->Read();
                           });
}

void HttpClientConnection::OnBytes(size_t size) {
  // No request is in progress, so these bytes belong to no exchange and the
  // connection cannot be used any more.
  if (phase_ != Phase::kAwaiting) return Drop();
  input_.OnRead(size);
  while (!input_.empty() && !parser_->is_done()) {
    boost::system::error_code error;
    const size_t taken = input_.Feed(&*parser_, &error);
    if (error && error != http::error::need_more) {
      Drop();
      return Finish(HttpFault::kNoAnswer);
    }
    if (taken > 0) continue;
    // The parser takes a chunk's line and the trailers only whole.
    if (input_.is_full()) {
      Drop();
      return Finish(HttpFault::kNoAnswer);
    }
    break;
  }
  if (!parser_->is_done()) return;
  if (!parser_->keep_alive() || !input_.empty()) Drop();
  Finish(HttpFault::kNone);
}

void HttpClientConnection::OnConnectionError(std::error_code error) {
  Drop();
  if (phase_ != Phase::kAwaiting) return;
  boost::system::error_code ended;
  if (error == asio::error::eof && parser_->got_some()) {
    parser_->put_eof(ended);
    if (!ended && parser_->is_done()) return Finish(HttpFault::kNone);
  }
  // The server may have received the request, so it is not sent again: the
  // answer to a second copy would say nothing about the first one.
  Finish(HttpFault::kNoAnswer);
}

void HttpClientConnection::Finish(HttpFault fault) {
  if (const auto opened = std::exchange(opened_, nullptr)) {
    phase_ = Phase::kIdle;
    return opened(fault);
  }
  HttpOutcome outcome;
  outcome.fault = fault;
  if (fault == HttpFault::kNone) {
    auto message = parser_->release();
    outcome.status = static_cast<int>(message.result_int());
    outcome.body = std::move(message.body());
  }
  parser_.reset();
  phase_ = Phase::kIdle;
  const Callback done = std::exchange(done_, nullptr);
  if (done) done(outcome);
}

void HttpClientConnection::CheckTime(Instant now) {
  if (phase_ == Phase::kIdle) return;
  const bool is_over =
      now >= finish_by_ || (phase_ == Phase::kConnecting && now >= connect_by_);
  if (!is_over) return;
  // The connection is dropped, so that a late response is not taken for the
  // response of the next exchange.
  Drop();
  Finish(HttpFault::kNoAnswer);
}

void HttpClientConnection::Drop() {
  if (socket_ == nullptr) return;
  std::error_code ignored;
  socket_->close(ignored);
  socket_.reset();
  input_.Clear();
}

void HttpClientConnection::Close() {
  done_ = nullptr;
  opened_ = nullptr;
  Drop();
}

}  // namespace qs
