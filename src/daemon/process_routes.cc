#include "daemon/process_routes.h"

#include <utility>

#include "http/job_json.h"
#include "metrics/metrics.h"

namespace qs {

std::vector<HttpServer::Route> ProcessRoutes(const Metrics* metrics,
                                             std::function<bool()> is_ready) {
  const auto text = [](int status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.content_type = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
  };
  std::vector<HttpServer::Route> routes;
  routes.push_back({"GET", "/metrics", [=](const HttpRequest&) {
                      return text(200, metrics->Serialize());
                    }});
  routes.push_back({"GET", "/healthz",
                    [=](const HttpRequest&) { return text(200, "ok\n"); }});
  routes.push_back(
      {"GET", "/readyz", [=, ready = std::move(is_ready)](const HttpRequest&) {
         return ready() ? text(200, "ready\n") : text(503, "not ready\n");
       }});
  return routes;
}

HttpServerOptions ProcessHttpOptions() {
  HttpServerOptions options;
  options.too_large = [](size_t limit) {
    return ProblemResponse(
        Reason::kBodyTooLarge,
        Findings("body", "the limit is " + std::to_string(limit) + " bytes"));
  };
  options.overloaded = [] {
    constexpr Millis kRetryAfter{1000};
    return ProblemResponse(Reason::kEntryOverloaded, {}, kRetryAfter);
  };
  options.no_such_route = [] { return ProblemResponse(Reason::kNotFound); };
  return options;
}

}  // namespace qs
