#include "http/http_server.h"

#include <civetweb.h>

#include <array>
#include <cstring>

namespace qs {
namespace {

std::map<std::string, std::string> ParseQuery(const char* text) {
  std::map<std::string, std::string> query;
  if (text == nullptr) return query;
  std::string copy = text;
  constexpr unsigned kMaxParameters = 16;
  std::array<mg_header, kMaxParameters> fields{};
  const int count =
      mg_split_form_urlencoded(copy.data(), fields.data(), kMaxParameters);
  for (int i = 0; i < count; ++i) {
    const mg_header& field = fields[static_cast<size_t>(i)];
    query[field.name] = field.value == nullptr ? "" : field.value;
  }
  return query;
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
  const std::array<const char*, 15> config = {"listening_ports",
                                              ports.c_str(),
                                              "num_threads",
                                              threads.c_str(),
                                              "request_timeout_ms",
                                              timeout.c_str(),
                                              "enable_keep_alive",
                                              "yes",
                                              "keep_alive_timeout_ms",
                                              "30000",
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
    : options_(std::move(options)), routes_(std::move(routes)) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  if (context_ != nullptr) mg_stop(context_);
  context_ = nullptr;
}

int HttpServer::OnRequest(mg_connection* connection, void* self) {
  const auto* server = static_cast<const HttpServer*>(self);
  bool close = false;
  const HttpResponse response = server->Serve(connection, &close);
  Write(connection, response, close);
  return response.status;
}

HttpResponse HttpServer::Serve(mg_connection* connection, bool* close) const {
  const mg_request_info* info = mg_get_request_info(connection);
  HttpRequest request;
  request.method = info->request_method;
  request.path = info->local_uri;
  request.query = ParseQuery(info->query_string);
  const Route* route = FindRoute(&request);
  if (route == nullptr) {
    *close = true;  // The body, if any, was not read.
    return options_.no_such_route();
  }
  if (!ReadBody(connection, &request.body)) {
    *close = true;
    return options_.too_large(options_.max_body_bytes);
  }
  return route->handler(request);
}

const HttpServer::Route* HttpServer::FindRoute(HttpRequest* request) const {
  for (const Route& route : routes_) {
    if (route.method != request->method) continue;
    const bool is_tree = route.prefix.ends_with('/');
    const bool matches = is_tree ? request->path.starts_with(route.prefix)
                                 : request->path == route.prefix;
    if (!matches) continue;
    request->suffix = request->path.substr(route.prefix.size());
    return &route;
  }
  return nullptr;
}

bool HttpServer::ReadBody(mg_connection* connection, std::string* body) const {
  const mg_request_info* info = mg_get_request_info(connection);
  const auto limit = static_cast<long long>(options_.max_body_bytes);
  if (info->content_length > limit) return false;
  if (info->content_length > 0) {
    body->reserve(static_cast<size_t>(info->content_length));
  }
  std::array<char, 65'536> buffer{};
  while (true) {
    const int count = mg_read(connection, buffer.data(), buffer.size());
    if (count <= 0) break;
    body->append(buffer.data(), static_cast<size_t>(count));
    if (body->size() > options_.max_body_bytes) return false;
  }
  return true;
}

void HttpServer::Write(mg_connection* connection, const HttpResponse& response,
                       bool close) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " +
      mg_get_response_code_text(connection, response.status) +
      "\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\nConnection: " + (close ? "close" : "keep-alive") + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "\r\n";
  text += response.body;
  mg_write(connection, text.data(), text.size());
}

}  // namespace qs
