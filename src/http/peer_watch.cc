#include "http/peer_watch.h"

#include <poll.h>

namespace qs {

void PeerWatch::Add(uint64_t caller, int socket) {
  if (socket < 0) return;
  const std::lock_guard lock(mutex_);
  sockets_[caller] = socket;
}

void PeerWatch::Remove(uint64_t caller) {
  const std::lock_guard lock(mutex_);
  sockets_.erase(caller);
}

std::vector<uint64_t> PeerWatch::TakeLeft() {
  std::vector<uint64_t> left;
  // Held throughout, so that no handler returns its socket in between.
  const std::lock_guard lock(mutex_);
  std::vector<pollfd> polled;
  std::vector<uint64_t> callers;
  polled.reserve(sockets_.size());
  callers.reserve(sockets_.size());
  for (const auto& [caller, socket] : sockets_) {
    polled.push_back({socket, POLLRDHUP, 0});
    callers.push_back(caller);
  }
  if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0) return left;
  for (size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents == 0) continue;
    left.push_back(callers[i]);
    sockets_.erase(callers[i]);
  }
  return left;
}

}  // namespace qs
