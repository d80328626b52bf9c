#include "http/http_session.h"

#include <poll.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "base/log.h"
#include "http/http_call.h"
#include "http/http_server.h"
#include "http/http_text.h"
#include "quetzalspindle/http_status.h"

namespace qs {
namespace {

namespace http = boost::beast::http;

// The maximum size of a request line with its headers, and of the input that is
// read ahead.
constexpr uint32_t kMaxHeaderBytes = 8192;
// The time that the client has to read the last response and close.
constexpr Millis kLingerTimeout{1000};

std::string_view ReasonPhrase(int status) {
  const boost::beast::string_view phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace

std::shared_ptr<HttpSession> HttpSession::Make(asio::ip::tcp::socket socket,
                                               const HttpServerOptions* options,
                                               const Handler* handler,
                                               ClosedCallback on_closed) {
  std::error_code ignored;  // The peer may have closed already.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  return std::shared_ptr<HttpSession>(new HttpSession(
      std::move(socket), options, handler, std::move(on_closed)));
}

HttpSession::HttpSession(asio::ip::tcp::socket socket,
                         const HttpServerOptions* options,
                         const Handler* handler, ClosedCallback on_closed)
    : socket_(std::move(socket)),
      options_(options),
      handler_(handler),
      on_closed_(std::move(on_closed)),
      phase_began_(Clock::now()) {}

void HttpSession::SetPhase(Phase phase) {
  phase_ = phase;
  phase_began_ = Clock::now();
}

void HttpSession::Read() {
  socket_.async_read_some(
      input_.WritableBuffer(),
      [self = shared_from_this()](std::error_code error, size_t size) {
        if (self->phase_ == Phase::kClosed) return;
        if (error) return self->Close();
        self->input_.OnRead(size);
        self->Parse();
      });
}

// A handler may respond during its call. The session is then in the reading
// phase again, and OnSent calls Parse recursively; `is_parsing_` makes that
// call return, and the loop here parses the next request.
void HttpSession::Parse() {
  if (is_parsing_) return;
  is_parsing_ = true;
  while (phase_ == Phase::kReading && !input_.empty() && ParseSome()) {
  }
  is_parsing_ = false;
  if (phase_ == Phase::kReading) Read();
}

bool HttpSession::ParseSome() {
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(options_->max_body_bytes);
    phase_began_ = Clock::now();
    was_continued_ = false;
  }
  boost::system::error_code error;
  const size_t taken = input_.Feed(&*parser_, &error);
  if (error && error != http::error::need_more) {
    RefuseRequest(error);
    return false;
  }
  if (parser_->is_done()) {
    Hold();
    return true;
  }
  ContinueIfExpected();
  return taken > 0;
}

void HttpSession::ContinueIfExpected() {
  if (was_continued_ || !parser_->is_header_done()) return;
  const boost::beast::string_view expect = parser_->get()[http::field::expect];
  if (!boost::beast::iequals(expect, "100-continue")) return;
  was_continued_ = true;
  // A single write suffices: the client waits for this text, so the send buffer
  // is empty and the short text fits.
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  std::error_code error;
  socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), error);
  if (error) Close();
}

// Closes the connection after the response, because the start of the next
// request in the input is unknown.
void HttpSession::RefuseRequest(const boost::system::error_code& error) {
  close_after_ = true;
  parser_.reset();
  input_.Clear();
  HttpResponse response;
  if (error == http::error::body_limit) {
    response = options_->too_large(options_->max_body_bytes);
  } else {
    response.status = kHttpBadRequest;
    response.content_type = "text/plain";
    response.body = error.message() + "\n";
  }
  SetPhase(Phase::kHolding);
  Respond(response);
}

HttpRequest HttpSession::TakeRequest() {
  auto message = parser_->release();
  HttpRequest request;
  const auto copy = [](boost::beast::string_view text) {
    return std::string(text.data(), text.size());
  };
  request.method = copy(message.method_string());
  const std::string target = copy(message.target());
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = ParseQuery(target.substr(mark + 1));
  }
  for (const auto& field : message) {
    const auto name = field.name_string();
    request.headers[LowerCase({name.data(), name.size()})] =
        copy(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

void HttpSession::Hold() {
  // The client may send the request again elsewhere at once.
  if (HasClientClosed()) return Close();
  close_after_ = !parser_->keep_alive();
  call_ = std::make_shared<HttpCall>(TakeRequest(), weak_from_this());
  parser_.reset();
  input_.Shrink();
  SetPhase(Phase::kHolding);
  // Copied, because the handler may respond during its call, which resets
  // `call_`.
  const std::shared_ptr<HttpCall> call = call_;
  // Libraries that parse the request throw if its content is not what they
  // expect. An unexpected request must not terminate the process and fail all
  // others.
  try {
    (*handler_)(call);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "request_failed",
        {{"path", call->request().path}, {"error", error.what()}});
    HttpResponse response;
    response.status = kHttpInternalError;
    response.close = true;
    call->Respond(response);
  }
  if (phase_ == Phase::kHolding) AwaitClose();
}

// Watches for the end of the connection while the request waits for its
// response. Nothing is read in this time, so that a client cannot fill the
// memory of this process.
void HttpSession::AwaitClose() {
  if (is_close_watched_) return;
  is_close_watched_ = true;
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](std::error_code error) {
        self->is_close_watched_ = false;
        if (error || self->phase_ == Phase::kClosed) return;
        if (self->phase_ != Phase::kHolding) return;
        char byte = 0;
        const ssize_t size =
            recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK);
        const bool is_open =
            size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
        // If the client has sent further bytes instead of closing, the socket
        // stays readable, and CheckTime looks for the end of the connection.
        if (!is_open) self->Close();
      });
}

bool HttpSession::HasClientClosed() {
  pollfd state{socket_.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

// Reads and discards the client's bytes until it closes the connection. Closing
// with unread bytes would reset the connection, and the client could lose the
// response.
void HttpSession::Drain() {
  input_.Clear();
  socket_.async_read_some(
      input_.WritableBuffer(),
      [self = shared_from_this()](std::error_code error, size_t) {
        if (self->phase_ == Phase::kClosed) return;
        if (error) return self->Close();
        self->Drain();
      });
}

void HttpSession::Respond(const HttpResponse& response) {
  if (phase_ != Phase::kHolding) return;
  call_.reset();
  close_after_ = close_after_ || response.close;
  SetPhase(Phase::kWriting);
  Send(FormatResponse(response, ReasonPhrase(response.status), close_after_));
}

// Usually the socket accepts the whole response at once, and no asynchronous
// write is needed.
void HttpSession::Send(std::string text) {
  output_ = std::move(text);
  std::error_code error;
  const size_t taken = socket_.write_some(asio::buffer(output_), error);
  if (error && error != asio::error::would_block) return Close();
  if (taken == output_.size()) return OnSent();
  asio::async_write(
      socket_, asio::buffer(output_.data() + taken, output_.size() - taken),
      [self = shared_from_this()](std::error_code failed, size_t) {
        if (self->phase_ == Phase::kClosed) return;
        if (failed) return self->Close();
        self->OnSent();
      });
}

void HttpSession::OnSent() {
  std::string().swap(output_);
  if (close_after_) {
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    SetPhase(Phase::kLingering);
    Drain();
    return;
  }
  SetPhase(Phase::kReading);
  Parse();
}

void HttpSession::CheckTime(Instant now) {
  const auto age = now - phase_began_;
  bool is_over = false;
  switch (phase_) {
    case Phase::kReading:
      is_over =
          age > (parser_ ? options_->request_timeout : options_->idle_timeout);
      break;
    case Phase::kWriting:
      is_over = age > options_->request_timeout;
      break;
    case Phase::kLingering:
      is_over = age > kLingerTimeout;
      break;
    case Phase::kHolding:
      is_over = !is_close_watched_ && HasClientClosed();
      break;
    case Phase::kClosed:
      break;
  }
  if (is_over) Close();
}

void HttpSession::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  std::error_code ignored;
  socket_.close(ignored);
  const ClosedCallback on_closed = std::move(on_closed_);
  if (const std::shared_ptr<HttpCall> call = std::move(call_)) {
    call->OnClientDisconnected();
  }
  if (on_closed) on_closed(this);
}

}  // namespace qs
