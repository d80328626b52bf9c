// A stand-in for a backend server. A task's payload is "name|run_ms"; its
// answer is "done:" and the payload. A task "name|crash" ends the process soon
// after its start. Each start is appended to the start log, which is the judge
// of how often a task started, and each start over the announced slots to a
// file beside it.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>
#include <vector>

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

// Slots that have shrunk bind the guard from this time after it accepted them:
// a period of the announcements.
constexpr qs::Millis kSlotsAllowance{1000};
// Of a task that crashes the process, from its start.
constexpr int kSoonestCrashMs = 5;
constexpr int kLatestCrashMs = 100;

// Judges by the announcements whether a start is over the slots. Counts only
// what the guard's present process started.
class SlotJudge {
 public:
  explicit SlotJudge(uint32_t slots)
      : announced_(slots), accepted_{{qs::Clock::now(), slots}} {}

  // The guard may count on more slots as soon as it reads of them.
  void OnAnnouncing(uint32_t slots) {
    const std::lock_guard lock(mutex_);
    announced_ = slots;
    if (slots > accepted_.back().second) Add(slots);
  }
  void OnAccepted() {
    const std::lock_guard lock(mutex_);
    if (announced_ < accepted_.back().second) Add(announced_);
  }
  // Returns a token for OnEnd, and whether the start is over the slots.
  std::pair<uint64_t, bool> OnStart() {
    const std::lock_guard lock(mutex_);
    return {guard_process_, ++running_ > Allowed()};
  }
  void OnEnd(uint64_t token) {
    const std::lock_guard lock(mutex_);
    if (token == guard_process_) --running_;
  }
  // The guard's process is gone, and with it what it knew of its runs.
  void OnGuardGone() {
    const std::lock_guard lock(mutex_);
    ++guard_process_;
    running_ = 0;
  }

 private:
  void Add(uint32_t slots) { accepted_.emplace_back(qs::Clock::now(), slots); }
  uint32_t Allowed() const {
    const qs::Instant since = qs::Clock::now() - kSlotsAllowance;
    uint32_t most = 0;
    for (auto row = accepted_.rbegin(); row != accepted_.rend(); ++row) {
      most = std::max(most, row->second);
      if (row->first <= since) break;
    }
    return most;
  }

  std::mutex mutex_;
  uint32_t announced_;  // Last.
  std::vector<std::pair<qs::Instant, uint32_t>> accepted_;
  uint64_t guard_process_ = 0;
  uint32_t running_ = 0;
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
  explicit FakeBackend(const Options& options)
      : options_(options), slots_(options.slots), judge_(options.slots) {
    if (!options.start_log.empty()) {
      log_ = std::fopen(options.start_log.c_str(), "a");
      over_log_ = std::fopen((options.start_log + "-over").c_str(), "a");
    }
  }

  qs::HttpResponse RunTask(const qs::HttpRequest& request) {
    LogStart(log_, request.body);
    const auto [token, is_over] = judge_.OnStart();
    if (is_over) LogStart(over_log_, request.body);
    if (request.body.ends_with("|crash")) Crash();
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
    judge_.OnEnd(token);
    return response;
  }

  qs::HttpResponse Control(const qs::HttpRequest& request) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object()) {
      faults_.fail_all = body.value("fail_all", faults_.fail_all.load());
      faults_.hang = body.value("hang", faults_.hang.load());
      faults_.draining = body.value("draining", faults_.draining.load());
      faults_.die_after = body.value("die_after", faults_.die_after.load());
      slots_ = body.value("slots", slots_.load());
      if (body.value("guard_gone", false)) judge_.OnGuardGone();
    }
    return {};
  }

  std::string Announcement() {
    const uint32_t slots = slots_;
    judge_.OnAnnouncing(slots);
    return nlohmann::json{{"address", options_.listen},
                          {"services", {options_.service}},
                          {"slots", slots},
                          {"connections", options_.connections},
                          {"draining", faults_.draining.load()}}
        .dump();
  }
  void OnAccepted() { judge_.OnAccepted(); }

 private:
  [[noreturn]] static void Crash() {
    std::random_device random;
    std::this_thread::sleep_for(qs::Millis(std::uniform_int_distribution(
        kSoonestCrashMs, kLatestCrashMs)(random)));
    std::_Exit(1);
  }

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

  void LogStart(std::FILE* log, const std::string& payload) {
    if (log == nullptr) return;
    const std::lock_guard lock(log_mutex_);
    std::fprintf(log, "%s\n", payload.substr(0, payload.rfind('|')).c_str());
    std::fflush(log);
  }

  Options options_;
  std::atomic<uint32_t> slots_;
  SlotJudge judge_;
  Faults faults_;
  std::mutex log_mutex_;
  std::FILE* log_ = nullptr;
  std::FILE* over_log_ = nullptr;
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
  const qs::Announcer announcer(
      *guard, qs::Millis(1000), [&] { return backend.Announcement(); },
      [&] { backend.OnAccepted(); });
  while (!g_stop) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return 0;
}
