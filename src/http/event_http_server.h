#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "http/http_server.h"
#include "http/http_session.h"
#include "http/route_table.h"
#include "quetzalspindle/result.h"

namespace qs {

class HttpCall;

// An HTTP/1.1 server without threads of its own: requests are read, held and
// answered on the thread of its io_context. A request that waits long for its
// response therefore occupies a connection but no thread. Parses with
// Boost.Beast.
class EventHttpServer {
 public:
  using Handler = HttpSession::Handler;

  // Ignores HttpServerOptions::threads. `options.too_large` must be set.
  static Result<std::unique_ptr<EventHttpServer>> Make(
      asio::io_context* io, HttpServerOptions options, Handler handler);
  // Answers each request with the handler of the route that it matches, before
  // the next one is read.
  static Result<std::unique_ptr<EventHttpServer>> Make(
      asio::io_context* io, HttpServerOptions options,
      std::vector<HttpRoute> routes);
  ~EventHttpServer();
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  // Returns whether no request waits for its response and all responses have
  // been written.
  bool IsIdle() const;
  // Closes the connections of clients that have closed theirs while their
  // request waits for its response. Finds those as well whose end is not yet
  // handled as an event: it may wait behind events of other sockets, or behind
  // bytes that the client sent after the request.
  void CloseAbandoned();
  // For requests that begin from now on.
  void SetMaxBodyBytes(size_t bytes) { options_.max_body_bytes = bytes; }
  // Closes all connections.
  void Close();

  size_t connections() const { return sessions_.size(); }

 private:
  EventHttpServer(asio::io_context* io, HttpServerOptions options,
                  Handler handler);

  void Accept();
  void AcceptLater();
  void OnAccepted(asio::ip::tcp::socket socket);
  void SweepLater();

  HttpServerOptions options_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer sweep_timer_;
  bool is_closed_ = false;
  std::unordered_map<HttpSession*, std::shared_ptr<HttpSession>> sessions_;
};

}  // namespace qs
