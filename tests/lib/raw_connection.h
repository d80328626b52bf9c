#pragma once

#include <string>

#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace qs::test {

// A plain TCP connection, for what no well-behaved client sends.
class RawConnection {
 public:
  // Reads end when nothing comes for `patience`; zero waits for ever.
  explicit RawConnection(Address address, Millis patience = Millis(0));
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return connected_; }
  void SetPatience(Millis patience) const;
  // Whether data or the peer's close came in time. More exact than a read,
  // whose patience is rounded up to ticks of the kernel.
  bool WaitForData(Millis patience) const;
  // Whether all of it was taken.
  bool Send(const std::string& bytes) const;
  // Everything up to the peer's close.
  std::string ReadAll() const;
  // Up to and with `mark`, or to the peer's close.
  std::string ReadUntil(const std::string& mark) const;
  // So many bytes, or up to the peer's close.
  std::string Read(size_t size) const;

 private:
  int fd_;
  bool connected_ = false;
};

}  // namespace qs::test
