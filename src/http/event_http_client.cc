#include "http/event_http_client.h"

#include <utility>

#include "http/http_client_connection.h"

namespace qs {

EventHttpClient::EventHttpClient(asio::io_context* io, Address server,
                                 size_t connections) {
  for (size_t i = 0; i < connections; ++i) {
    connections_.push_back(HttpClientConnection::Make(io, server));
  }
}

EventHttpClient::~EventHttpClient() { Close(); }

void EventHttpClient::Exchange(HttpExchange exchange, Callback done) {
  if (is_closed_) return;
  waiting_.push_back({std::move(exchange), std::move(done)});
  StartWaiting();
}

// Returns an idle connection, or null if all are busy. Prefers one that is
// open, since the others must connect first.
HttpClientConnection* EventHttpClient::FindIdleConnection() {
  HttpClientConnection* found = nullptr;
  for (const auto& connection : connections_) {
    if (connection->is_busy()) continue;
    if (connection->is_open()) return connection.get();
    if (found == nullptr) found = connection.get();
  }
  return found;
}

void EventHttpClient::StartWaiting() {
  while (!waiting_.empty()) {
    HttpClientConnection* connection = FindIdleConnection();
    if (connection == nullptr) return;
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    connection->Start(
        std::move(next.exchange), Clock::now(),
        [this, done = std::move(next.done)](const HttpOutcome& outcome) {
          done(outcome);
          StartWaiting();
        });
  }
}

void EventHttpClient::CheckTime(Instant now) {
  for (const auto& connection : connections_) connection->CheckTime(now);
}

void EventHttpClient::Close() {
  is_closed_ = true;
  waiting_.clear();
  for (const auto& connection : connections_) connection->Close();
}

}  // namespace qs
