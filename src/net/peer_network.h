#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "net/connection.h"
#include "quetzalspindle/result.h"
#include "wire/messages.h"

namespace qs {

// What other processes, or clients that pass for one, may make this one hold.
struct PeerLimits {
  FrameLimits frames;
  size_t max_sessions = 4000;
  size_t max_unnamed_sessions = 200;  // That have sent no Hello.
};

// Receives the events of a PeerNetwork. A link is a connection that this
// process opened; a session is one that it accepted. Requests are sent on
// links, and their replies on the connection of the request.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnLinkUp(Address address, const Hello& hello) = 0;
  virtual void OnLinkDown(Address address, Incarnation incarnation) = 0;
  // `incarnation` has terminated: no process listens at the address any more,
  // or another incarnation does.
  virtual void OnPeerGone(Address address, Incarnation incarnation) = 0;
  virtual void OnLinkMessage(Address address, Incarnation incarnation,
                             Message message) = 0;
  virtual void OnSessionUp(uint64_t session, const Hello& hello) = 0;
  virtual void OnSessionMessage(uint64_t session, const Hello& hello,
                                Message message) = 0;
  virtual void OnSessionDown(uint64_t session, const Hello& hello) = 0;
};

// The connections between this process and its peers. Links reconnect
// automatically. Not thread-safe: all calls and callbacks are made on the
// thread of its io_context.
class PeerNetwork {
 public:
  // Listens on `self.address`. Port 0 is not allowed. `handler` must outlive
  // the network.
  static Result<std::unique_ptr<PeerNetwork>> Make(
      asio::io_context* io, const Hello& self, PeerHandler* handler,
      const PeerLimits& limits = PeerLimits());
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Opens a link to the address and reconnects it after every failure until
  // DropLink.
  void KeepLink(Address address);
  void DropLink(Address address);
  // Returns whether the link to the address is up, that is, connected and past
  // the peer's Hello. If so, sets `*incarnation` to the peer's.
  bool IsUp(Address address, Incarnation* incarnation) const;
  // Sends on the link to the address, and opens it if there is none. Returns
  // false and sends nothing if the link is not up yet.
  bool Send(Address address, const Message& message);
  void SendToSession(uint64_t session, const Message& message);
  // Returns whether no connection has unsent bytes.
  bool IsFlushed() const;
  void Close();

  uint64_t sent_messages() const { return sent_messages_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  // Sessions that were closed: too many, without a Hello, or with a frame that
  // was too large or could not be read.
  uint64_t refused_sessions() const { return refused_sessions_; }

 private:
  struct Link;
  struct Session;

  PeerNetwork(asio::io_context* io, const Hello& self, PeerHandler* handler,
              const PeerLimits& limits);

  void Accept();
  // Accepts again after a pause.
  void AcceptLater();
  // Whether the limits allow another session.
  bool HasRoom() const;
  void Connect(const std::shared_ptr<Link>& link);
  void OnConnected(const std::shared_ptr<Link>& link,
                   asio::ip::tcp::socket socket);
  void OnHello(const std::shared_ptr<Link>& link, const Hello& hello);
  void OnLinkClosed(const std::shared_ptr<Link>& link);
  void Renew(const std::shared_ptr<Link>& link);
  void Retry(const std::shared_ptr<Link>& link, bool refused);
  // Returns whether a connection that this incarnation opened is open.
  bool HasSession(Incarnation incarnation) const;
  // Returns whether the sender of the Hello has another open session here, over
  // a connection that it opened after that of `session`.
  bool HasLaterSession(const Session& session, const Hello& hello) const;
  void StartSession(asio::ip::tcp::socket socket);
  void OnSessionFrame(const std::shared_ptr<Session>& session, Message message);
  void OnSessionClosed(const std::shared_ptr<Session>& session);
  void Count(const std::string& frame);

  asio::io_context* io_;
  Hello self_;
  PeerHandler* handler_;
  PeerLimits limits_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  bool closed_ = false;
  uint64_t next_session_ = 1;
  uint64_t next_connection_ = 1;
  uint64_t sent_messages_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t refused_sessions_ = 0;
  std::minstd_rand random_;
  std::unordered_map<Address, std::shared_ptr<Link>> links_;
  std::unordered_map<uint64_t, std::shared_ptr<Session>> sessions_;
};

}  // namespace qs
