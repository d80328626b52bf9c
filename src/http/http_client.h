#pragma once

#include <memory>
#include <string>

#include "http/http_server.h"
#include "quetzalspindle/address.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

// How far an exchange got that did not end with a response.
enum class ExchangeFault {
  kNotSent,       // Not a byte of the request left this process.
  kDisconnected,  // The request was sent, at least in part; no whole response.
  kTimeout,       // The request was sent; no whole response in time.
};

// One HTTP/1.1 connection, on CivetWeb's client. Kept open between requests,
// and never used to repeat one. For one thread at a time.
class HttpClient {
 public:
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
  HttpClient(Address server, Millis idle_limit);
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
  mg_connection* connection_ = nullptr;
  Instant last_used_;
};

}  // namespace qs
