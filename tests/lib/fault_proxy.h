#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs::test {

// Stands between two processes on the loopback network and misbehaves as told.
class FaultProxy {
 public:
  enum class Mode : uint8_t {
    kPass,
    kDelay,   // Every piece of data waits.
    kMute,    // Nothing of the server reaches the client.
    kSilent,  // Nothing passes either way; connections stay open.
    kReset,   // Connections are reset, open ones and new ones.
  };

  FaultProxy(Address listen, Address server);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void SetMode(Mode mode);

 private:
  class Pair;

  void Accept();

  Address server_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<Mode> mode_{Mode::kPass};
  std::set<std::weak_ptr<Pair>, std::owner_less<std::weak_ptr<Pair>>> pairs_;
  std::thread thread_;
};

}  // namespace qs::test
