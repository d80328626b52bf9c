// Loaded into a daemon by LD_PRELOAD. Leads its connections to other daemons
// through the proxies that HeldCluster puts before them, and gives them the
// daemon's own host as their source, by which the proxies tell links apart.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

namespace {

constexpr uint16_t kPeerPort = 7000;
constexpr uint16_t kLinkPort = 7500;

}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto next =
      reinterpret_cast<decltype(&connect)>(dlsym(RTLD_NEXT, "connect"));
  sockaddr_in peer{};
  if (address->sa_family != AF_INET || length < sizeof(peer)) {
    return next(fd, address, length);
  }
  std::memcpy(&peer, address, sizeof(peer));
  const char* host = std::getenv("QS_LINK_SOURCE");
  if (host == nullptr || peer.sin_port != htons(kPeerPort)) {
    return next(fd, address, length);
  }
  sockaddr_in source{};
  source.sin_family = AF_INET;
  source.sin_addr.s_addr = inet_addr(host);
  if (bind(fd, reinterpret_cast<sockaddr*>(&source), sizeof(source)) != 0) {
    return -1;
  }
  peer.sin_port = htons(kLinkPort);
  return next(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
}
