#include "lib/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace qs::test {

RawConnection::RawConnection(Address address, Millis patience)
    : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  connected_ =
      connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  SetPatience(patience);
}

RawConnection::~RawConnection() { close(fd_); }

void RawConnection::SetPatience(Millis patience) const {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(patience);
  const timeval limit{seconds.count(),
                      std::chrono::microseconds(patience - seconds).count()};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool RawConnection::Send(const std::string& bytes) const {
  return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

bool RawConnection::WaitForData(Millis patience) const {
  pollfd watched{fd_, POLLIN, 0};
  return poll(&watched, 1, static_cast<int>(patience.count())) > 0;
}

std::string RawConnection::ReadAll() const {
  std::string all;
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = recv(fd_, buffer.data(), buffer.size(), 0)) > 0) {
    all.append(buffer.data(), static_cast<size_t>(count));
  }
  return all;
}

std::string RawConnection::ReadUntil(const std::string& mark) const {
  std::string text;
  char byte = 0;
  while (!text.ends_with(mark) && recv(fd_, &byte, 1, 0) == 1) text += byte;
  return text;
}

std::string RawConnection::Read(size_t size) const {
  std::string text(size, '\0');
  const ssize_t count = recv(fd_, text.data(), size, MSG_WAITALL);
  text.resize(count > 0 ? static_cast<size_t>(count) : 0);
  return text;
}

}  // namespace qs::test
