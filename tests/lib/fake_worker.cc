#include "lib/fake_worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>

#include "http/http_caller.h"
#include "lib/fault_proxy.h"

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
constexpr int kOtherIncarnation = 421;
// A capacity that has shrunk counts for its machine after this time: 3 s in
// touch, and a heartbeat and a half of the platform's.
constexpr Millis kCapacityAllowance{4500};
// Of a deadly task, from its start to the crash.
constexpr int64_t kSoonestCrashMs = 5;
constexpr int64_t kLatestCrashMs = 100;
// Until a worker is back that a deadly task took down.
constexpr int64_t kShortestOutageMs = 500;
constexpr int64_t kLongestOutageMs = 2500;

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// A spec: "RUN_MS" or "RUN_MS deadly INDEX".
struct Spec {
  Millis run_time{0};
  bool is_deadly = false;
};

Spec ReadSpec(const std::string& spec, const std::string& task) {
  std::istringstream text(spec);
  int64_t run_time = 0;
  std::string word;
  std::string index;
  text >> run_time >> word >> index;
  return {Millis(run_time),
          word == "deadly" && index == task.substr(task.rfind('.') + 1)};
}

}  // namespace

void RunLedger::Started(const std::string& task, const std::string& run) {
  const std::lock_guard lock(mutex_);
  ++starts_;
  ++running_;
  ++starts_by_job_[JobOf(task)];
  runs_by_task_[task].push_back({run, Clock::now()});
  Note(task, run, "started");
  Crashes& crashes = crashes_by_job_[JobOf(task)][task];
  if (crashes.running >= 3) ++crashes.starts_after_three;
}

std::vector<std::string> RunLedger::StartedTasksOf(const std::string& job) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> tasks;
  for (const auto& [task, runs] : runs_by_task_) {
    if (JobOf(task) == job) tasks.push_back(task);
  }
  return tasks;
}

void RunLedger::Crashed(const std::string& task, const std::string& run,
                        bool was_running, bool was_alone) {
  const std::lock_guard lock(mutex_);
  ++crashes_;
  Crashes& crashes = crashes_by_job_[JobOf(task)][task];
  ++crashes.all;
  crashes.running += was_running ? 1 : 0;
  crashes.alone += was_alone ? 1 : 0;
  crashes.last = Clock::now();
  Note(task, run,
       std::string("worker crashed") + (was_running ? ", running" : "") +
           (was_alone ? ", alone" : ""));
}

void RunLedger::StartedOverCapacity(const std::string& task,
                                    const std::string& run) {
  const std::lock_guard lock(mutex_);
  ++over_capacity_;
  Note(task, run, "OVER CAPACITY");
}

bool RunLedger::HasCrashedTwice(const std::string& job) {
  const std::lock_guard lock(mutex_);
  const auto& tasks = crashes_by_job_[job];
  return std::any_of(tasks.begin(), tasks.end(), [](const auto& row) {
    return row.second.all >= 2 && row.second.alone > 0;
  });
}

Instant RunLedger::last_crash_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  Instant last;
  for (const auto& [task, crashes] : crashes_by_job_[job]) {
    last = std::max(last, crashes.last);
  }
  return last;
}

int RunLedger::started_after_crashes() {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& [job, tasks] : crashes_by_job_) {
    for (const auto& [task, crashes] : tasks) {
      if (crashes.starts_after_three > 2) ++count;
    }
  }
  return count;
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

bool RunLedger::HasStartedBetween(const std::string& job, Instant from,
                                  Instant until) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = job + ".";
  for (auto task = runs_by_task_.lower_bound(prefix);
       task != runs_by_task_.end() && task->first.starts_with(prefix); ++task) {
    for (const Interval& run : task->second) {
      if (from < run.began && run.began < until) return true;
    }
  }
  return false;
}

int RunLedger::done_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(done_by_job_[job].size());
}

FakeWorker::FakeWorker(std::string id, Address address, Address announced,
                       Address guard, int64_t cpu, RunLedger* ledger)
    : name_(std::move(id)),
      id_(name_),
      announced_(announced),
      guard_(guard),
      cpu_(cpu),
      ledger_(ledger),
      born_ms_(UnixMillis()),
      random_(static_cast<uint32_t>(std::hash<std::string>()(name_))) {
  std::vector<HttpServer::Route> routes;
  const auto add = [&](const char* path, Handler handler,
                       double CallShares::*share) {
    routes.push_back(
        {"POST", path, [this, handler, share](const HttpRequest& r) {
           return OnCall(handler, share, r);
         }});
  };
  add("/-/run-start", &FakeWorker::OnStart, &CallShares::starts);
  add("/-/run-stop", &FakeWorker::OnStop, &CallShares::stops);
  add("/-/hold", &FakeWorker::OnHold, &CallShares::polls);
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
  return std::to_string(key.second) + "@" + name_;
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
  const bool leaves = is_drain_known_;
  for (const auto& [key, run] : running_) {
    ledger_->Ended(key.first, RunName(key), leaves ? "left" : "crashed",
                   Clock::now());
    if (leaves) continue;
    ledger_->Crashed(key.first, RunName(key), true, running_.size() == 1);
  }
  // The machine may not know that these were not there.
  std::map<std::string, uint32_t> unknown;
  for (const json& row : ended_) {
    unknown[row.at(1).get<std::string>()] = row.at(2).get<uint32_t>();
  }
  for (const auto& [task, until] : put_off_) {
    if (Clock::now() < until) unknown.emplace(task, 0);
  }
  for (const auto& [task, attempt] : unknown) {
    const bool is_there = std::any_of(
        running_.begin(), running_.end(),
        [&name = task](const auto& row) { return row.first.first == name; });
    if (is_there || leaves) continue;
    ledger_->Crashed(task, RunName({task, attempt}), false, running_.empty());
  }
  running_.clear();
  put_off_.clear();
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

void FakeWorker::Restart() {
  const std::lock_guard lock(mutex_);
  back_at_.reset();
  is_drain_known_ = false;
  is_down_ = false;
}

int FakeWorker::BeginFailing(const FailingCalls& calls) {
  const std::lock_guard lock(mutex_);
  failing_calls_[next_failing_] = calls;
  return next_failing_++;
}

void FakeWorker::EndFailing(int number) {
  const std::lock_guard lock(mutex_);
  failing_calls_.erase(number);
}

HttpResponse FakeWorker::OnCall(Handler handler, double CallShares::*share,
                                const HttpRequest& request) {
  if (is_down_) return Answer(kNoAnswer, json::object());
  {
    const std::lock_guard lock(mutex_);
    const std::string id = request.header("quetzalspindle-expected-instance");
    if (!id.empty() && id != id_) {
      return Answer(kOtherIncarnation, json::object());
    }
  }
  const json body = json::parse(request.body);
  if (PutOff(handler, share, body)) return LeaveUnanswered();
  HttpResponse response;
  switch (DrawFault(share, body)) {
    case CallFault::kNone:
      return (this->*handler)(body);
    case CallFault::kError:
      return Answer(500, json::object());
    case CallFault::kShed:
      return Answer(429, json::object());
    case CallFault::kBusy:
      return Answer(503, json::object());
    case CallFault::kHang:
      return LeaveUnanswered();
    case CallFault::kLostAnswer:
      (this->*handler)(body);
      return LeaveUnanswered();
    case CallFault::kReset:
      response.headers.emplace_back(FaultProxy::kReplyFault,
                                    FaultProxy::kNoReply);
      return response;
    case CallFault::kResetAnswer:
      response = (this->*handler)(body);
      response.headers.emplace_back(FaultProxy::kReplyFault,
                                    FaultProxy::kNoReply);
      return response;
    case CallFault::kCutAnswer:
      response = (this->*handler)(body);
      response.headers.emplace_back(FaultProxy::kReplyFault,
                                    FaultProxy::kCutReply);
      return response;
  }
  std::abort();
}

HttpResponse FakeWorker::LeaveUnanswered() const {
  const Instant until = Clock::now() + kUnanswered;
  while (Clock::now() < until && !is_stopping_) {
    std::this_thread::sleep_for(kTick);
  }
  return Answer(kNoAnswer, json::object());
}

CallFault FakeWorker::DrawFault(double CallShares::*share, const json& body) {
  const std::lock_guard lock(mutex_);
  CallFault fault = CallFault::kNone;
  for (const auto& [number, calls] : failing_calls_) {
    if (!std::bernoulli_distribution(calls.*share)(random_)) continue;
    fault = calls.fault;
    break;
  }
  const bool is_answered = fault == CallFault::kNone ||
                           fault == CallFault::kShed ||
                           fault == CallFault::kBusy;
  if (share == &CallShares::starts && !is_answered) NoteUnanswered(body);
  return fault;
}

void FakeWorker::NoteUnanswered(const json& start) {
  put_off_[start.at("task").get<std::string>()] =
      Clock::now() + Millis(kLongestLeaseMs);
}

bool FakeWorker::PutOff(Handler handler, double CallShares::*share,
                        const json& body) {
  const std::lock_guard lock(mutex_);
  if (!std::bernoulli_distribution(late_.*share)(random_)) return false;
  const Millis delay(random_() % (late_.longest.count() + 1));
  if (share == &CallShares::starts) NoteUnanswered(body);
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
  const int64_t needed = static_cast<int64_t>(running_.size() + 1) * kTaskCpu;
  if (enforces_capacity_ && needed > cpu_) {
    return Answer(409, {{"reason", "room"}});
  }
  const Spec spec = ReadSpec(body.at("spec").get<std::string>(), key.first);
  Run& run = running_[key];
  run.ends = Clock::now() + spec.run_time * slowness_.load();
  if (spec.is_deadly) {
    run.crashes = Clock::now() + DrawMillis(kSoonestCrashMs, kLatestCrashMs);
    run.ends = Instant::max();
  }
  ++starts_;
  ledger_->Started(key.first, RunName(key));
  if (needed > AllowedCapacity()) {
    ledger_->StartedOverCapacity(key.first, RunName(key));
  }
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
  for (const auto& [task, highest] : highest_) put_off_.erase(task);
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
    CrashWhenDue();
    ComeBack();
    {
      const std::lock_guard lock(mutex_);
      Settle();
    }
    std::this_thread::sleep_for(kTick);
  }
}

void FakeWorker::SetPowerHook(std::function<void(bool)> hook) {
  const std::lock_guard lock(mutex_);
  power_hook_ = std::move(hook);
}

Millis FakeWorker::DrawMillis(int64_t from, int64_t to) {
  return Millis(std::uniform_int_distribution<int64_t>(from, to)(random_));
}

int64_t FakeWorker::AllowedCapacity() const {
  const Instant since = Clock::now() - kCapacityAllowance;
  int64_t most = 0;
  for (auto told = acknowledged_.rbegin(); told != acknowledged_.rend();
       ++told) {
    most = std::max(most, told->second);
    if (told->first <= since) break;
  }
  return most;
}

void FakeWorker::CrashWhenDue() {
  std::function<void(bool)> hook;
  {
    const std::lock_guard lock(mutex_);
    const Instant now = Clock::now();
    const bool is_due =
        std::any_of(running_.begin(), running_.end(), [&](const auto& row) {
          return row.second.crashes && now >= *row.second.crashes;
        });
    if (!is_due) return;
    back_at_ = now + DrawMillis(kShortestOutageMs, kLongestOutageMs);
    hook = power_hook_;
  }
  Crash();
  if (hook) hook(false);
}

// Every other time it has a new id.
void FakeWorker::ComeBack() {
  std::function<void(bool)> hook;
  {
    const std::lock_guard lock(mutex_);
    if (!back_at_ || Clock::now() < *back_at_) return;
    back_at_.reset();
    if (random_() % 2 == 0) {
      id_ = name_ + "-" + std::to_string(born_ms_.load());
    }
    born_ = Clock::now();
    born_ms_ = UnixMillis();
    hook = power_hook_;
  }
  if (hook) hook(true);
  Restart();
}

void FakeWorker::SendHeartbeat(HttpCaller* caller, uint64_t sequence) {
  HttpExchange exchange;
  const int64_t cpu = cpu_;
  const bool is_draining = is_draining_;
  if (!is_draining) is_drain_known_ = false;
  {
    const std::lock_guard lock(mutex_);
    exchange.target = "/-/Instances.Heartbeat/" + id_;
    // The machine may count on more as soon as it reads of it.
    if (acknowledged_.empty() || cpu > acknowledged_.back().second) {
      acknowledged_.emplace_back(Clock::now(), cpu);
    }
  }
  exchange.timeout = Millis(1000);
  exchange.body = json{
      {"service", "svc"},
      {"address", announced_.ToString()},
      {"zone", "z"},
      {"version", "v1"},
      {"slots", 8},
      {"coldRemainingMs", 0},
      {"state", is_draining ? "draining" : "ready"},
      {"capacity", {{"cpu", cpu}, {"memMb", 65'536}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}},
      {"currentTimeMs", ClockNow()},
      {"born", born_ms_.load()},
      {"seq",
       sequence}}.dump();
  const bool is_known = caller->Exchange(exchange).status / 100 == 2;
  if (is_known && is_draining) is_drain_known_ = true;
  const std::lock_guard lock(mutex_);
  if (is_known && cpu < acknowledged_.back().second) {
    acknowledged_.emplace_back(Clock::now(), cpu);
  }
}

}  // namespace qs::test
