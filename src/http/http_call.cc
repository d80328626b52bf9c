#include "http/http_call.h"

#include "http/http_session.h"

namespace qs {

void HttpCall::ReleaseRequest() {
  std::string path = std::move(request_.path);
  request_ = HttpRequest();
  request_.path = std::move(path);
}

size_t HttpCall::held_bytes() const {
  // Of a header in the map of headers, beside its text.
  constexpr size_t kHeaderBytes = 112;
  size_t bytes = request_.body.capacity() + request_.path.capacity();
  for (const auto& [name, value] : request_.headers) {
    bytes += kHeaderBytes + name.size() + value.size();
  }
  return bytes;
}

void HttpCall::Respond(const HttpResponse& response) {
  const std::shared_ptr<HttpSession> session = session_.lock();
  session_.reset();
  if (session != nullptr) session->Respond(response);
}

bool HttpCall::HasClientLeft() const {
  const std::shared_ptr<HttpSession> session = session_.lock();
  return session == nullptr || session->HasClientClosed();
}

void HttpCall::OnClientDisconnected() {
  session_.reset();
  const std::function<void()> callback = std::move(on_client_disconnected_);
  if (callback) callback();
}

}  // namespace qs
