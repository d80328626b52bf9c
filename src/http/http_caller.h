#pragma once

#include <memory>
#include <string>

#include "quetzalspindle/address.h"
#include "quetzalspindle/http_exchange.h"

namespace qs {

// Makes requests to one server, on libcurl, over a connection that is kept open
// between them. libcurl may send a request again if a kept connection was
// closed before any response, so the caller must be used for idempotent
// requests only. Not thread-safe: only one thread may use it at a time.
class HttpCaller {
 public:
  // An answer whose body is larger than `max_answer_bytes` is no answer.
  explicit HttpCaller(Address server,
                      size_t max_answer_bytes = kDefaultMaxAnswerBytes);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  Address server() const { return server_; }

  HttpOutcome Exchange(const HttpExchange& request);
  // Closes the kept connection.
  void Reset();

 private:
  struct Handle;

  Address server_;
  size_t max_answer_bytes_;
  std::unique_ptr<Handle> handle_;
};

}  // namespace qs
