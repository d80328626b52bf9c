#include "http/http_server.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <thread>

#include "http/http_text.h"

namespace qs {
namespace {

// The time that Close waits at most for responses in progress to be written.
constexpr Millis kResponseDrainTimeout{1000};
constexpr Millis kResponseDrainInterval{5};

int HighestDescriptor() {
  constexpr int kFallback = 1024;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kFallback;
  constexpr rlim_t kMost = 65'536;
  return static_cast<int>(std::min(limit.rlim_cur, kMost));
}

// Returns the local address of a TCP socket over IPv4, and nothing for any
// other descriptor.
std::optional<Address> LocalAddress(int fd) {
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0 ||
      local.sin_family != AF_INET) {
    return std::nullopt;
  }
  return Address{ntohl(local.sin_addr.s_addr), ntohs(local.sin_port)};
}

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Make(
    HttpServerOptions options, std::vector<Route> routes) {
  static const unsigned kFeatures = mg_init_library(0);
  (void)kFeatures;
  std::unique_ptr<HttpServer> server(
      new HttpServer(std::move(options), std::move(routes)));
  const HttpServerOptions& o = server->options_;
  const std::string ports = o.address.ToString();
  const std::string threads = std::to_string(o.threads);
  const std::string timeout = std::to_string(o.request_timeout.count());
  const std::string idle = std::to_string(o.idle_timeout.count());
  const std::array<const char*, 15> config = {"listening_ports",
                                              ports.c_str(),
                                              "num_threads",
                                              threads.c_str(),
                                              "request_timeout_ms",
                                              timeout.c_str(),
                                              "enable_keep_alive",
                                              "yes",
                                              "keep_alive_timeout_ms",
                                              idle.c_str(),
                                              "tcp_nodelay",
                                              "1",
                                              "connection_queue",
                                              "1000",
                                              nullptr};
  mg_callbacks callbacks{};
  server->context_ =
      mg_start(&callbacks, nullptr, const_cast<const char**>(config.data()));
  if (server->context_ == nullptr) {
    return tl::unexpected(std::make_error_code(std::errc::address_in_use));
  }
  mg_set_request_handler(server->context_, "/", &HttpServer::OnRequest,
                         server.get());
  return server;
}

HttpServer::HttpServer(HttpServerOptions options, std::vector<Route> routes)
    : options_(std::move(options)),
      routes_(std::move(routes)),
      bodies_(options_.bodies) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() { StopAll({this}); }

void HttpServer::StopAll(const std::vector<HttpServer*>& servers) {
  EndReading(servers);
  std::vector<std::thread> threads;
  for (HttpServer* server : servers) {
    if (server != nullptr) threads.emplace_back([server] { server->Close(); });
  }
  for (std::thread& thread : threads) thread.join();
}

// When it stops, CivetWeb waits up to two seconds for an idle connection. With
// the reading side of the connection shut down, it closes the connection at
// once if idle, and otherwise after the response in progress was sent.
void HttpServer::EndReading(const std::vector<HttpServer*>& servers) {
  std::set<Address> listening;
  for (const HttpServer* server : servers) {
    if (server != nullptr && server->context_ != nullptr) {
      listening.insert(server->options_.address);
    }
  }
  if (listening.empty()) return;
  const int highest = HighestDescriptor();
  for (int fd = 0; fd < highest; ++fd) {
    const std::optional<Address> local = LocalAddress(fd);
    // This shuts down the listening socket as well: the kernel refuses callers
    // that connect from now on, and they can use another server.
    if (local && listening.contains(*local)) shutdown(fd, SHUT_RD);
  }
}

// Waits for responses in progress, because mg_stop drops those that are not yet
// written.
void HttpServer::Close() {
  if (context_ == nullptr) return;
  const Instant give_up = Clock::now() + kResponseDrainTimeout;
  while (in_service_ > 0 && Clock::now() < give_up) {
    std::this_thread::sleep_for(kResponseDrainInterval);
  }
  mg_stop(context_);
  context_ = nullptr;
}

int HttpServer::OnRequest(mg_connection* connection, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  ++server->in_service_;
  bool close = false;
  const HttpResponse response = server->Serve(connection, &close);
  close = close || response.close;
  if (close) mg_disable_connection_keep_alive(connection);
  Write(connection, response, close);
  --server->in_service_;
  return response.status;
}

HttpResponse HttpServer::Serve(mg_connection* connection, bool* close) const {
  const mg_request_info* info = mg_get_request_info(connection);
  HttpRequest request;
  request.method = info->request_method;
  request.path = info->local_uri;
  if (info->query_string != nullptr) {
    request.query = ParseQuery(info->query_string);
  }
  for (int i = 0; i < info->num_headers; ++i) {
    const mg_header& header = info->http_headers[i];
    request.headers[LowerCase(header.name)] = header.value;
  }
  const Route* route = routes_.Find(&request);
  if (route == nullptr) {
    *close = true;  // A body, if any, was not read, so the
                    // connection cannot be reused.
    return options_.no_such_route();
  }
  std::vector<MemoryBudget::Share> memory;
  HttpResponse response;
  switch (ReadBody(connection, &request.body, &memory)) {
    case BodyVerdict::kRead:
      response = route->handler(request);
      break;
    case BodyVerdict::kTooLarge:
      *close = true;
      response = options_.too_large(options_.max_body_bytes);
      break;
    case BodyVerdict::kOverloaded:
      *close = true;
      response = options_.overloaded();
      break;
  }
  GiveBack(&memory);
  return response;
}

HttpServer::BodyVerdict HttpServer::ReadBody(
    mg_connection* connection, std::string* body,
    std::vector<MemoryBudget::Share>* memory) const {
  const mg_request_info* info = mg_get_request_info(connection);
  const auto limit = static_cast<long long>(options_.max_body_bytes);
  if (info->content_length > limit) return BodyVerdict::kTooLarge;
  std::array<char, 4096> buffer;  // Not initialized: each read fills it.
  // The bytes that `memory` covers. Without an announced length they double
  // with the body.
  size_t covered = 0;
  const auto cover = [&](size_t bytes) {
    memory->push_back(TakeMemory(bytes - covered));
    covered = bytes;
    return memory->back() != nullptr;
  };
  if (info->content_length > 0) {
    const auto announced = static_cast<size_t>(info->content_length);
    if (!cover(announced)) return BodyVerdict::kOverloaded;
    body->reserve(announced);
  }
  while (true) {
    const int count = mg_read(connection, buffer.data(), buffer.size());
    if (count <= 0) break;
    const size_t size = body->size() + static_cast<size_t>(count);
    if (size > options_.max_body_bytes) return BodyVerdict::kTooLarge;
    const size_t doubled =
        std::min(std::max(2 * covered, size), options_.max_body_bytes);
    if (size > covered && !cover(doubled)) return BodyVerdict::kOverloaded;
    body->append(buffer.data(), static_cast<size_t>(count));
  }
  return BodyVerdict::kRead;
}

MemoryBudget::Share HttpServer::TakeMemory(size_t body_bytes) const {
  const std::lock_guard lock(bodies_mutex_);
  return bodies_.Take(body_bytes * kCopiesOfBody);
}

void HttpServer::GiveBack(std::vector<MemoryBudget::Share>* memory) const {
  const std::lock_guard lock(bodies_mutex_);
  memory->clear();
}

void HttpServer::Write(mg_connection* connection, const HttpResponse& response,
                       bool close) {
  const std::string text = FormatResponse(
      response, mg_get_response_code_text(connection, response.status), close);
  mg_write(connection, text.data(), text.size());
}

}  // namespace qs
