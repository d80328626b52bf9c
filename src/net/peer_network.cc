#include "net/peer_network.h"

#include <algorithm>
#include <asio/error.hpp>
#include <utility>

#include "net/connection.h"
#include "net/tcp.h"
#include "wire/codec.h"

namespace qs {
namespace {

using asio::ip::tcp;

constexpr Millis kMinRetryDelay{50};
constexpr Millis kMaxRetryDelay{1000};
constexpr Millis kConnectTimeout{2000};
constexpr Millis kHelloTimeout{5000};
constexpr Millis kAcceptPause{50};

}  // namespace

struct PeerNetwork::Link {
  explicit Link(asio::io_context* io) : timer(*io) {}

  Address address;
  asio::steady_timer timer;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<tcp::socket> connecting;
  bool is_up = false;
  bool dropped = false;
  Incarnation incarnation;  // The peer's, from the last Hello; 0 while unknown.
  Millis retry_delay{0};
};

struct PeerNetwork::Session {
  explicit Session(asio::io_context* io) : timer(*io) {}

  uint64_t number = 0;
  asio::steady_timer timer;
  std::shared_ptr<Connection> connection;
  bool has_hello = false;
  Hello hello;
};

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::Make(
    asio::io_context* io, const Hello& self, PeerHandler* handler,
    const PeerLimits& limits) {
  std::unique_ptr<PeerNetwork> network(
      new PeerNetwork(io, self, handler, limits));
  const std::error_code error = Listen(&network->acceptor_, self.address);
  if (error) return tl::unexpected(error);
  network->Accept();
  return network;
}

PeerNetwork::PeerNetwork(asio::io_context* io, const Hello& self,
                         PeerHandler* handler, const PeerLimits& limits)
    : io_(io),
      self_(self),
      handler_(handler),
      limits_(limits),
      acceptor_(*io),
      accept_timer_(*io),
      random_(static_cast<uint32_t>(self.incarnation.value)) {}

PeerNetwork::~PeerNetwork() { Close(); }

void PeerNetwork::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || closed_) return;
    // Usually the process has no descriptors left.
    if (error) return AcceptLater();
    if (HasRoom()) {
      StartSession(std::move(socket));
    } else {
      ++refused_sessions_;
    }
    Accept();
  });
}

void PeerNetwork::AcceptLater() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](std::error_code error) {
    if (!error && !closed_) Accept();
  });
}

bool PeerNetwork::HasRoom() const {
  if (sessions_.size() >= limits_.max_sessions) return false;
  const auto unnamed =
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& entry) { return !entry.second->has_hello; });
  return static_cast<size_t>(unnamed) < limits_.max_unnamed_sessions;
}

void PeerNetwork::StartSession(tcp::socket socket) {
  auto session = std::make_shared<Session>(io_);
  session->number = next_session_++;
  session->connection = Connection::Make(std::move(socket), limits_.frames);
  sessions_[session->number] = session;
  session->timer.expires_after(kHelloTimeout);
  session->timer.async_wait([this, session](std::error_code error) {
    if (error || session->has_hello) return;
    ++refused_sessions_;
    session->connection->Close();
    sessions_.erase(session->number);
  });
  session->connection->Start(
      [this, session](Message message) {
        OnSessionFrame(session, std::move(message));
      },
      [this, session](std::error_code error) {
        const bool is_refused =
            error == std::errc::message_size || error == std::errc::bad_message;
        if (is_refused) ++refused_sessions_;
        OnSessionClosed(session);
      });
}

void PeerNetwork::OnSessionFrame(const std::shared_ptr<Session>& session,
                                 Message message) {
  if (session->has_hello) {
    handler_->OnSessionMessage(session->number, session->hello,
                               std::move(message));
    return;
  }
  const Hello* hello = std::get_if<Hello>(&message);
  // A peer has one link to this process. It has given up a connection that it
  // opened before the one in use.
  if (hello == nullptr || HasLaterSession(*session, *hello)) {
    ++refused_sessions_;
    session->connection->Close();
    OnSessionClosed(session);
    return;
  }
  session->has_hello = true;
  session->connection->AcceptLargeFrames();
  session->hello = *hello;
  session->timer.cancel();
  SendToSession(session->number, self_);
  const auto link = links_.find(hello->address);
  if (link != links_.end()) {
    const Incarnation known = link->second->incarnation;
    if (known.value != 0 && known != hello->incarnation) Renew(link->second);
  }
  handler_->OnSessionUp(session->number, session->hello);
}

void PeerNetwork::OnSessionClosed(const std::shared_ptr<Session>& session) {
  session->timer.cancel();
  if (sessions_.erase(session->number) == 0 || closed_) return;
  if (session->has_hello) {
    handler_->OnSessionDown(session->number, session->hello);
  }
}

void PeerNetwork::KeepLink(Address address) {
  if (closed_ || address == self_.address || links_.contains(address)) return;
  auto link = std::make_shared<Link>(io_);
  link->address = address;
  links_[address] = link;
  Connect(link);
}

void PeerNetwork::DropLink(Address address) {
  const auto found = links_.find(address);
  if (found == links_.end()) return;
  const std::shared_ptr<Link> link = found->second;
  link->dropped = true;
  link->timer.cancel();
  if (link->connection) link->connection->Close();
  links_.erase(found);
}

void PeerNetwork::Connect(const std::shared_ptr<Link>& link) {
  auto socket = std::make_shared<tcp::socket>(*io_);
  link->connecting = socket;
  link->timer.expires_after(kConnectTimeout);
  link->timer.async_wait([socket](std::error_code error) {
    std::error_code ignored;
    if (!error) socket->close(ignored);
  });
  socket->async_connect(
      ToEndpoint(link->address), [this, link, socket](std::error_code error) {
        if (link->dropped || closed_) return;
        link->timer.cancel();
        link->connecting.reset();
        if (error) {
          Retry(link, error == asio::error::connection_refused);
          return;
        }
        OnConnected(link, std::move(*socket));
      });
}

void PeerNetwork::OnConnected(const std::shared_ptr<Link>& link,
                              tcp::socket socket) {
  link->connection = Connection::Make(std::move(socket), limits_.frames);
  const std::shared_ptr<Connection> connection = link->connection;
  connection->Start(
      [this, link](Message message) {
        if (link->is_up) {
          handler_->OnLinkMessage(link->address, link->incarnation,
                                  std::move(message));
          return;
        }
        const Hello* hello = std::get_if<Hello>(&message);
        if (hello != nullptr) OnHello(link, *hello);
      },
      [this, link](std::error_code) { OnLinkClosed(link); });
  Hello hello = self_;
  hello.connection = next_connection_++;
  std::string frame = EncodeFrame(hello);
  Count(frame);
  connection->Send(std::move(frame));
}

void PeerNetwork::OnHello(const std::shared_ptr<Link>& link,
                          const Hello& hello) {
  const Incarnation old = link->incarnation;
  link->incarnation = hello.incarnation;
  link->is_up = true;
  link->connection->AcceptLargeFrames();
  link->retry_delay = Millis(0);
  if (old.value != 0 && old != hello.incarnation) {
    handler_->OnPeerGone(link->address, old);
  }
  handler_->OnLinkUp(link->address, hello);
}

void PeerNetwork::OnLinkClosed(const std::shared_ptr<Link>& link) {
  if (link->dropped || closed_) return;
  link->connection.reset();
  const bool was_up = std::exchange(link->is_up, false);
  if (was_up) handler_->OnLinkDown(link->address, link->incarnation);
  Retry(link, false);
}

// Connects anew to a peer of which two incarnations have sent a Hello. The
// later Hello may be that of the former incarnation, so that only the process
// that listens at the address tells which one has terminated.
void PeerNetwork::Renew(const std::shared_ptr<Link>& link) {
  if (link->connecting) return;
  link->timer.cancel();
  if (link->connection) link->connection->Close();
  link->connection.reset();
  const bool was_up = std::exchange(link->is_up, false);
  if (was_up) handler_->OnLinkDown(link->address, link->incarnation);
  if (!link->dropped && !closed_) Connect(link);
}

void PeerNetwork::Retry(const std::shared_ptr<Link>& link, bool refused) {
  if (refused && link->incarnation.value != 0 &&
      !HasSession(link->incarnation)) {
    // A running process keeps its listening socket open, so a refused
    // connection shows that the peer has terminated. While the peer's own
    // connection is open, the refusal came from the network.
    const Incarnation terminated = std::exchange(link->incarnation, {});
    handler_->OnPeerGone(link->address, terminated);
    if (link->dropped) return;
  }
  link->retry_delay =
      std::clamp(link->retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  std::uniform_int_distribution<int64_t> jitter(link->retry_delay.count() / 2,
                                                link->retry_delay.count());
  link->timer.expires_after(Millis(jitter(random_)));
  link->timer.async_wait([this, link](std::error_code error) {
    if (error || link->dropped || closed_) return;
    // Renew may have connected after this timer had expired.
    if (link->connecting || link->connection) return;
    Connect(link);
  });
}

// Connections may be accepted in another order than they were opened in. A
// connection without a number is as late as it was accepted.
bool PeerNetwork::HasLaterSession(const Session& session,
                                  const Hello& hello) const {
  return std::any_of(
      sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        const Session& other = *entry.second;
        if (!other.has_hello || other.hello.incarnation != hello.incarnation) {
          return false;
        }
        const bool are_numbered =
            other.hello.connection != 0 && hello.connection != 0;
        return are_numbered ? other.hello.connection > hello.connection
                            : other.number > session.number;
      });
}

bool PeerNetwork::HasSession(Incarnation incarnation) const {
  return std::any_of(
      sessions_.begin(), sessions_.end(), [&](const auto& entry) {
        const Session& session = *entry.second;
        return session.has_hello && session.hello.incarnation == incarnation;
      });
}

bool PeerNetwork::IsUp(Address address, Incarnation* incarnation) const {
  const auto found = links_.find(address);
  if (found == links_.end() || !found->second->is_up) return false;
  *incarnation = found->second->incarnation;
  return true;
}

bool PeerNetwork::Send(Address address, const Message& message) {
  KeepLink(address);
  const auto found = links_.find(address);
  if (found == links_.end() || !found->second->is_up) return false;
  std::string frame = EncodeFrame(message);
  Count(frame);
  found->second->connection->Send(std::move(frame));
  return true;
}

void PeerNetwork::SendToSession(uint64_t session, const Message& message) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  std::string frame = EncodeFrame(message);
  Count(frame);
  found->second->connection->Send(std::move(frame));
}

void PeerNetwork::Count(const std::string& frame) {
  ++sent_messages_;
  sent_bytes_ += frame.size();
}

bool PeerNetwork::IsFlushed() const {
  const auto is_empty = [](const auto& entry) {
    const auto& connection = entry.second->connection;
    return connection == nullptr || connection->unsent_bytes() == 0;
  };
  return std::all_of(links_.begin(), links_.end(), is_empty) &&
         std::all_of(sessions_.begin(), sessions_.end(), is_empty);
}

void PeerNetwork::Close() {
  if (closed_) return;
  closed_ = true;
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  for (auto& [address, link] : links_) {
    link->dropped = true;
    link->timer.cancel();
    if (link->connecting) link->connecting->close(ignored);
    if (link->connection) link->connection->Close();
  }
  for (auto& [number, session] : sessions_) {
    session->timer.cancel();
    session->connection->Close();
  }
  links_.clear();
  sessions_.clear();
}

}  // namespace qs
