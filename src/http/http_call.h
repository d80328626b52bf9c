#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "quetzalspindle/http_message.h"

namespace qs {

class HttpSession;

// A request that waits for its response. It may be kept for any time, since it
// blocks no thread. Not thread-safe: use it on the thread of its server only.
class HttpCall {
 public:
  HttpCall(HttpRequest request, std::weak_ptr<HttpSession> session)
      : request_(std::move(request)), session_(std::move(session)) {}

  const HttpRequest& request() const { return request_; }
  // Frees the request, except its path, once it was decoded.
  void ReleaseRequest();
  // Memory of the request.
  size_t held_bytes() const;
  // Sends the response. Does nothing if a response was already sent or the
  // client has closed its connection.
  void Respond(const HttpResponse& response);
  // Whether the client has closed its connection, or the response was sent.
  bool HasClientLeft() const;
  // Sets the function that is called if the client closes its connection before
  // the response is sent.
  void NotifyLeft(std::function<void()> callback) {
    on_client_disconnected_ = std::move(callback);
  }

 private:
  friend class HttpSession;
  void OnClientDisconnected();

  HttpRequest request_;
  std::weak_ptr<HttpSession> session_;
  std::function<void()> on_client_disconnected_;
};

}  // namespace qs
