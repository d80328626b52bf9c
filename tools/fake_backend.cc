// A stand-in for a backend server. A task's payload is "name|run_ms"; its
// answer is "done:" and the payload. Each start is appended to the start log,
// which is the judge of how often a task started.

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "daemon/process_routes.h"
#include "http/http_server.h"
#include "http/job_json.h"
#include "lib/announcer.h"

namespace {

std::atomic<bool> g_stop{false};

struct Options {
  std::string listen;
  std::string guard_http;
  std::string service = "sketch";
  std::string start_log;
  uint32_t slots = 8;
  uint32_t connections = 64;
  double slowness = 1.0;  // Factor on every run time.
};

// What the backend server does wrong, switched by POST /control.
struct Faults {
  std::atomic<bool> fail_all{false};
  std::atomic<bool> hang{false};
  std::atomic<bool> draining{false};
  std::atomic<int64_t> die_after{-1};  // Tasks; negative for never.
};

class FakeBackend {
 public:
  explicit FakeBackend(const Options& options) : options_(options) {
    if (!options.start_log.empty()) {
      log_ = std::fopen(options.start_log.c_str(), "a");
    }
  }

  qs::HttpResponse RunTask(const qs::HttpRequest& request) {
    LogStart(request.body);
    if (faults_.die_after >= 0 && faults_.die_after-- == 0) std::_Exit(1);
    while (faults_.hang && !g_stop) Nap();
    const auto run_time = RunTimeOf(request.body);
    if (run_time > qs::Clock::duration(0)) {
      std::this_thread::sleep_for(run_time);
    }
    qs::HttpResponse response;
    response.content_type = "application/octet-stream";
    response.status = faults_.fail_all ? 500 : 200;
    response.body = "done:" + request.body;
    return response;
  }

  qs::HttpResponse Control(const qs::HttpRequest& request) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object()) {
      faults_.fail_all = body.value("fail_all", faults_.fail_all.load());
      faults_.hang = body.value("hang", faults_.hang.load());
      faults_.draining = body.value("draining", faults_.draining.load());
      faults_.die_after = body.value("die_after", faults_.die_after.load());
    }
    return {};
  }

  std::string Announcement() const {
    return nlohmann::json{{"address", options_.listen},
                          {"services", {options_.service}},
                          {"slots", options_.slots},
                          {"connections", options_.connections},
                          {"draining", faults_.draining.load()}}
        .dump();
  }

 private:
  static void Nap() {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  qs::Clock::duration RunTimeOf(const std::string& payload) const {
    const size_t bar = payload.rfind('|');
    if (bar == std::string::npos) return {};
    const double ms = std::atof(payload.c_str() + bar + 1) * options_.slowness;
    return std::chrono::duration_cast<qs::Clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  void LogStart(const std::string& payload) {
    if (log_ == nullptr) return;
    const std::lock_guard lock(log_mutex_);
    std::fprintf(log_, "%s\n", payload.substr(0, payload.rfind('|')).c_str());
    std::fflush(log_);
  }

  Options options_;
  Faults faults_;
  std::mutex log_mutex_;
  std::FILE* log_ = nullptr;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fake_backend: a stand-in for a backend server"};
  Options options;
  app.add_option("--listen", options.listen, "IP:port")->required();
  app.add_option("--guard", options.guard_http, "guard's HTTP IP:port")
      ->required();
  app.add_option("--service", options.service);
  app.add_option("--start-log", options.start_log);
  app.add_option("--slots", options.slots);
  app.add_option("--connections", options.connections);
  app.add_option("--slowness", options.slowness);
  CLI11_PARSE(app, argc, argv);
  const auto listen = qs::Address::Parse(options.listen);
  const auto guard = qs::Address::Parse(options.guard_http);
  if (!listen || !guard) {
    std::fprintf(stderr, "--listen and --guard take IP:port\n");
    return 2;
  }
  std::signal(SIGTERM, [](int) { g_stop = true; });
  std::signal(SIGINT, [](int) { g_stop = true; });
  std::signal(SIGPIPE, SIG_IGN);
  FakeBackend backend(options);
  std::vector<qs::HttpServer::Route> routes;
  routes.push_back({"POST", "/tasks/", [&](const qs::HttpRequest& request) {
                      return backend.RunTask(request);
                    }});
  routes.push_back({"POST", "/control", [&](const qs::HttpRequest& request) {
                      return backend.Control(request);
                    }});
  qs::HttpServerOptions http = qs::ProcessHttpOptions();
  http.address = *listen;
  http.threads = options.connections;
  auto server = qs::HttpServer::Make(std::move(http), std::move(routes));
  if (!server) {
    std::fprintf(stderr, "%s: %s\n", options.listen.c_str(),
                 server.error().message().c_str());
    return 3;
  }
  const qs::Announcer announcer(*guard, qs::Millis(1000),
                                [&] { return backend.Announcement(); });
  while (!g_stop) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return 0;
}
