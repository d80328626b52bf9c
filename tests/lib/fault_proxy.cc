#include "lib/fault_proxy.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <future>

#include "net/tcp.h"

namespace qs::test {
namespace {

using asio::ip::tcp;

constexpr Millis kDelay{120};
// A silent connection looks again for its mode so often.
constexpr Millis kRecheck{20};

uint8_t HostOf(const tcp::socket& client) {
  std::error_code ignored;
  const tcp::endpoint peer = client.remote_endpoint(ignored);
  return peer.address().is_v4() ? peer.address().to_v4().to_bytes()[3] : 0;
}

}  // namespace

// A connection and its continuation to the server. Kept by its operations.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(FaultProxy* proxy, tcp::socket client)
      : proxy_(proxy),
        mode_(&proxy->modes_.at(HostOf(client))),
        up_{std::move(client), asio::steady_timer(proxy->io_), {}},
        down_{tcp::socket(proxy->io_), asio::steady_timer(proxy->io_), {}} {}

  Mode mode() const { return *mode_; }

  void Start() {
    down_.from.async_connect(
        ToEndpoint(proxy_->server_),
        [self = shared_from_this()](std::error_code error) {
          if (error) return self->Reset();
          self->Read(&self->up_, &self->down_);
          self->Read(&self->down_, &self->up_);
        });
  }

  void Reset() {
    std::error_code ignored;
    for (Side* side : {&up_, &down_}) {
      side->from.set_option(asio::socket_base::linger(true, 0), ignored);
      side->from.close(ignored);
      side->timer.cancel();
    }
  }

 private:
  struct Side {
    tcp::socket from;
    asio::steady_timer timer;
    std::array<char, 16'384> buffer;
  };

  void Read(Side* side, Side* to) {
    side->from.async_read_some(asio::buffer(side->buffer),
                               [self = shared_from_this(), side, to](
                                   std::error_code error, size_t size) {
                                 if (error) return self->End(side);
                                 self->Pass(side, to, size, false);
                               });
  }

  bool IsHeld(const Side* side) const {
    return mode() == Mode::kSilent ||
           mode() == (side == &down_ ? Mode::kMute : Mode::kDeaf);
  }

  // One side closed its connection. The other learns of it when data passes.
  void End(Side* side) {
    if (!IsHeld(side)) return Reset();
    side->timer.expires_after(kRecheck);
    side->timer.async_wait(
        [self = shared_from_this(), side](std::error_code error) {
          if (!error) self->End(side);
        });
  }

  void Pass(Side* side, Side* to, size_t size, bool has_waited) {
    const bool is_held = IsHeld(side);
    const bool is_delayed = mode() == Mode::kDelay && !has_waited;
    if (is_held || is_delayed) {
      side->timer.expires_after(is_held ? kRecheck : kDelay);
      side->timer.async_wait([self = shared_from_this(), side, to, size,
                              is_delayed](std::error_code error) {
        if (!error) self->Pass(side, to, size, is_delayed);
      });
      return;
    }
    asio::async_write(
        to->from, asio::buffer(side->buffer.data(), size),
        [self = shared_from_this(), side, to](std::error_code error, size_t) {
          if (error) return self->Reset();
          self->Read(side, to);
        });
  }

  FaultProxy* proxy_;
  const std::atomic<Mode>* mode_;
  Side up_;    // From the client.
  Side down_;  // From the server.
};

FaultProxy::FaultProxy(Address listen, Address server)
    : listen_(listen),
      server_(server),
      work_(asio::make_work_guard(io_)),
      acceptor_(io_) {
  Listen();
  thread_ = std::thread([this] { io_.run(); });
}

FaultProxy::~FaultProxy() {
  SetMode(Mode::kReset);
  SetListening(false);
  work_.reset();
  thread_.join();
}

void FaultProxy::SetMode(Mode mode) {
  for (std::atomic<Mode>& each : modes_) each = mode;
  if (mode == Mode::kReset) ResetPairs();
}

void FaultProxy::SetModeFor(uint8_t client_host, Mode mode) {
  modes_.at(client_host) = mode;
  if (mode == Mode::kReset) ResetPairs();
}

void FaultProxy::SetListening(bool is_listening) {
  std::promise<void> done;
  asio::post(io_, [&] {
    std::error_code ignored;
    if (!is_listening) acceptor_.close(ignored);
    if (is_listening && !acceptor_.is_open()) Listen();
    done.set_value();
  });
  done.get_future().wait();
}

void FaultProxy::ResetPairs() {
  asio::post(io_, [this] {
    std::erase_if(pairs_, [](const std::weak_ptr<Pair>& weak) {
      const auto pair = weak.lock();
      if (pair && pair->mode() != Mode::kReset) return false;
      if (pair) pair->Reset();
      return true;
    });
  });
}

void FaultProxy::Listen() {
  const std::error_code error = qs::Listen(&acceptor_, listen_);
  if (error) {
    std::fprintf(stderr, "%s: %s\n", listen_.ToString().c_str(),
                 error.message().c_str());
    std::abort();
  }
  Accept();
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    // A completed accept may be handled after the acceptor was closed.
    if (acceptor_.is_open()) Accept();
    if (error) return;
    const auto pair = std::make_shared<Pair>(this, std::move(socket));
    if (pair->mode() == Mode::kReset) return pair->Reset();
    pairs_.insert(pair);
    pair->Start();
  });
}

}  // namespace qs::test
