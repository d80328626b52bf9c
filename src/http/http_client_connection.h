#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/http_input.h"
#include "quetzalspindle/address.h"
#include "quetzalspindle/http_exchange.h"

namespace qs {

// One connection of an EventHttpClient, for one exchange at a time. It is kept
// open between exchanges, and opened again when needed.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Callback = std::function<void(const HttpOutcome&)>;

  // An answer whose body is larger than `max_answer_bytes` is no answer.
  static std::shared_ptr<HttpClientConnection> Make(asio::io_context* io,
                                                    Address server,
                                                    size_t max_answer_bytes);

  bool is_busy() const { return phase_ != Phase::kIdle; }
  bool is_open() const { return socket_ != nullptr; }
  // Whether the present connection was established no later than `time`.
  bool WasOpenAt(Instant time) const {
    return is_open() && phase_ != Phase::kConnecting && opened_at_ <= time;
  }

  // Starts an exchange. The connection must not be busy, and must be open if
  // the exchange needs a confirmed one. `done` is called once, but not after
  // Close.
  void Start(HttpExchange exchange, Instant now, Callback done);
  // Connects without an exchange. `done` gets kNone or what went wrong.
  void Open(Millis timeout, Instant now, std::function<void(HttpFault)> done);
  // Fails the exchange if its timeout has expired.
  void CheckTime(Instant now);
  void Close();

 private:
  enum class Phase { kIdle, kConnecting, kAwaiting };
  using Socket = asio::ip::tcp::socket;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  HttpClientConnection(asio::io_context* io, Address server,
                       size_t max_answer_bytes);

  void Connect();
  void Send();
  void Read();
  void OnBytes(size_t size);
  void OnConnectionError(std::error_code error);
  void Finish(HttpFault fault);
  void Drop();

  asio::io_context* io_;
  Address server_;
  size_t max_answer_bytes_;
  Phase phase_ = Phase::kIdle;
  // Each asynchronous callback holds the socket it was started on as well, and
  // does nothing if that is no longer this one.
  std::shared_ptr<Socket> socket_;
  bool is_reused_ = false;  // The socket was open before this exchange.
  Instant opened_at_;       // When the socket was found to be connected.
  std::string output_;
  HttpExchange exchange_;
  Instant connect_by_;
  Instant finish_by_;
  Callback done_;
  std::function<void(HttpFault)> opened_;  // Set during Open.
  std::optional<Parser> parser_;
  HttpInput input_;
};

}  // namespace qs
