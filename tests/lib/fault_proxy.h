#pragma once

#include <array>
#include <asio/executor_work_guard.hpp>
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
    kDeaf,    // Nothing of the client reaches the server.
    kSilent,  // Nothing passes either way; connections stay open.
    kReset,   // Connections are reset, open ones and new ones.
  };

  FaultProxy(Address listen, Address server);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void SetMode(Mode mode);
  // The same for connections from one host of the cluster's network only.
  void SetModeFor(uint8_t client_host, Mode mode);
  // While false, new connections are refused, as if no process listened.
  // Returns once this is in force. Open connections stay.
  void SetListening(bool is_listening);

 private:
  class Pair;

  void Listen();
  void Accept();
  // Resets the open connections whose mode is kReset.
  void ResetPairs();

  Address listen_;
  Address server_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::ip::tcp::acceptor acceptor_;
  // By the last byte of the client's address.
  std::array<std::atomic<Mode>, 256> modes_{};
  std::set<std::weak_ptr<Pair>, std::owner_less<std::weak_ptr<Pair>>> pairs_;
  std::thread thread_;
};

}  // namespace qs::test
