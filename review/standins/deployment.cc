#include "standins/deployment.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "lib/raw_connection.h"

namespace review {
namespace {

using nlohmann::json;

// As in the settings that DEPLOY shows.
constexpr int kFrontend = 8161;
constexpr int kReadiness = 8167;
constexpr int kControl = 8166;
constexpr int kApp = 8165;
constexpr int kPorts = 7720;
constexpr int kStoreHost = 200;
constexpr int kStorePort = 8169;
constexpr const char* kDaemon = "target/quetzalspindled";

// A case that takes longer than this is ended, with all that it started.
constexpr unsigned kLongestCaseSeconds = 110;
constexpr size_t kMaxProcesses = 64;

std::array<std::atomic<pid_t>, kMaxProcesses> g_processes{};
std::atomic<size_t> g_process_count{0};

void EndAll(int /*signal*/) {
  for (const std::atomic<pid_t>& process : g_processes) {
    const pid_t pid = process;
    if (pid != 0) kill(pid, SIGKILL);
  }
  _exit(kCouldNotRun);
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    std::fprintf(stderr, "%s cannot be read\n", path.c_str());
    std::exit(kCouldNotRun);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void Replace(std::string* text, const std::string& from,
             const std::string& to) {
  for (size_t at = 0; (at = text->find(from, at)) != std::string::npos;
       at += to.size()) {
    text->replace(at, from.size(), to);
  }
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, Millis patience) {
  const Instant end = Clock::now() + patience;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(Millis(10));
  }
  return true;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Deployment::Deployment(int entries, int guards, Record* record,
                       const std::function<void(int, MinionOptions*)>& change)
    : record_(record),
      net_("127." + std::to_string(64 + getpid() % 64) + "." +
           std::to_string(getpid() / 64 % 250 + 1) + "."),
      entry_count_(entries) {
  signal(SIGTERM, &EndAll);
  signal(SIGINT, &EndAll);
  signal(SIGALRM, &EndAll);
  alarm(kLongestCaseSeconds);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) std::exit(kCouldNotRun);
  directory_ = pattern;
  std::random_device device;
  next_id_ = (static_cast<uint64_t>(device()) << 32U) | device();
  store_ = std::make_unique<qs::test::FakeKv>(At(kStoreHost, kStorePort));
  WriteConfig(1, json::array({Route("q", "/q/")}));
  for (int i = 0; i < guards; ++i) {
    MinionOptions options;
    options.id = "i-" + std::to_string(i);
    options.address = GuardAt(i, kApp);
    options.guard = GuardAt(i, kControl);
    if (change) change(i, &options);
    minions_.push_back(std::make_unique<Minion>(options, record));
  }
  guards_.resize(static_cast<size_t>(guards));
  entries_.resize(static_cast<size_t>(entries));
  for (int i = 0; i < guards; ++i) StartGuard(i);
  for (int i = 0; i < entries; ++i) StartEntry(i);
}

Deployment::~Deployment() {
  entries_.clear();
  guards_.clear();
  minions_.clear();
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_, ignored);
  }
}

qs::Address Deployment::At(int host, int port) const {
  return *qs::Address::Parse(net_ + std::to_string(host) + ":" +
                             std::to_string(port));
}

std::unique_ptr<qs::test::Process> Deployment::Start(
    const std::string& name, const std::string& settings_template,
    const std::string& ip, const std::string& app) {
  std::string text = ReadFile(settings_template);
  std::string seeds;
  for (int i = 0; i < std::min(entry_count_, 3); ++i) {
    seeds += EntryAt(i, kControl).ToString() + " ";
  }
  const std::string port = std::to_string(kPorts);
  Replace(&text, "{{ip}}", ip);
  Replace(&text, "{{portRange.0}}", port);
  Replace(&text, "{{zone}}", "z");
  Replace(&text, "{{bounds.gracePeriodS}}", "6");
  Replace(&text, "{{bounds.maxHoldMs}}", "1000");
  Replace(&text, "{{listenAddrs.frontend}}",
          ip + ":" + std::to_string(kFrontend));
  Replace(&text, "{{listenAddrs.readiness}}",
          ip + ":" + std::to_string(kReadiness));
  Replace(&text, "{{listenAddrs.controlPlane}}",
          ip + ":" + std::to_string(kControl));
  Replace(&text, "{{platform.address}}", At(kStoreHost, kStorePort).ToString());
  Replace(&text, "{{app}}", app);
  Replace(&text, "{{limits.maxFds}}", "4100");
  Replace(&text, "{{limits.memoryMb}}", "128");
  Replace(&text, "{{#seeds}}{{.}} {{/seeds}}", seeds);
  if (text.find("{{") != std::string::npos) {
    std::fprintf(stderr, "%s has an unknown field\n",
                 settings_template.c_str());
    std::exit(kCouldNotRun);
  }
  const std::string path = directory_ + "/" + name + ".conf";
  std::ofstream(path) << text;
  auto process = qs::test::Process::Start(
      {kDaemon, "--config", path},
      directory_ + "/" + name + "." + std::to_string(++started_) + ".log");
  if (process == nullptr) std::exit(kCouldNotRun);
  g_processes.at(g_process_count++) = process->pid();
  record_->Write("process " + name + " started");
  return process;
}

void Deployment::StartEntry(int i) {
  auto& process = entries_.at(static_cast<size_t>(i));
  process.reset();
  const std::string ip = EntryAt(i, kPorts).ToString();
  process = Start("entry" + std::to_string(i), "deploy/entry.ini.tmpl",
                  ip.substr(0, ip.find(':')), "");
}

void Deployment::StartGuard(int i) {
  auto& process = guards_.at(static_cast<size_t>(i));
  process.reset();
  const std::string ip = GuardAt(i, kPorts).ToString();
  process = Start("guard" + std::to_string(i), "deploy/guard.ini.tmpl",
                  ip.substr(0, ip.find(':')), GuardAt(i, kApp).ToString());
}

json Deployment::Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},      {"host", "jobs.example"},
          {"prefix", prefix},  {"kind", "non_idempotent"},
          {"timeoutMs", 1500}, {"targetLatencyMs", 60},
          {"priority", 1},     {"service", "svc"},
          {"maxAttempts", 4},  {"slackFactor", 1.6}};
}

void Deployment::WriteConfig(uint64_t version, const json& routes) {
  const json service = {{"name", "svc"},   {"healthPath", "/healthz"},
                        {"maxConns", 64},  {"protocol", "h1"},
                        {"tls", false},    {"rejectsOverload", true},
                        {"standby", false}};
  const json limits = {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 262144},
                       {"headerTimeoutMs", 3000},
                       {"idleTimeoutMs", 15000}};
  store_->Write("op/config", json{{"version", version},
                                  {"routes", routes},
                                  {"services", json::array({service})},
                                  {"limits", limits}}
                                 .dump());
}

std::string Deployment::JobBody(const std::string& spec, const json& phases) {
  return json{{"spec", spec}, {"bestEffort", true}, {"phases", phases}}.dump();
}

std::string Deployment::NextId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(next_id_++));
  return text;
}

Reply Deployment::Send(const std::string& method, int entry,
                       const std::string& path, const std::string& body,
                       Millis patience) {
  const qs::test::RawConnection connection(EntryAt(entry, kFrontend));
  Reply reply;
  if (!connection.connected()) return reply;
  connection.SetPatience(patience);
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\n";
  if (!body.empty()) {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  }
  text += "Quetzalspindle-Deadline-Ms: " + std::to_string(patience.count()) +
          "\r\n\r\n" + body;
  if (!connection.Send(text)) return reply;
  if (!connection.WaitForData(patience)) return reply;
  const std::string head = connection.ReadUntil("\r\n\r\n");
  const std::string length_name = "Content-Length: ";
  const size_t length = head.find(length_name);
  if (length == std::string::npos) return reply;
  reply.body =
      connection.Read(std::stoul(head.substr(length + length_name.size())));
  reply.status = std::stoi(head.substr(head.find(' ') + 1));
  return reply;
}

bool Deployment::WaitReady() {
  for (int i = 0; i < entry_count_; ++i) {
    const bool is_ready = WaitUntil(
        [&] {
          const json phase = {
              {"count", 1}, {"cpu", 100}, {"memMb", 64}, {"estimateMs", 10}};
          return Send("POST", i, "/q/" + NextId(),
                      JobBody("10 100", json::array({phase})), Millis(1500))
                     .status == 200;
        },
        Millis(15'000));
    if (!is_ready) return false;
  }
  record_->Write("all entries complete jobs");
  return true;
}

std::vector<TaskRun> Deployment::runs() {
  std::vector<TaskRun> all;
  for (const auto& minion : minions_) {
    const std::vector<TaskRun> runs = minion->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

}  // namespace review
