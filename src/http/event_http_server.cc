#include "http/event_http_server.h"

#include <poll.h>

#include <algorithm>
#include <asio/error.hpp>
#include <cerrno>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "http/connection_intake.h"
#include "http/http_call.h"
#include "net/tcp.h"

namespace qs {
namespace {

using asio::ip::tcp;

// The interval at which slow clients and idle connections are looked for and
// closed.
constexpr Millis kSweepInterval{500};
// The pause after a failed accept, which usually means that the process has no
// file descriptors left.
constexpr Millis kAcceptPause{50};

}  // namespace

Result<std::unique_ptr<EventHttpServer>> EventHttpServer::Make(
    asio::io_context* io, HttpServerOptions options, Handler handler) {
  std::unique_ptr<EventHttpServer> server(
      new EventHttpServer(io, std::move(options), std::move(handler)));
  const std::error_code error =
      Listen(&server->acceptor_, server->options_.address);
  if (error) return tl::unexpected(error);
  if (server->options_.receive_buffer_bytes > 0) {
    // Accepted sockets inherit it.
    std::error_code ignored;
    server->acceptor_.set_option(asio::socket_base::receive_buffer_size(
                                     server->options_.receive_buffer_bytes),
                                 ignored);
  }
  server->Accept();
  server->SweepLater();
  return server;
}

Result<std::unique_ptr<EventHttpServer>> EventHttpServer::Make(
    asio::io_context* io, HttpServerOptions options,
    std::vector<HttpRoute> routes) {
  const auto no_such_route = options.no_such_route;
  return Make(io, std::move(options),
              [table = RouteTable(std::move(routes)),
               no_such_route](const std::shared_ptr<HttpCall>& call) {
                HttpRequest request = call->request();
                const HttpRoute* route = table.Find(&request);
                call->Respond(route == nullptr ? no_such_route()
                                               : route->handler(request));
              });
}

EventHttpServer::EventHttpServer(asio::io_context* io,
                                 HttpServerOptions options, Handler handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(*io),
      accept_timer_(*io),
      sweep_timer_(*io) {}

EventHttpServer::~EventHttpServer() { Close(); }

void EventHttpServer::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    // This object may already be destroyed, so no member may be used.
    if (error == asio::error::operation_aborted) return;
    if (error) {
      Log(LogLevel::kWarn, "accept_failed",
          {{"listen", options_.address.ToString()},
           {"connections", std::to_string(sessions_.size())},
           {"error", error.message()}});
      return AcceptLater();
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void EventHttpServer::AcceptLater() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](std::error_code error) {
    if (!error) Accept();
  });
}

void EventHttpServer::OnAccepted(tcp::socket socket) {
  uint64_t number = 0;
  if (options_.intake != nullptr) {
    std::error_code error;
    const tcp::endpoint peer = socket.remote_endpoint(error);
    if (error || !peer.address().is_v4()) return;
    number = options_.intake->Open(peer.address().to_v4().to_uint());
    if (number == 0) return;
  }
  const auto session = HttpSession::Make(
      std::move(socket), &options_, &handler_,
      [this](HttpSession* closed) { sessions_.erase(closed); });
  sessions_[session.get()] = session;
  if (options_.intake != nullptr) {
    session->SetIntakeNumber(number);
    options_.intake->Watch(number, session);
  }
  session->Start();
}

void EventHttpServer::SweepLater() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    const Instant now = Clock::now();
    std::vector<std::shared_ptr<HttpSession>> sessions;
    sessions.reserve(sessions_.size());
    for (const auto& [raw, session] : sessions_) sessions.push_back(session);
    for (const auto& session : sessions) session->CheckTime(now);
    SweepLater();
  });
}

void EventHttpServer::CloseAbandoned() {
  std::vector<std::shared_ptr<HttpSession>> holding;
  std::vector<pollfd> states;
  for (const auto& [raw, session] : sessions_) {
    if (!session->is_holding()) continue;
    holding.push_back(session);
    states.push_back({session->native_handle(), POLLRDHUP, 0});
  }
  if (poll(states.data(), states.size(), 0) < 0) {
    Log(LogLevel::kError, "poll_failed",
        {{"listen", options_.address.ToString()},
         {"error", std::generic_category().message(errno)}});
    return;
  }
  for (size_t i = 0; i < holding.size(); ++i) {
    if (states[i].revents != 0) holding[i]->Close();
  }
}

bool EventHttpServer::IsIdle() const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& item) { return item.second->is_busy(); });
}

void EventHttpServer::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  sweep_timer_.cancel();
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& [raw, session] : sessions) session->Close();
}

}  // namespace qs
