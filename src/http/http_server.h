#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/memory_budget.h"
#include "http/http_limits.h"
#include "http/route_table.h"
#include "quetzalspindle/address.h"
#include "quetzalspindle/http_message.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

struct mg_connection;
struct mg_context;

namespace qs {

class ConnectionIntake;

struct HttpServerOptions {
  Address address;
  uint32_t threads = 8;  // The number of requests served concurrently.
  size_t max_body_bytes = 1U << 20U;
  Millis request_timeout{15'000};  // Limits a slow or half-closed client.
  // How long a connection may be idle between two requests.
  Millis idle_timeout{30'000};
  // Answers a request whose body is too large; the argument is the limit.
  std::function<HttpResponse(size_t)> too_large;
  std::function<HttpResponse()> no_such_route;

  // For HttpServer only: memory of all bodies that are read or in service. Each
  // counts kCopiesOfBody times.
  MemoryBudgetLimits bodies{std::numeric_limits<size_t>::max(),
                            std::numeric_limits<size_t>::max(), 0};
  // Answers a request whose body finds no memory now.
  std::function<HttpResponse()> overloaded;

  // The rest is for EventHttpServer only.
  HttpLimits limits;
  // Both within `request_timeout`: until the end of a header, and between two
  // pieces of a body.
  Millis header_timeout{15'000};
  Millis body_gap_timeout{10'000};
  // The size of a socket's receive buffer: what a client may send that is not
  // read yet. 0 for the system's default.
  int receive_buffer_bytes = 0;
  // Answers a refused request; `too_large` and a plain text if it is not set.
  std::function<HttpResponse(HttpRefusal)> refused;
  // Limits all clients of the process together; null for no such limits. Must
  // outlive the server.
  ConnectionIntake* intake = nullptr;
};

// What a request makes a process hold, in bodies: as read, decoded, in a
// message to another process, and in its frame.
inline constexpr size_t kCopiesOfBody = 4;

// An HTTP/1.1 server on CivetWeb. Handlers run on its threads, several of them
// concurrently.
class HttpServer {
 public:
  using Handler = HttpHandler;
  using Route = HttpRoute;

  static Result<std::unique_ptr<HttpServer>> Make(HttpServerOptions options,
                                                  std::vector<Route> routes);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Accepts no further request, waits up to a second until the responses in
  // progress are written, and closes.
  void Stop();
  // Stops several servers concurrently. Null pointers are skipped.
  static void StopAll(const std::vector<HttpServer*>& servers);

 private:
  HttpServer(HttpServerOptions options, std::vector<Route> routes);

  static int OnRequest(mg_connection* connection, void* self);
  // Shuts down the reading side of every connection that these servers
  // accepted, and of their listening sockets.
  static void EndReading(const std::vector<HttpServer*>& servers);
  void Close();
  HttpResponse Serve(mg_connection* connection, bool* close) const;
  enum class BodyVerdict : uint8_t { kRead, kTooLarge, kOverloaded };
  BodyVerdict ReadBody(mg_connection* connection, std::string* body,
                       std::vector<MemoryBudget::Share>* memory) const;
  // Null if there is none.
  MemoryBudget::Share TakeMemory(size_t body_bytes) const;
  void GiveBack(std::vector<MemoryBudget::Share>* memory) const;
  static void Write(mg_connection* connection, const HttpResponse& response,
                    bool close);

  HttpServerOptions options_;
  RouteTable routes_;
  mg_context* context_ = nullptr;
  // The handlers' threads take their shares and give them back under it.
  mutable std::mutex bodies_mutex_;
  mutable MemoryBudget bodies_;
  // The number of requests whose response is not written yet.
  std::atomic<int> in_service_{0};
};

}  // namespace qs
