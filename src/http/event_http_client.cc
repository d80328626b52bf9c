#include "http/event_http_client.h"

#include <algorithm>
#include <utility>

#include "http/http_client_connection.h"

namespace qs {
namespace {

// The timeout for a connection that is opened for requests which wait for a
// confirmed one.
constexpr Millis kOpenTimeout{300};

}  // namespace

EventHttpClient::EventHttpClient(asio::io_context* io, Address server,
                                 size_t connections, size_t max_answer_bytes) {
  for (size_t i = 0; i < connections; ++i) {
    connections_.push_back(
        HttpClientConnection::Make(io, server, max_answer_bytes));
  }
}

EventHttpClient::~EventHttpClient() { Close(); }

void EventHttpClient::Exchange(HttpExchange exchange, Callback done) {
  if (is_closed_) return;
  const Instant give_up_at = Clock::now() + exchange.timeout;
  waiting_.push_back({std::move(exchange), std::move(done), give_up_at});
  StartWaiting();
}

void EventHttpClient::ConfirmConnections(Instant time) {
  confirmed_until_ = std::max(confirmed_until_, time);
  StartWaiting();
}

bool EventHttpClient::HasConfirmedConnection() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [&](const auto& c) { return c->WasOpenAt(confirmed_until_); });
}

// Returns an idle connection, or null if there is none. Prefers one that is
// open, since the others must connect first.
HttpClientConnection* EventHttpClient::FindIdleConnection(bool is_confirmed) {
  HttpClientConnection* found = nullptr;
  for (const auto& connection : connections_) {
    if (connection->is_busy()) continue;
    if (is_confirmed && !connection->WasOpenAt(confirmed_until_)) continue;
    if (connection->is_open()) return connection.get();
    if (found == nullptr) found = connection.get();
  }
  return found;
}

void EventHttpClient::StartWaiting() {
  // A request that waits for a confirmed connection must not delay others.
  for (size_t i = 0; i < waiting_.size();) {
    HttpClientConnection* connection =
        FindIdleConnection(waiting_[i].exchange.needs_confirmed_connection);
    if (connection == nullptr) {
      ++i;
      continue;
    }
    Waiting next = std::move(waiting_[i]);
    waiting_.erase(waiting_.begin() + static_cast<ptrdiff_t>(i));
    StartOn(connection, std::move(next));
    // Callbacks of the exchange may have changed the list.
    i = 0;
  }
  OpenForWaiting();
}

void EventHttpClient::StartOn(HttpClientConnection* connection, Waiting next) {
  connection->Start(
      std::move(next.exchange), Clock::now(),
      [this, done = std::move(next.done)](const HttpOutcome& outcome) {
        done(outcome);
        StartWaiting();
      });
}

void EventHttpClient::OpenForWaiting() {
  auto missing = std::count_if(
      waiting_.begin(), waiting_.end(), [](const Waiting& waiting) {
        return waiting.exchange.needs_confirmed_connection;
      });
  for (const auto& connection : connections_) {
    // Others are open or about to be; they serve the requests once confirmed.
    if (connection->is_open() || connection->is_busy()) {
      --missing;
      continue;
    }
    if (missing <= 0) continue;
    --missing;
    connection->Open(kOpenTimeout, Clock::now(), [this](HttpFault fault) {
      if (fault != HttpFault::kNone) return FailUnconfirmed();
      if (opened_) opened_();
    });
  }
}

void EventHttpClient::FailUnconfirmed() { FailWaiting(Instant::max()); }

void EventHttpClient::FailWaiting(Instant now) {
  std::vector<Callback> failed;
  std::erase_if(waiting_, [&](Waiting& waiting) {
    if (!waiting.exchange.needs_confirmed_connection) return false;
    if (now < waiting.give_up_at) return false;
    failed.push_back(std::move(waiting.done));
    return true;
  });
  for (const Callback& done : failed) done({HttpFault::kNotSent, 0, {}});
}

void EventHttpClient::CheckTime(Instant now) {
  for (const auto& connection : connections_) connection->CheckTime(now);
  FailWaiting(now);
}

void EventHttpClient::Close() {
  is_closed_ = true;
  waiting_.clear();
  for (const auto& connection : connections_) connection->Close();
}

}  // namespace qs
