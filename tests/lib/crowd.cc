#include "lib/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace qs::test {
namespace {

constexpr size_t kPieceBytes = 16'384;
constexpr size_t kAnswerBytes = 4096;

struct Member {
  size_t sent = 0;
  bool is_over = false;
};

// Sends up to a piece. Returns whether anything was taken.
bool SendPiece(int fd, const std::string& text, size_t bytes, Member* member) {
  const size_t at = member->sent % text.size();
  const size_t size =
      std::min({kPieceBytes, text.size() - at, bytes - member->sent});
  const ssize_t taken =
      send(fd, text.data() + at, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (taken > 0) member->sent += static_cast<size_t>(taken);
  const bool is_full = taken < 0 && (errno == EAGAIN || errno == EINTR);
  if (!is_full && taken <= 0) member->is_over = true;
  if (member->sent == bytes) member->is_over = true;
  return taken > 0;
}

}  // namespace

Crowd::Crowd(Address server, int members) {
  for (int i = 0; i < members; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(server.ip);
    name.sin_port = htons(server.port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0) {
      sockets_.push_back(fd);
    } else {
      close(fd);
    }
  }
}

Crowd::~Crowd() {
  for (const int fd : sockets_) close(fd);
}

void Crowd::Send(const std::string& head, const std::string& unit, size_t bytes,
                 Millis stall) {
  for (const int fd : sockets_) {
    send(fd, head.data(), head.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  // Pieces are whole units.
  std::string text;
  while (text.size() < kPieceBytes) text += unit;
  SendPieces([&](size_t) -> const std::string& { return text; },
             [&](size_t) { return bytes; }, stall);
}

void Crowd::SendEach(const std::function<std::string()>& text, Millis stall) {
  std::vector<std::string> texts;
  for (size_t i = 0; i < sockets_.size(); ++i) texts.push_back(text());
  SendPieces([&](size_t i) -> const std::string& { return texts[i]; },
             [&](size_t i) { return texts[i].size(); }, stall);
}

void Crowd::SendPieces(const std::function<const std::string&(size_t)>& text_of,
                       const std::function<size_t(size_t)>& bytes_of,
                       Millis stall) {
  std::vector<Member> members(sockets_.size());
  while (true) {
    bool has_sent = false;
    std::vector<pollfd> waiting;
    for (size_t i = 0; i < sockets_.size(); ++i) {
      if (members[i].is_over) continue;
      has_sent |= SendPiece(sockets_[i], text_of(i), bytes_of(i), &members[i]);
      if (!members[i].is_over) waiting.push_back({sockets_[i], POLLOUT, 0});
    }
    if (waiting.empty()) return;
    if (has_sent) continue;
    if (poll(waiting.data(), waiting.size(), static_cast<int>(stall.count())) <=
        0) {
      return;
    }
  }
}

void Crowd::AwaitAnswers(Millis longest) const {
  const Instant until = Clock::now() + longest;
  for (const int fd : sockets_) {
    const Millis left = std::max(Elapsed(Clock::now(), until), Millis(0));
    pollfd state{fd, POLLIN | POLLRDHUP, 0};
    poll(&state, 1, static_cast<int>(left.count()));
  }
}

void Crowd::HalfClose() {
  for (const int fd : sockets_) shutdown(fd, SHUT_WR);
}

int Crowd::open() const {
  return static_cast<int>(
      std::count_if(sockets_.begin(), sockets_.end(), [](int fd) {
        pollfd state{fd, POLLRDHUP, 0};
        return poll(&state, 1, 0) == 0;
      }));
}

std::vector<std::string> Crowd::Answers() const {
  std::vector<std::string> answers;
  for (const int fd : sockets_) {
    std::array<char, kAnswerBytes> buffer{};
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    answers.emplace_back(buffer.data(),
                         size > 0 ? static_cast<size_t>(size) : 0);
  }
  return answers;
}

EndlessServer::EndlessServer(Address address, std::string head,
                             const std::string& unit)
    : head_(std::move(head)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
  while (unit_.size() < kPieceBytes) unit_ += unit;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool is_listening =
      bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0 &&
      listen(listener_, SOMAXCONN) == 0;
  if (!is_listening) std::abort();
  thread_ = std::thread([this] { Serve(); });
}

EndlessServer::~EndlessServer() {
  is_stopping_ = true;
  thread_.join();
  close(listener_);
}

void EndlessServer::Serve() {
  constexpr int kTickMs = 20;
  struct Client {
    int fd;
    bool has_asked = false;
    Member member;
  };
  std::vector<Client> clients;
  while (!is_stopping_) {
    std::vector<pollfd> states = {{listener_, POLLIN, 0}};
    for (const Client& client : clients) {
      const short events = client.has_asked ? POLLOUT : POLLIN;
      states.push_back({client.fd, events, 0});
    }
    if (poll(states.data(), states.size(), kTickMs) <= 0) continue;
    for (size_t i = 0; i < clients.size(); ++i) {
      Client& client = clients[i];
      if (states[i + 1].revents == 0) continue;
      if (client.has_asked) {
        SendPiece(client.fd, unit_, SIZE_MAX, &client.member);
        continue;
      }
      std::array<char, kAnswerBytes> request{};
      const ssize_t size = recv(client.fd, request.data(), request.size(), 0);
      client.member.is_over = size <= 0;
      if (size <= 0) continue;
      client.has_asked = true;
      ++requests_;
      send(client.fd, head_.data(), head_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    std::erase_if(clients, [](const Client& client) {
      if (client.member.is_over) close(client.fd);
      return client.member.is_over;
    });
    if (states[0].revents == 0) continue;
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd >= 0) clients.push_back({fd, false, {}});
  }
  for (const Client& client : clients) close(client.fd);
}

size_t PeakMemoryBytes(pid_t process) {
  constexpr size_t kKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word) {
    size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes * kKilobyte;
  }
  return 0;
}

size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(process) + "/fd", error);
  if (error) return 0;
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

}  // namespace qs::test
