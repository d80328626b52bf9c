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
  EventHttpClient(asio::io_context* io, Address server, size_t connections,
                  size_t max_answer_bytes = kDefaultMaxAnswerBytes);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  // Queues the request. `done` is called during this call or later, but not
  // after Close. The timeout of the request starts when a connection takes it
  // from the queue. A request that needs a confirmed connection fails with
  // kNotSent if it gets none within its timeout.
  void Exchange(HttpExchange exchange, Callback done);
  // The process that serves the address now was still there at `time`, so that
  // a connection established by then leads to it or to nobody. Connections are
  // not confirmed otherwise: a later one may lead to a process that was started
  // since at the same address.
  void ConfirmConnections(Instant time);
  // Another process serves the address than that for which the waiting requests
  // need a confirmed connection. Fails them with kNotSent.
  void FailUnconfirmed();
  bool HasConfirmedConnection() const;
  // Sets what to do once a connection was opened for requests that need a
  // confirmed one.
  void OnOpened(std::function<void()> opened) { opened_ = std::move(opened); }
  // Fails the requests whose timeout has expired. Must be called periodically:
  // the interval is the longest delay with which a timeout is detected.
  void CheckTime(Instant now);
  // Drops all requests, waiting or in progress, without calling `done`.
  void Close();

 private:
  struct Waiting {
    HttpExchange exchange;
    Callback done;
    Instant
        give_up_at;  // Only for a request that needs a confirmed connection.
  };
  using WaitingList = std::deque<Waiting>;

  HttpClientConnection* FindIdleConnection(bool is_confirmed);
  void StartWaiting();
  void StartOn(HttpClientConnection* connection, Waiting next);
  // Opens connections for the waiting requests that need a confirmed one.
  void OpenForWaiting();
  // Fails the waiting requests that need a confirmed connection and are given
  // up by `now`.
  void FailWaiting(Instant now);

  std::vector<std::shared_ptr<HttpClientConnection>> connections_;
  WaitingList waiting_;
  Instant confirmed_until_ = Instant::min();
  std::function<void()> opened_;
  bool is_closed_ = false;
};

}  // namespace qs
