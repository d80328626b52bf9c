#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace qs {

// Tells which callers closed their connection while their request was held. A
// socket belongs here only while the handler of its request runs. Safe from any
// thread.
class PeerWatch {
 public:
  void Add(uint64_t caller, int socket);
  void Remove(uint64_t caller);
  // The callers that have left since the last call.
  std::vector<uint64_t> TakeLeft();

 private:
  std::mutex mutex_;
  std::unordered_map<uint64_t, int> sockets_;
};

}  // namespace qs
