#include "http/http_session.h"

#include <poll.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "base/log.h"
#include "http/connection_intake.h"
#include "http/http_call.h"
#include "http/http_server.h"
#include "http/http_text.h"
#include "quetzalspindle/http_status.h"

namespace qs {
namespace {

namespace http = boost::beast::http;

// The time that the client has to read the last response and close.
constexpr Millis kLingerTimeout{1000};
// What is read and discarded in that time at most. The rest is left to the
// socket, whose buffer then holds the client back.
constexpr size_t kMaxDrainedBytes = 256U << 10U;
// The memory of a session beside what it reads and writes.
constexpr size_t kSessionBytes = 1024;

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
      phase_began_(Clock::now()),
      read_at_(phase_began_),
      reader_(options->limits) {}

void HttpSession::SetPhase(Phase phase) {
  phase_ = phase;
  phase_began_ = Clock::now();
}

void HttpSession::Read() {
  if (is_read_pending_) return;
  is_read_pending_ = true;
  socket_.async_read_some(
      reader_.WritableBuffer(),
      [self = shared_from_this()](std::error_code error, size_t size) {
        self->is_read_pending_ = false;
        // The request may have been refused while this read was pending.
        if (self->phase_ == Phase::kLingering) return self->Drain();
        if (self->phase_ != Phase::kReading) return;
        if (error) return self->Close();
        self->read_at_ = Clock::now();
        self->reader_.OnRead(size);
        self->Parse();
      });
}

// A handler may respond during its call. The session is then in the reading
// phase again, and OnSent calls Parse recursively; `is_parsing_` makes that
// call return, and the loop here parses the next request.
void HttpSession::Parse() {
  if (is_parsing_) return;
  is_parsing_ = true;
  while (phase_ == Phase::kReading && reader_.has_input() && ParseSome()) {
  }
  is_parsing_ = false;
  ReportHeld();
  if (phase_ == Phase::kReading) Read();
}

bool HttpSession::ParseSome() {
  if (!reader_.has_begun()) {
    phase_began_ = Clock::now();
    was_continued_ = false;
  }
  switch (reader_.Parse(options_->max_body_bytes)) {
    case HttpRequestReader::State::kRefused:
      RefuseRequest(reader_.refusal());
      return false;
    case HttpRequestReader::State::kDone:
      Hold();
      return true;
    case HttpRequestReader::State::kNeedsInput:
      ContinueIfExpected();
      break;
  }
  return false;
}

void HttpSession::ContinueIfExpected() {
  if (was_continued_ || !reader_.ExpectsContinue()) return;
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
void HttpSession::RefuseRequest(HttpRefusal refusal) {
  CountRefusal(refusal);
  close_after_ = true;
  // A pending read must not write into the buffer that is freed here.
  std::error_code ignored;
  if (is_read_pending_) socket_.cancel(ignored);
  reader_.Reset();
  SetPhase(Phase::kHolding);
  Respond(MakeRefusal(refusal));
}

HttpResponse HttpSession::MakeRefusal(HttpRefusal refusal) const {
  if (options_->refused) return options_->refused(refusal);
  if (refusal == HttpRefusal::kBodyTooLarge) {
    return options_->too_large(options_->max_body_bytes);
  }
  HttpResponse response;
  response.status =
      refusal == HttpRefusal::kMemory ? kHttpUnavailable : kHttpBadRequest;
  response.content_type = "text/plain";
  response.body = std::string(HttpRefusalName(refusal)) + "\n";
  return response;
}

void HttpSession::CountRefusal(HttpRefusal refusal) {
  if (options_->intake != nullptr) options_->intake->OnRefused(refusal);
}

void HttpSession::ReportHeld() {
  if (options_->intake == nullptr || phase_ == Phase::kClosed) return;
  auto phase = IntakeBudget::Phase::kReading;
  size_t bytes = kSessionBytes + reader_.held_bytes() + output_.size();
  if (phase_ == Phase::kHolding) {
    phase = IntakeBudget::Phase::kInService;
    if (call_ != nullptr) bytes += call_->held_bytes();
  } else if (phase_ == Phase::kWriting) {
    phase = IntakeBudget::Phase::kWriting;
  }
  options_->intake->Update(intake_number_, bytes, phase);
}

void HttpSession::Yield(HttpRefusal refusal) {
  const bool can_refuse = refusal == HttpRefusal::kMemory &&
                          phase_ == Phase::kReading && reader_.has_begun();
  if (can_refuse) return RefuseRequest(refusal);
  CountRefusal(refusal);
  Close();
}

void HttpSession::Hold() {
  // The client may send the request again elsewhere at once.
  if (HasClientClosed()) return Close();
  bool keep_alive = false;
  HttpRequest request = reader_.Take(&keep_alive);
  close_after_ = !keep_alive;
  call_ = std::make_shared<HttpCall>(std::move(request), weak_from_this());
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
  if (is_read_pending_ || drained_bytes_ >= kMaxDrainedBytes) return;
  reader_.Reset();
  is_read_pending_ = true;
  socket_.async_read_some(
      reader_.WritableBuffer(),
      [self = shared_from_this()](std::error_code error, size_t size) {
        self->is_read_pending_ = false;
        if (self->phase_ == Phase::kClosed) return;
        if (error) return self->Close();
        self->drained_bytes_ += size;
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
  ReportHeld();
  if (phase_ != Phase::kWriting) return;
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
    ReportHeld();
    return Drain();
  }
  if (options_->intake != nullptr) options_->intake->OnServed(intake_number_);
  SetPhase(Phase::kReading);
  Parse();
}

HttpRefusal HttpSession::FindOverdue(Instant now) const {
  const auto age = now - phase_began_;
  if (phase_ == Phase::kWriting) {
    return age > options_->request_timeout ? HttpRefusal::kUnreadAnswer
                                           : HttpRefusal::kNone;
  }
  if (phase_ != Phase::kReading || !reader_.has_begun()) {
    return HttpRefusal::kNone;
  }
  if (!reader_.is_header_done() && age > options_->header_timeout) {
    return HttpRefusal::kHeaderTimeout;
  }
  if (age > options_->request_timeout) return HttpRefusal::kRequestTimeout;
  return now - read_at_ > options_->body_gap_timeout ? HttpRefusal::kBodyGap
                                                     : HttpRefusal::kNone;
}

void HttpSession::CheckTime(Instant now) {
  const HttpRefusal overdue = FindOverdue(now);
  if (overdue != HttpRefusal::kNone) {
    CountRefusal(overdue);
    return Close();
  }
  const auto age = now - phase_began_;
  const bool is_over =
      (phase_ == Phase::kReading && !reader_.has_begun() &&
       age > options_->idle_timeout) ||
      (phase_ == Phase::kLingering && age > kLingerTimeout) ||
      (phase_ == Phase::kHolding && !is_close_watched_ && HasClientClosed());
  if (is_over) Close();
}

void HttpSession::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  std::error_code ignored;
  socket_.close(ignored);
  if (options_->intake != nullptr) options_->intake->Close(intake_number_);
  const ClosedCallback on_closed = std::move(on_closed_);
  if (const std::shared_ptr<HttpCall> call = std::move(call_)) {
    call->OnClientDisconnected();
  }
  if (on_closed) on_closed(this);
}

}  // namespace qs
