#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/http_exchange.h"

namespace qs {

class HttpClientConnection;

// Makes requests to one server on the thread of its io_context, over
// connections that are kept open between them. Sends each request at most once:
// if the server closes a kept connection instead of responding, the outcome is
// kNoAnswer. Parses with Boost.Beast.
class EventHttpClient {
 public:
  using Callback = std::function<void(const HttpOutcome&)>;

  // At most `connections` requests are in progress at a time; others wait.
  EventHttpClient(asio::io_context* io, Address server, size_t connections);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  // Queues the request. `done` is called during this call or later, but not
  // after Close. The timeout of the request starts when a connection takes it
  // from the queue.
  void Exchange(HttpExchange exchange, Callback done);
  // Fails the requests whose timeout has expired. Must be called periodically:
  // the interval is the longest delay with which a timeout is detected.
  void CheckTime(Instant now);
  // Drops all requests, waiting or in progress, without calling `done`.
  void Close();

 private:
  struct Waiting {
    HttpExchange exchange;
    Callback done;
  };

  HttpClientConnection* FindIdleConnection();
  void StartWaiting();

  std::vector<std::shared_ptr<HttpClientConnection>> connections_;
  std::deque<Waiting> waiting_;
  bool is_closed_ = false;
};

}  // namespace qs
