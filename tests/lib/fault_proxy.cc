#include "lib/fault_proxy.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace qs::test {
namespace {

using asio::ip::tcp;

constexpr Millis kDelay{120};
// A silent connection looks again for its mode so often.
constexpr Millis kRecheck{20};

tcp::endpoint EndpointOf(Address address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

}  // namespace

// A connection and its continuation to the server. Kept by its operations.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(FaultProxy* proxy, tcp::socket client)
      : proxy_(proxy),
        up_{std::move(client), asio::steady_timer(proxy->io_), {}},
        down_{tcp::socket(proxy->io_), asio::steady_timer(proxy->io_), {}} {}

  void Start() {
    down_.from.async_connect(
        EndpointOf(proxy_->server_),
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
                                 if (error) return self->Reset();
                                 self->Pass(side, to, size, false);
                               });
  }

  void Pass(Side* side, Side* to, size_t size, bool has_waited) {
    const Mode mode = proxy_->mode_;
    const bool is_held =
        mode == Mode::kSilent || (mode == Mode::kMute && side == &down_);
    const bool is_delayed = mode == Mode::kDelay && !has_waited;
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
  Side up_;    // From the client.
  Side down_;  // From the server.
};

FaultProxy::FaultProxy(Address listen, Address server)
    : server_(server), acceptor_(io_, EndpointOf(listen)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

FaultProxy::~FaultProxy() {
  asio::post(io_, [this] {
    std::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : pairs_) {
      if (const auto pair = weak.lock()) pair->Reset();
    }
  });
  thread_.join();
}

void FaultProxy::SetMode(Mode mode) {
  mode_ = mode;
  if (mode != Mode::kReset) return;
  asio::post(io_, [this] {
    for (const auto& weak : pairs_) {
      if (const auto pair = weak.lock()) pair->Reset();
    }
    pairs_.clear();
  });
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    const auto pair = std::make_shared<Pair>(this, std::move(socket));
    if (mode_ == Mode::kReset) {
      pair->Reset();
    } else {
      pairs_.insert(pair);
      pair->Start();
    }
    Accept();
  });
}

}  // namespace qs::test
