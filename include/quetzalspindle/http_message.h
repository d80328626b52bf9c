#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace qs {

struct HttpRequest {
  std::string method;
  std::string path;    // Without the query.
  std::string suffix;  // The part of the path after the route's prefix.
  std::map<std::string, std::string> query;
  // Keyed by header name in lower case.
  std::map<std::string, std::string, std::less<>> headers;
  std::string body;

  // The value of a header, empty if it is absent. `name` must be in lower case.
  std::string header(std::string_view name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;  // Closes the connection after this response.
};

}  // namespace qs
