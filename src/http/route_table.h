#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "quetzalspindle/http_message.h"

namespace qs {

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

struct HttpRoute {
  std::string method;
  std::string prefix;  // "/a/" matches every path below it, "/a" only itself.
  HttpHandler handler;
};

// Finds the handler for a request: that of the first route that matches.
class RouteTable {
 public:
  explicit RouteTable(std::vector<HttpRoute> routes)
      : routes_(std::move(routes)) {}

  // Sets the request's suffix. Returns null if no route matches.
  const HttpRoute* Find(HttpRequest* request) const;

 private:
  std::vector<HttpRoute> routes_;
};

}  // namespace qs
