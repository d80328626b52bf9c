#include "http/http_call.h"

#include "http/http_session.h"

namespace qs {

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
