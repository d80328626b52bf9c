#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "http/http_limits.h"
#include "http/http_request_reader.h"
#include "quetzalspindle/http_message.h"
#include "quetzalspindle/time.h"

namespace qs {

class HttpCall;
struct HttpServerOptions;

// One connection of a client to an EventHttpServer: reads a request, holds it
// until it is answered, writes the response, and reads the next one.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpCall>)>;
  using ClosedCallback = std::function<void(HttpSession*)>;

  // `options` and `handler` must outlive the session.
  static std::shared_ptr<HttpSession> Make(asio::ip::tcp::socket socket,
                                           const HttpServerOptions* options,
                                           const Handler* handler,
                                           ClosedCallback on_closed);
  // Before Start: the number that the options' intake gave the connection.
  void SetIntakeNumber(uint64_t number) { intake_number_ = number; }

  void Start() { Read(); }
  // Whether the client has closed the connection, read or not.
  bool HasClientClosed();
  void Respond(const HttpResponse& response);
  // Closes the connection if its client has exceeded the timeout of the present
  // phase, or has closed it unnoticed.
  void CheckTime(Instant now);
  // Ends what the client makes the process hold: refuses the request that is
  // being read, or closes the connection if there is none or the limit on
  // connections is the cause.
  void Yield(HttpRefusal refusal);
  void Close();

  // Returns whether a request waits for its response or the response is not
  // completely written.
  bool is_busy() const {
    return phase_ == Phase::kHolding || phase_ == Phase::kWriting;
  }
  // Returns whether a request waits for its response.
  bool is_holding() const { return phase_ == Phase::kHolding; }
  int native_handle() { return socket_.native_handle(); }

 private:
  enum class Phase {
    kReading,    // Reads a request, or waits for the next one.
    kHolding,    // Holds a request until its response is ready.
    kWriting,    // Writes the response.
    kLingering,  // Waits for the client to close after the last response.
    kClosed,
  };
  HttpSession(asio::ip::tcp::socket socket, const HttpServerOptions* options,
              const Handler* handler, ClosedCallback on_closed);

  void Read();
  void Parse();
  // Parses buffered input up to the end of a request at most. Returns false if
  // parsing cannot continue without further input, or has failed.
  bool ParseSome();
  void RefuseRequest(HttpRefusal refusal);
  HttpResponse MakeRefusal(HttpRefusal refusal) const;
  void CountRefusal(HttpRefusal refusal);
  // Tells the intake what the connection holds.
  void ReportHeld();
  // Why the client is out of time in the present phase, if it is.
  HttpRefusal FindOverdue(Instant now) const;
  void ContinueIfExpected();
  void Hold();
  void AwaitClose();
  void Drain();
  void Send(std::string text);
  void OnSent();
  void SetPhase(Phase phase);

  asio::ip::tcp::socket socket_;
  const HttpServerOptions* options_;
  const Handler* handler_;
  ClosedCallback on_closed_;
  Phase phase_ = Phase::kReading;
  Instant phase_began_;
  bool is_parsing_ = false;
  bool is_read_pending_ = false;
  // An asynchronous wait for the client to close the connection is pending.
  bool is_close_watched_ = false;
  bool close_after_ = false;  // Close after the present response.
  bool was_continued_ = false;
  Instant read_at_;  // When bytes came last.
  uint64_t intake_number_ = 0;
  size_t drained_bytes_ = 0;
  HttpRequestReader reader_;
  std::string output_;
  std::shared_ptr<HttpCall> call_;
};

}  // namespace qs
