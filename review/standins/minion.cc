#include "standins/minion.h"

#include <chrono>
#include <cstdlib>

#include "http/http_caller.h"

namespace review {
namespace {

using nlohmann::json;
using qs::HttpResponse;

constexpr int64_t kMaxHoldMs = 1000;  // `maxHoldMs` of the deployments.
constexpr Millis kTick{5};
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Minion::Minion(MinionOptions options, Record* record)
    : options_(std::move(options)), record_(record), born_ms_(UnixMillis()) {
  std::vector<qs::HttpServer::Route> routes;
  const auto add = [&](const char* path,
                       HttpResponse (Minion::*handler)(const json&)) {
    routes.push_back({"POST", path, [this, handler](const qs::HttpRequest& r) {
                        return OnCall(r, handler);
                      }});
  };
  add("/-/run-start", &Minion::OnStart);
  add("/-/run-stop", &Minion::OnStop);
  add("/-/hold", &Minion::OnHold);
  qs::HttpServerOptions server;
  server.address = options_.address;
  server.threads = 24;
  server.no_such_route = [this] { return Answer(404, json::object()); };
  server.too_large = [this](size_t) { return Answer(413, json::object()); };
  auto http = qs::HttpServer::Make(std::move(server), std::move(routes));
  if (!http) std::exit(2);
  http_ = std::move(*http);
  beater_ = std::thread([this] { SendHeartbeats(); });
  settler_ = std::thread([this] {
    while (!is_stopping_) {
      std::this_thread::sleep_for(kTick);
      const std::lock_guard lock(mutex_);
      Settle();
    }
  });
}

Minion::~Minion() { Stop(); }

void Minion::Stop() {
  if (is_stopping_.exchange(true)) return;
  changed_.notify_all();
  beater_.join();
  settler_.join();
  http_->Stop();
}

int Minion::Leave() {
  qs::HttpCaller caller(options_.guard);
  qs::HttpExchange exchange;
  exchange.target = "/-/Instances.Deregister/" + options_.id;
  exchange.body = json{{"born", born_ms_}}.dump();
  exchange.timeout = Millis(1000);
  record_->Write("minion " + options_.id + " withdraws itself: " +
                 std::to_string(caller.Exchange(exchange).status));
  int lost = 0;
  {
    const std::lock_guard lock(mutex_);
    Settle();
    const auto running = running_;
    for (const auto& [key, run] : running) {
      End(key, "lost with the minion", Clock::now());
      ++lost;
    }
  }
  Stop();
  return lost;
}

int64_t Minion::ClockNow() const {
  return qs::Elapsed(born_, Clock::now()).count();
}

HttpResponse Minion::Answer(int status, json body) const {
  body["currentTimeMs"] = ClockNow();
  body["born"] = born_ms_;
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

HttpResponse Minion::OnCall(const qs::HttpRequest& request,
                            HttpResponse (Minion::*handler)(const json&)) {
  const std::string id = request.header("quetzalspindle-expected-instance");
  if (!id.empty() && id != options_.id) {
    return Answer(kMisdirected, json::object());
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Answer(400, json::object());
  return (this->*handler)(body);
}

bool Minion::IsFenced(const json& body) {
  const uint64_t fence = body.value("fencingToken", uint64_t{0});
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Minion::Extend(const json& body) {
  if (!body.contains("deadlineMs")) return;
  const int64_t asked = body["deadlineMs"].get<int64_t>();
  lease_ms_ = std::max(lease_ms_, std::min(asked, ClockNow() + kMaxHoldMs));
}

void Minion::End(const Key& key, const std::string& how, Instant ended) {
  finished_.push_back({next_end_++, key.first, key.second, how, ""});
  highest_[key.first] = std::max(highest_[key.first], key.second);
  TaskRun& run = runs_[running_.at(key).index];
  run.ended = ended;
  run.how = how;
  running_.erase(key);
  record_->Write("minion " + options_.id + " end " + key.first + " attempt " +
                 std::to_string(key.second) + " " + how);
  changed_.notify_all();
}

void Minion::Settle() {
  const Instant now = Clock::now();
  const Instant lapses = born_ + Millis(lease_ms_);
  std::vector<std::pair<Key, Instant>> done;
  std::vector<Key> lapsed;
  for (const auto& [key, run] : running_) {
    if (now >= run.ends && run.ends <= lapses) {
      done.emplace_back(key, run.ends);
    } else if (now > lapses) {
      lapsed.push_back(key);
    }
  }
  for (const auto& [key, ended] : done) End(key, "done", ended);
  for (const Key& key : lapsed) End(key, "lapsed", lapses);
}

HttpResponse Minion::OnStart(const json& body) {
  const std::lock_guard lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(kConflict, {{"reason", "fence"}});
  const Key key{body.value("task", ""), body.value("attempt", 0U)};
  if (running_.contains(key)) {
    Extend(body);
    return Answer(kOk, json::object());
  }
  if (body.value("deadlineMs", int64_t{0}) < ClockNow()) {
    return Answer(kConflict, {{"reason", "late"}});
  }
  Extend(body);
  const auto highest = highest_.find(key.first);
  if (highest != highest_.end() && key.second <= highest->second) {
    return Answer(kConflict, {{"reason", "old"}});
  }
  const std::string spec = body.value("spec", "");
  // "RUN_MS CPU ...": the platform knows what a task takes; here its spec
  // tells.
  char* rest = nullptr;
  const int64_t run_ms = std::strtoll(spec.c_str(), &rest, 10);
  const int64_t cpu = std::strtoll(rest, nullptr, 10);
  int64_t used = cpu;
  for (const auto& [other, run] : running_) used += run.cpu;
  if (options_.rejects_overload && used > options_.cpu) {
    return Answer(kConflict, {{"reason", "room"}});
  }
  running_[key] = {Clock::now() + Millis(run_ms), cpu, runs_.size()};
  runs_.push_back({key.first, key.second, spec, options_.id, Clock::now(),
                   Instant::max(), ""});
  record_->Write("minion " + options_.id + " start " + key.first + " attempt " +
                 std::to_string(key.second) + ", " + std::to_string(used) +
                 " of " + std::to_string(options_.cpu) +
                 " thousandths of a core in use");
  changed_.notify_all();
  return Answer(kOk, json::object());
}

HttpResponse Minion::OnStop(const json& body) {
  const std::lock_guard lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(kConflict, {{"reason", "fence"}});
  const Key key{body.value("task", ""), body.value("attempt", 0U)};
  highest_[key.first] = std::max(highest_[key.first], key.second);
  if (running_.contains(key)) End(key, "stopped", Clock::now());
  return Answer(kOk, json::object());
}

HttpResponse Minion::OnHold(const json& body) {
  std::unique_lock lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(kConflict, {{"reason", "fence"}});
  Extend(body);
  const uint64_t seen = body.value("lastSeen", uint64_t{0});
  std::erase_if(finished_, [&](const json& row) {
    return row.at(0).get<uint64_t>() <= seen;
  });
  const Instant until = Clock::now() + Millis(body.value("waitMs", int64_t{0}));
  while (finished_.empty() && Clock::now() < until && !is_stopping_) {
    Instant next = until;
    for (const auto& [key, run] : running_) next = std::min(next, run.ends);
    changed_.wait_until(lock, next);
    Settle();
  }
  json running = json::array();
  const Instant now = Clock::now();
  for (const auto& [key, run] : running_) {
    const Instant began = runs_[run.index].began;
    const auto whole = std::max<int64_t>((run.ends - began).count(), 1);
    const int64_t percent =
        std::min<int64_t>((now - began).count() * 100 / whole, 99);
    running.push_back({key.first, key.second, "", percent, run.cpu});
  }
  return Answer(kOk, {{"running", running}, {"finished", finished_}});
}

json Minion::NextHeartbeat() {
  const std::lock_guard lock(mutex_);
  return {{"service", options_.service},
          {"address", options_.address.ToString()},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 8},
          {"state", is_draining_ ? "draining" : "ready"},
          {"coldRemainingMs", 0},
          {"capacity",
           {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}}},
          {"labels", options_.labels},
          {"currentTimeMs", ClockNow()},
          {"born", born_ms_},
          {"seq", ++sequence_}};
}

void Minion::BeginDraining() {
  const std::lock_guard lock(mutex_);
  is_draining_ = true;
  must_beat_ = true;
  changed_.notify_all();
}

std::optional<Instant> Minion::drain_acknowledged_at() {
  const std::lock_guard lock(mutex_);
  return drain_acknowledged_at_;
}

void Minion::SendHeartbeats() {
  qs::HttpCaller caller(options_.guard);
  Instant next = Clock::now();
  while (!is_stopping_) {
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, kTick);
      if (is_paused_ || (Clock::now() < next && !must_beat_)) continue;
      must_beat_ = false;
    }
    const json body = NextHeartbeat();
    qs::HttpExchange exchange;
    exchange.target = "/-/Instances.Heartbeat/" + options_.id;
    exchange.body = body.dump();
    exchange.timeout = Millis(1000);
    const int status = caller.Exchange(exchange).status;
    next = Clock::now() + options_.heartbeat;
    if (status / 100 != 2) {
      next = Clock::now() + Millis(200);
      continue;
    }
    const std::string state = body.at("state");
    record_->Write("minion " + options_.id + " heartbeat " +
                   std::to_string(body.at("seq").get<uint64_t>()) + " " +
                   state + " acknowledged");
    const std::lock_guard lock(mutex_);
    if (state == "draining" && !drain_acknowledged_at_) {
      drain_acknowledged_at_ = Clock::now();
    }
  }
}

std::vector<TaskRun> Minion::runs() {
  const std::lock_guard lock(mutex_);
  Settle();
  return runs_;
}

}  // namespace review
