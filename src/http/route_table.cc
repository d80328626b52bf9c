#include "http/route_table.h"

namespace qs {

const HttpRoute* RouteTable::Find(HttpRequest* request) const {
  for (const HttpRoute& route : routes_) {
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

}  // namespace qs
