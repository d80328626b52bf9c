#pragma once

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
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
  // kHomeLost or kHomeUnreachable if the call failed.
  Reason fault = Reason::kNone;
  Message reply;  // Set if there is no fault.
};

// The requests of this entry to guards that have not been answered yet. A
// request is sent again after a reconnection, since guards answer a repeated
// request in the same way. It fails when the guard's incarnation has ended,
// when the guard stays unreachable, or at its timeout. NextRequest, Call and
// Begin are safe from any thread; the other functions are for the core thread
// only.
class CallTable {
 public:
  // The network set by SetNetwork must outlive the table. A call fails with
  // kHomeUnreachable once its guard has been disconnected for
  // `unreachable_after`.
  CallTable(asio::io_context* io, Millis unreachable_after);

  void SetNetwork(PeerNetwork* network) { network_ = network; }

  uint64_t NextRequest() { return next_request_.fetch_add(1); }

  // Sends `message`, whose request number is `request`, to the guard and waits
  // for its reply. If `incarnation` is set, the call fails with kHomeLost when
  // another incarnation runs at the guard's address.
  CallResult Call(Address guard, std::optional<Incarnation> incarnation,
                  uint64_t request, Message message, Millis timeout) {
    return Begin(guard, incarnation, request, std::move(message), timeout)
        .get();
  }
  // As Call, without waiting. The future becomes ready at the timeout at the
  // latest.
  std::future<CallResult> Begin(Address guard,
                                std::optional<Incarnation> incarnation,
                                uint64_t request, Message message,
                                Millis timeout);

  void OnLinkUp(Address guard, Incarnation incarnation);
  void OnPeerGone(Address guard, Incarnation incarnation);
  void OnReply(uint64_t request, Message reply);
  void OnTimer(Instant now);
  // All calls fail with kHomeUnreachable from now on.
  void Close();
  size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    Address guard;
    std::optional<Incarnation> incarnation;
    Message message;
    std::promise<CallResult> promise;
    Instant expires;
    std::optional<Instant> disconnected_at;
  };
  using Table = std::unordered_map<uint64_t, Pending>;

  void Start(uint64_t request);
  // Completes and removes a call. Returns the iterator to the next one.
  Table::iterator End(Table::iterator entry, CallResult result);

  asio::io_context* io_;
  Millis unreachable_after_;
  PeerNetwork* network_ = nullptr;
  std::atomic<uint64_t> next_request_{1};
  Table pending_;
  std::mutex begun_mutex_;
  Table begun_;  // Calls that Start has not taken up.
  bool is_closed_ = false;
};

}  // namespace qs
