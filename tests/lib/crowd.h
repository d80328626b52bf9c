#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs::test {

// Clients that keep to no limits: connections on which more is sent for as long
// as the server takes it. Reads nothing of what is answered until it is asked.
class Crowd {
 public:
  Crowd(Address server, int members);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends `head` and then `unit` over and over on every connection, a piece on
  // each in turn. Ends when each has sent `bytes` or was closed by the server,
  // or when none could send for `stall`.
  void Send(const std::string& head, const std::string& unit, size_t bytes,
            Millis stall = Millis(3000));
  // Sends one text on each connection, as `text` makes it, as far as the server
  // takes it. Ends when all is sent, or when none could send for `stall`.
  void SendEach(const std::function<std::string()>& text,
                Millis stall = Millis(3000));
  // Waits until each connection has an answer or is closed, for so long at the
  // most.
  void AwaitAnswers(Millis longest) const;
  // Ends what the clients send; they still read.
  void HalfClose();
  // Connections that the server has not closed.
  int open() const;
  // The answers that came by now, up to the first 4 KiB of each connection.
  std::vector<std::string> Answers() const;

 private:
  // Sends `bytes_of(i)` bytes of `text_of(i)`, over and over, on connection i.
  void SendPieces(const std::function<const std::string&(size_t)>& text_of,
                  const std::function<size_t(size_t)>& bytes_of, Millis stall);

  std::vector<int> sockets_;
};

// A server that answers every request without end: `head` and then `unit` over
// and over, for as long as the client takes it.
class EndlessServer {
 public:
  EndlessServer(Address address, std::string head, const std::string& unit);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // Connections on which a request came.
  int requests() const { return requests_; }

 private:
  void Serve();

  std::string head_;
  std::string unit_;
  int listener_;
  std::atomic<int> requests_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

// The most memory that a process had resident so far, and the descriptors that
// it has open. Zero if there is no such process.
size_t PeakMemoryBytes(pid_t process);
size_t OpenDescriptors(pid_t process);

}  // namespace qs::test
