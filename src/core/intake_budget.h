#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace qs {

struct IntakeLimits {
  // What clients may make the process hold, in requests that are being read and
  // answers that are being written.
  size_t max_bytes = 32U << 20U;
  // A connection that holds no more is an ordinary one.
  size_t ordinary_bytes = 16U << 10U;
  // The share of `max_bytes` that is left to ordinary connections.
  uint32_t ordinary_percent = 80;
  size_t max_connections = 65'536;
  size_t max_connections_of_address = 0;  // 0 for no limit.
};

// Decides which of a process's clients have to yield when together they hold
// too much memory or too many connections. Without I/O: connections are named
// by rising numbers.
class IntakeBudget {
 public:
  using Id = uint64_t;
  enum class Phase : uint8_t {
    kReading,    // Waits for a request, or for the rest of one.
    kInService,  // Its request waits for its answer.
    kWriting,    // The client has not taken the whole answer.
  };
  enum class Verdict : uint8_t { kAdmitted, kTooMany, kTooManyOfAddress };
  struct Admission {
    Verdict verdict = Verdict::kAdmitted;
    Id id = 0;  // Of the new connection, if it was admitted.
    // A connection that has to be closed in its place.
    std::optional<Id> to_close;
  };

  explicit IntakeBudget(const IntakeLimits& limits) : limits_(limits) {}

  // A client connected. At the limit a connection makes room that has not
  // brought a whole request yet, the one opened first; after those one that
  // waits for its next request, the one that has waited longest.
  Admission Open(uint32_t address);
  void Close(Id id);
  // What the connection holds now.
  void Update(Id id, size_t bytes, Phase phase);
  // The connection was answered and waits for its next request.
  void OnServed(Id id);
  // Connections that have to yield, so that the rest is within the budget: the
  // largest first, and of equal ones the newest. None whose request is in
  // service, since nobody could say then that it did not run.
  std::vector<Id> TakeOverBudget();

  size_t connections() const { return connections_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct Connection {
    uint32_t address = 0;
    size_t bytes = 0;
    Phase phase = Phase::kReading;
    uint64_t served = 0;  // The number of the last answer; 0 for none.
  };

  bool IsLarge(const Connection& c) const {
    return c.bytes > limits_.ordinary_bytes;
  }
  void SetBytes(Connection* connection, size_t bytes);
  std::optional<Id> FindIdle(std::optional<uint32_t> address) const;

  IntakeLimits limits_;
  Id next_id_ = 1;
  uint64_t next_served_ = 1;
  size_t bytes_ = 0;
  size_t large_bytes_ = 0;  // Of connections that are not ordinary.
  std::map<Id, Connection> connections_;
  std::unordered_map<uint32_t, size_t> by_address_;
};

}  // namespace qs
