#pragma once

#include <memory>
#include <string>

#include "http/http_server.h"
#include "quetzalspindle/address.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

// How an exchange without a response failed, and how far it had got.
enum class ExchangeFault {
  // No byte of the request was sent.
  kNotSent,
  // The request was sent, at least in part; the connection ended before the
  // whole response arrived.
  kDisconnected,
  // The request was sent; the whole response did not arrive in time.
  kTimeout,
};

// One HTTP/1.1 connection, on CivetWeb's client. It is kept open between
// requests, and a request is never sent twice. Not thread-safe: only one thread
// may use it at a time.
class HttpClient {
 public:
  static constexpr size_t kMaxBackendAnswerBytes = 64U << 20U;

  struct Request {
    std::string method = "POST";
    std::string target;
    std::string content_type = "application/octet-stream";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Millis timeout{10'000};
  };
  struct Response {
    int status = 0;
    std::string body;
  };

  // A connection that was idle for longer than `idle_limit` is not reused,
  // since the server may be closing it.
  // An answer whose body is larger than `max_answer_bytes` is no answer.
  HttpClient(Address server, Millis idle_limit,
             size_t max_answer_bytes = kMaxBackendAnswerBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  Address server() const { return server_; }

  tl::expected<Response, ExchangeFault> Exchange(const Request& request);
  void Close();

 private:
  bool Connect();
  bool ReadBody(Response* response);

  Address server_;
  Millis idle_limit_;
  size_t max_answer_bytes_;
  mg_connection* connection_ = nullptr;
  Instant last_used_;
};

}  // namespace qs
