#pragma once

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "net/peer_network.h"

namespace asio {
class io_context;
}

namespace qs {

// How a call to a guard ended.
struct CallResult {
  Reason fault = Reason::kNone;  // kHomeLost or kHomeUnreachable.
  Message reply;                 // Where there is no fault.
};

// Requests of this entry to guards that await their reply. A request is sent
// again after a reconnection, as guards answer a repeated request alike, and
// fails once its guard is gone. Call and Begin are safe from any thread; the
// other functions belong to the core thread.
class CallTable {
 public:
  // `network` must outlive the table. A guard cut off for `lost_after` counts
  // as unreachable.
  CallTable(asio::io_context* io, Millis lost_after);

  void SetNetwork(PeerNetwork* network) { network_ = network; }

  uint64_t NextRequest() { return next_request_.fetch_add(1); }

  // Sends `message`, whose request number is `request`, to the guard and waits
  // for its reply. With an incarnation, only that one is asked.
  CallResult Call(Address guard, std::optional<Incarnation> incarnation,
                  uint64_t request, Message message, Millis timeout) {
    return Begin(guard, incarnation, request, std::move(message), timeout)
        .get();
  }
  // As Call, without waiting. The future becomes ready by the timeout.
  std::future<CallResult> Begin(Address guard,
                                std::optional<Incarnation> incarnation,
                                uint64_t request, Message message,
                                Millis timeout);

  void OnLinkUp(Address guard, Incarnation incarnation);
  void OnPeerGone(Address guard, Incarnation incarnation);
  void OnReply(uint64_t request, Message reply);
  void OnTimer(Instant now);
  size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    Address guard;
    std::optional<Incarnation> incarnation;
    Message message;
    std::promise<CallResult> promise;
    Instant give_up;
    std::optional<Instant> cut_off_at;
  };
  using Table = std::unordered_map<uint64_t, Pending>;

  void Start(uint64_t request, Pending pending);
  // Ends a call and returns the entry behind it.
  Table::iterator End(Table::iterator entry, CallResult result);

  asio::io_context* io_;
  Millis lost_after_;
  PeerNetwork* network_ = nullptr;
  std::atomic<uint64_t> next_request_{1};
  Table pending_;
};

}  // namespace qs
