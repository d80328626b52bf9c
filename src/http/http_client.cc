#include "http/http_client.h"

#include <civetweb.h>

#include <array>
#include <cstring>

namespace qs {
namespace {

std::string Format(const HttpClient::Request& request, Address server) {
  std::string text =
      request.method + " " + request.target +
      " HTTP/1.1\r\nHost: " + server.ToString() +
      "\r\nConnection: keep-alive\r\nContent-Type: " + request.content_type +
      "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + request.body;
}

bool AsksToClose(mg_connection* connection) {
  const mg_response_info* info = mg_get_response_info(connection);
  for (int i = 0; i < info->num_headers; ++i) {
    const mg_header& header = info->http_headers[i];
    if (strcasecmp(header.name, "Connection") == 0) {
      return strcasecmp(header.value, "close") == 0;
    }
  }
  return false;
}

}  // namespace

HttpClient::HttpClient(Address server, Millis idle_limit,
                       size_t max_answer_bytes)
    : server_(server),
      idle_limit_(idle_limit),
      max_answer_bytes_(max_answer_bytes) {
  static const unsigned kFeatures = mg_init_library(0);
  (void)kFeatures;
}

HttpClient::~HttpClient() { Close(); }

void HttpClient::Close() {
  if (connection_ != nullptr) mg_close_connection(connection_);
  connection_ = nullptr;
}

bool HttpClient::Connect() {
  if (connection_ != nullptr && Clock::now() - last_used_ > idle_limit_) {
    Close();
  }
  if (connection_ != nullptr) return true;
  std::array<char, 256> error{};
  connection_ = mg_connect_client(server_.Host().c_str(), server_.port, 0,
                                  error.data(), error.size());
  return connection_ != nullptr;
}

tl::expected<HttpClient::Response, ExchangeFault> HttpClient::Exchange(
    const Request& request) {
  if (!Connect()) return tl::unexpected(ExchangeFault::kNotSent);
  const Instant start = Clock::now();
  const std::string text = Format(request, server_);
  const int written = mg_write(connection_, text.data(), text.size());
  if (written <= 0) {
    // mg_write reports this only if it sent no byte at all.
    Close();
    return tl::unexpected(ExchangeFault::kNotSent);
  }
  const auto fault = [&] {
    Close();
    return tl::unexpected(Clock::now() - start >= request.timeout
                              ? ExchangeFault::kTimeout
                              : ExchangeFault::kDisconnected);
  };
  if (static_cast<size_t>(written) < text.size()) return fault();
  std::array<char, 256> error{};
  const auto timeout = static_cast<int>(request.timeout.count());
  if (mg_get_response(connection_, error.data(), error.size(), timeout) < 0) {
    return fault();
  }
  Response response;
  response.status = mg_get_response_info(connection_)->status_code;
  const bool close = AsksToClose(connection_);
  if (!ReadBody(&response)) return fault();
  last_used_ = Clock::now();
  if (close) Close();
  return response;
}

// Returns false when the body ended before its declared length or is too large.
bool HttpClient::ReadBody(Response* response) {
  const long long length = mg_get_response_info(connection_)->content_length;
  if (length > static_cast<long long>(max_answer_bytes_)) return false;
  if (length > 0) response->body.reserve(static_cast<size_t>(length));
  std::array<char, 16'384> buffer{};
  while (true) {
    const int count = mg_read(connection_, buffer.data(), buffer.size());
    if (count < 0) return false;
    if (count == 0) break;
    if (response->body.size() + static_cast<size_t>(count) >
        max_answer_bytes_) {
      return false;
    }
    response->body.append(buffer.data(), static_cast<size_t>(count));
  }
  return length < 0 || response->body.size() == static_cast<size_t>(length);
}

}  // namespace qs
