#include "lib/fake_worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "http/http_caller.h"

namespace qs::test {
namespace {

using nlohmann::json;

constexpr int64_t kTaskCpu = 4000;  // Of every task of the tests.
constexpr int64_t kLongestLeaseMs = 1000;
constexpr Millis kHeartbeat{200};
// How late a run that lapsed is ended.
constexpr Millis kTick{5};
// A call without an answer is held longer than any guard waits for one.
constexpr Millis kUnanswered{700};
constexpr int kNoAnswer = 504;

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void RunLedger::Started(const std::string& task, const std::string& run) {
  const std::lock_guard lock(mutex_);
  ++starts_;
  ++running_;
  ++starts_by_job_[JobOf(task)];
  runs_by_task_[task].push_back({run, Clock::now()});
  Note(task, run, "started");
}

void RunLedger::Ended(const std::string& task, const std::string& run,
                      const std::string& how, Instant ended) {
  const std::lock_guard lock(mutex_);
  --running_;
  for (Interval& interval : runs_by_task_[task]) {
    const bool is_open = interval.ended == Instant::max();
    if (is_open && interval.run == run) interval.ended = ended;
  }
  if (how == "failed") ++failed_by_job_[JobOf(task)][task];
  if (how == "done") done_by_job_[JobOf(task)].insert(task);
  const Millis ago = Elapsed(ended, Clock::now());
  Note(task, run, how + " " + std::to_string(ago.count()) + " ms ago");
}

int RunLedger::CountOverlaps(const std::vector<Interval>& runs) {
  int count = 0;
  for (auto a = runs.begin(); a != runs.end(); ++a) {
    count +=
        static_cast<int>(std::count_if(runs.begin(), a, [&](const auto& b) {
          return a->began < b.ended && b.began < a->ended;
        }));
  }
  return count;
}

int RunLedger::doubled() {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& [task, runs] : runs_by_task_) count += CountOverlaps(runs);
  return count;
}

std::string RunLedger::DoubledHistory() {
  const std::lock_guard lock(mutex_);
  std::set<std::string> jobs;
  for (const auto& [task, runs] : runs_by_task_) {
    if (CountOverlaps(runs) > 0) jobs.insert(JobOf(task));
  }
  std::string text;
  for (const std::string& job : jobs) text += history_by_job_[job] + "\n";
  return text;
}

void RunLedger::Note(const std::string& task, const std::string& run,
                     const std::string& what) {
  history_by_job_[JobOf(task)] +=
      std::to_string(UnixMillis()) + " " + task + " " + run + " " + what + "\n";
}

int RunLedger::failed_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  int most = 0;
  for (const auto& [task, count] : failed_by_job_[job]) {
    most = std::max(most, count);
  }
  return most;
}

std::string RunLedger::HistoryOf(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return history_by_job_[job];
}

int RunLedger::starts_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return starts_by_job_[job];
}

int RunLedger::done_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(done_by_job_[job].size());
}

FakeWorker::FakeWorker(std::string id, Address address, Address announced,
                       Address guard, int64_t cpu, RunLedger* ledger)
    : id_(std::move(id)),
      announced_(announced),
      guard_(guard),
      cpu_(cpu),
      ledger_(ledger),
      born_ms_(UnixMillis()),
      random_(static_cast<uint32_t>(std::hash<std::string>()(id_))) {
  std::vector<HttpServer::Route> routes;
  const auto add = [&](const char* path, Handler handler,
                       double LateCalls::*share) {
    routes.push_back(
        {"POST", path, [this, handler, share](const HttpRequest& r) {
           return OnCall(handler, share, json::parse(r.body));
         }});
  };
  add("/-/run-start", &FakeWorker::OnStart, &LateCalls::starts);
  add("/-/run-stop", &FakeWorker::OnStop, &LateCalls::stops);
  add("/-/hold", &FakeWorker::OnHold, &LateCalls::polls);
  HttpServerOptions options;
  options.address = address;
  options.threads = 48;  // Most of them hold calls without an answer.
  options.no_such_route = [this] { return Answer(404, json::object()); };
  options.too_large = [this](size_t) { return Answer(413, json::object()); };
  auto http = HttpServer::Make(std::move(options), std::move(routes));
  if (!http) std::abort();
  http_ = std::move(*http);
  announcer_ = std::thread([this] { Announce(); });
  watcher_ = std::thread([this] { Watch(); });
}

FakeWorker::~FakeWorker() {
  is_stopping_ = true;
  changed_.notify_all();
  announcer_.join();
  watcher_.join();
  http_->Stop();
}

int64_t FakeWorker::ClockNow() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - born_.load())
      .count();
}

HttpResponse FakeWorker::Answer(int status, json body) const {
  body["currentTimeMs"] = ClockNow();
  body["born"] = born_ms_.load();
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

bool FakeWorker::IsFenced(const json& body) {
  const auto fence = body.at("fencingToken").get<uint64_t>();
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void FakeWorker::Extend(const json& body) {
  if (!body.contains("deadlineMs")) return;
  const int64_t most = ClockNow() + kLongestLeaseMs;
  lease_ =
      std::max(lease_, std::min(body.at("deadlineMs").get<int64_t>(), most));
}

std::string FakeWorker::RunName(const Key& key) const {
  return std::to_string(key.second) + "@" + id_;
}

void FakeWorker::End(const Key& key, const char* how, Instant ended) {
  ended_.push_back({next_end_++, key.first, key.second, how, ""});
  uint32_t& highest = highest_[key.first];
  highest = std::max(highest, key.second);
  running_.erase(key);
  ledger_->Ended(key.first, RunName(key), how, ended);
}

void FakeWorker::Settle() {
  const Instant now = Clock::now();
  const Instant lapses = born_.load() + Millis(lease_);
  std::vector<std::tuple<Key, const char*, Instant>> over;
  for (const auto& [key, run] : running_) {
    if (now >= run.ends && run.ends <= lapses) {
      over.emplace_back(key, is_failing_ ? "failed" : "done", run.ends);
    } else if (now > lapses) {
      over.emplace_back(key, "lapsed", lapses);
    }
  }
  for (const auto& [key, how, ended] : over) End(key, how, ended);
}

void FakeWorker::SetLate(const LateCalls& late) {
  const std::lock_guard lock(mutex_);
  late_ = late;
}

void FakeWorker::Crash() {
  is_down_ = true;
  const std::lock_guard lock(mutex_);
  Settle();
  for (const auto& [key, run] : running_) {
    ledger_->Ended(key.first, RunName(key), "crashed", Clock::now());
  }
  running_.clear();
  highest_.clear();
  ended_.clear();
  late_calls_.clear();
  fence_ = 0;
  lease_ = 0;
  next_end_ = 1;
  born_ = Clock::now();
  born_ms_ = UnixMillis();
  changed_.notify_all();
}

HttpResponse FakeWorker::OnCall(Handler handler, double LateCalls::*share,
                                const json& body) {
  if (is_down_) return Answer(kNoAnswer, json::object());
  if (!PutOff(handler, share, body)) return (this->*handler)(body);
  const Instant until = Clock::now() + kUnanswered;
  while (Clock::now() < until && !is_stopping_) {
    std::this_thread::sleep_for(kTick);
  }
  return Answer(kNoAnswer, json::object());
}

bool FakeWorker::PutOff(Handler handler, double LateCalls::*share,
                        const json& body) {
  const std::lock_guard lock(mutex_);
  if (!std::bernoulli_distribution(late_.*share)(random_)) return false;
  const Millis delay(random_() % (late_.longest.count() + 1));
  late_calls_.emplace(Clock::now() + delay,
                      [this, handler, call = json(body)]() mutable {
                        call["waitMs"] = 0;
                        (this->*handler)(call);
                      });
  return true;
}

void FakeWorker::CarryOutLateCalls() {
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard lock(mutex_);
    const auto end = late_calls_.upper_bound(Clock::now());
    for (auto call = late_calls_.begin(); call != end; ++call) {
      due.push_back(std::move(call->second));
    }
    late_calls_.erase(late_calls_.begin(), end);
  }
  for (const auto& call : due) call();
}

HttpResponse FakeWorker::OnStart(const json& body) {
  const std::lock_guard lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(409, {{"reason", "fence"}});
  Extend(body);
  const Key key{body.at("task").get<std::string>(),
                body.at("attempt").get<uint32_t>()};
  if (running_.contains(key)) return Answer(200, json::object());
  if (body.at("deadlineMs").get<int64_t>() < ClockNow()) {
    return Answer(409, {{"reason", "late"}});
  }
  if (key.second <= highest_[key.first]) {
    return Answer(409, {{"reason", "old"}});
  }
  if (static_cast<int64_t>(running_.size() + 1) * kTaskCpu > cpu_) {
    return Answer(409, {{"reason", "room"}});
  }
  const Millis length(std::stoll(body.at("spec").get<std::string>()));
  running_[key] = {Clock::now() + length * slowness_.load()};
  ++starts_;
  ledger_->Started(key.first, RunName(key));
  changed_.notify_all();
  return Answer(200, json::object());
}

HttpResponse FakeWorker::OnStop(const json& body) {
  const std::lock_guard lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(409, {{"reason", "fence"}});
  const Key key{body.at("task").get<std::string>(),
                body.at("attempt").get<uint32_t>()};
  uint32_t& highest = highest_[key.first];
  highest = std::max(highest, key.second);
  if (running_.contains(key)) End(key, "stopped", Clock::now());
  changed_.notify_all();
  return Answer(200, json::object());
}

HttpResponse FakeWorker::OnHold(const json& body) {
  std::unique_lock lock(mutex_);
  Settle();
  if (IsFenced(body)) return Answer(409, {{"reason", "fence"}});
  Extend(body);
  const auto seen = body.at("lastSeen").get<uint64_t>();
  std::erase_if(ended_, [&](const json& row) {
    return row.at(0).get<uint64_t>() <= seen;
  });
  const Instant until = Clock::now() + Millis(body.value("waitMs", int64_t{0}));
  const int64_t incarnation = born_ms_;
  while (ended_.empty() && Clock::now() < until && !is_stopping_ && !is_down_) {
    Instant next = until;
    for (const auto& [key, run] : running_) next = std::min(next, run.ends);
    changed_.wait_until(lock, next);
    Settle();
  }
  if (born_ms_ != incarnation) return Answer(kNoAnswer, json::object());
  json running = json::array();
  const Instant now = Clock::now();
  for (const auto& [key, run] : running_) {
    // Moves with every look, as the run does.
    const auto left =
        std::chrono::duration_cast<Millis>(run.ends - now).count();
    running.push_back({key.first, key.second, "", 100 - left % 100, 0});
  }
  return Answer(200, {{"running", running}, {"finished", ended_}});
}

void FakeWorker::Announce() {
  HttpCaller caller(guard_);
  uint64_t sequence = 0;
  Instant next = Clock::now();
  while (!is_stopping_) {
    if (is_down_) {
      sequence = 0;
    } else if (Clock::now() >= next) {
      SendHeartbeat(&caller, ++sequence);
      next = Clock::now() + kHeartbeat;
    }
    std::this_thread::sleep_for(kTick);
  }
}

// Carries out late calls, and ends what lapses while nobody calls.
void FakeWorker::Watch() {
  while (!is_stopping_) {
    CarryOutLateCalls();
    {
      const std::lock_guard lock(mutex_);
      Settle();
    }
    std::this_thread::sleep_for(kTick);
  }
}

void FakeWorker::SendHeartbeat(HttpCaller* caller, uint64_t sequence) {
  HttpExchange exchange;
  exchange.target = "/-/Instances.Heartbeat/" + id_;
  exchange.timeout = Millis(1000);
  exchange.body = json{
      {"service", "svc"},
      {"address", announced_.ToString()},
      {"zone", "z"},
      {"state", is_draining_ ? "draining" : "ready"},
      {"capacity", {{"cpu", cpu_}, {"memMb", 65'536}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}},
      {"currentTimeMs", ClockNow()},
      {"born", born_ms_.load()},
      {"seq",
       sequence}}.dump();
  (void)caller->Exchange(exchange);
}

}  // namespace qs::test
