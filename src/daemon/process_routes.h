#pragma once

#include <functional>
#include <vector>

#include "http/http_server.h"

namespace qs {

class Metrics;

// The routes that every process has: /metrics, /healthz and /readyz. `is_ready`
// is called on HTTP threads; `metrics` must outlive the server.
std::vector<HttpServer::Route> ProcessRoutes(const Metrics* metrics,
                                             std::function<bool()> is_ready);

// Options with the problem documents of this project set.
HttpServerOptions ProcessHttpOptions();

}  // namespace qs
