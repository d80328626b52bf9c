#include "lib/held_cluster.h"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "lib/cluster.h"

namespace qs::test {
namespace {

using nlohmann::json;

constexpr int kStoreHost = 200;
constexpr int kFirstEntryHost = 10;
constexpr int kFirstGuardHost = 100;
constexpr int kPeerPort = 7000;
// Where connect_redirect.cc sends what is meant for kPeerPort.
constexpr int kLinkPort = 7500;
constexpr int kCallersPort = 8000;
constexpr int kCallersProxyPort = 8002;
// A thread for each proxy is too much for many processes.
constexpr size_t kProxyLoops = 6;
constexpr std::string_view kLengthHeader = "Content-Length: ";

json Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},      {"host", "jobs.example"}, {"prefix", prefix},
          {"service", "svc"},  {"maxAttempts", 3},       {"slackFactor", 1.6},
          {"timeoutMs", 9000}, {"targetLatencyMs", 2000}};
}

}  // namespace

HeldCluster::HeldCluster(const HeldClusterOptions& options)
    : options_(options),
      entry_count_(options.entries),
      net_("127." + std::to_string(64 + getpid() % 64) + "." +
           std::to_string(getpid() / 64 % 250 + 1) + ".") {
  std::string pattern = "/tmp/held_cluster.XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) std::abort();
  directory_ = pattern;
  if (options_.daemon.empty()) {
    options_.daemon = Cluster::ProgramPath("quetzalspindled");
  }
  kv_ = std::make_unique<FakeKv>(
      At(kStoreHost, 9001),
      static_cast<uint32_t>(32 + 3 * (options.entries + options.guards)));
  store_proxy_ = MakeProxy(At(kStoreHost, 9000), At(kStoreHost, 9001));
  WriteCatalog(1, true);
  processes_.resize(Index(options.entries + options.guards));
  if (options_.has_links) {
    for (int i = 0; i < process_count(); ++i) {
      link_proxies_.push_back(
          MakeProxy(At(HostOf(i), kLinkPort), At(HostOf(i), kPeerPort)));
    }
    for (int i = 0; i < options.entries; ++i) {
      caller_proxies_.push_back(
          MakeProxy(EntryAt(i, kCallersProxyPort), EntryAt(i, kCallersPort)));
    }
  }
  for (int i = 0; i < options.guards; ++i) {
    worker_proxies_.push_back(MakeProxy(GuardAt(i, 8100), GuardAt(i, 8101)));
    workers_.push_back(std::make_unique<FakeWorker>(
        "w" + std::to_string(i), GuardAt(i, 8101), GuardAt(i, 8100),
        GuardAt(i, 8200), kWorkerCpu, &ledger_));
    // The machine refuses connections to a worker that is down.
    workers_.back()->SetPowerHook(
        [proxy = worker_proxies_.back().get()](bool is_up) {
          proxy->SetListening(is_up);
          proxy->SetMode(is_up ? FaultProxy::Mode::kPass
                               : FaultProxy::Mode::kReset);
        });
    StartGuard(i);
  }
  for (int i = 0; i < options.entries; ++i) StartEntry(i);
}

std::unique_ptr<FaultProxy> HeldCluster::MakeProxy(Address listen,
                                                   Address server) {
  const size_t loop = next_loop_++ % kProxyLoops;
  if (proxy_loops_.size() <= loop) {
    proxy_loops_.push_back(std::make_shared<ProxyLoop>());
  }
  return std::make_unique<FaultProxy>(listen, server, proxy_loops_[loop]);
}

HeldCluster::~HeldCluster() {
  processes_.clear();
  if (keeps_logs_) return;
  std::error_code error;
  std::filesystem::remove_all(directory_, error);
  if (error) std::fprintf(stderr, "%s stays\n", directory_.c_str());
}

const std::string& HeldCluster::KeepLogs() {
  keeps_logs_ = true;
  return directory_;
}

bool HeldCluster::WaitReady() {
  for (size_t i = 0; i < Index(entry_count_); ++i) {
    const bool is_ready = WaitUntil([&] {
      return HandIn(static_cast<int>(i), NextId(), 1, Millis(1)).status == 200;
    });
    if (!is_ready) return false;
  }
  return true;
}

Address HeldCluster::At(int host, int port) const {
  return *Address::Parse(net_ + std::to_string(host) + ":" +
                         std::to_string(port));
}

Address HeldCluster::CallerAddressOf(int entry) const {
  return EntryAt(entry, options_.has_links ? kCallersProxyPort : kCallersPort);
}

void HeldCluster::WriteCatalog(uint64_t version, bool has_second_queue) {
  json routes = json::array();
  routes.push_back(Route("q", "/q/"));
  if (has_second_queue) routes.push_back(Route("r", "/r/"));
  json config = {{"version", version},
                 {"routes", routes},
                 {"services", {{{"name", "svc"}}}}};
  if (options_.max_body_bytes > 0) {
    config["limits"] = {{"maxBodyBytes", options_.max_body_bytes}};
  }
  kv_->Write("op/config", config.dump());
}

int HeldCluster::HostOf(int process) const {
  return process < entry_count_ ? kFirstEntryHost + process
                                : kFirstGuardHost + process - entry_count_;
}

void HeldCluster::SetLink(int a, int b, FaultProxy::Mode mode) {
  FaultProxy::Mode reverse = mode;
  if (mode == FaultProxy::Mode::kMute) reverse = FaultProxy::Mode::kDeaf;
  if (mode == FaultProxy::Mode::kDeaf) reverse = FaultProxy::Mode::kMute;
  link_proxy(b).SetModeFor(static_cast<uint8_t>(HostOf(a)), mode);
  link_proxy(a).SetModeFor(static_cast<uint8_t>(HostOf(b)), reverse);
}

void HeldCluster::StartProcess(int i) {
  processes_.at(Index(i)).reset();
  const bool is_entry = i < entry_count_;
  const int host = HostOf(i);
  const std::string name = is_entry
                               ? "entry" + std::to_string(i)
                               : "guard" + std::to_string(i - entry_count_);
  std::ofstream settings(SettingsPath(name));
  settings << "[process]\nrole = " << (is_entry ? "job_entry" : "job_guard")
           << "\ndeployment = platform\nzone = "
           << ZoneOf(is_entry ? i : i - entry_count_)
           << "\nlisten = " << At(host, kPeerPort).ToString()
           << "\nhttp = " << At(host, 7001).ToString()
           << "\nstop_timeout_ms = 4000\n[store]\naddress = "
           << At(kStoreHost, 9000).ToString()
           << "\n[members]\ngossip_interval_ms = 100\nguard_links = "
           << options_.guard_links << "\n";
  settings << "[limits]\n" << options_.limits;
  if (is_entry) {
    settings << "[callers]\nlisten = " << At(host, kCallersPort).ToString()
             << "\nreadiness = " << At(host, 8001).ToString()
             << "\nstop_accepting_after_ms = 200\n";
  } else {
    settings << "[worker]\nannouncements = " << At(host, 8200).ToString()
             << "\naddress = " << At(host, 8100).ToString() << "\n";
  }
  settings.close();
  std::vector<std::string> command = {options_.daemon, "--config",
                                      SettingsPath(name)};
  if (options_.has_links) {
    command.insert(
        command.begin(),
        {"/usr/bin/env",
         "LD_PRELOAD=" + Cluster::ProgramPath("libconnect_redirect.so"),
         "QS_LINK_SOURCE=" + net_ + std::to_string(host)});
  }
  if (options_.descriptors > 0) {
    const std::string count = std::to_string(options_.descriptors);
    command.insert(
        command.begin(),
        {"/bin/sh", "-c", "ulimit -n " + count + "; exec \"$@\"", "sh"});
  }
  processes_.at(Index(i)) =
      Process::Start(command, directory_ + "/" + name + "." +
                                  std::to_string(++started_) + ".log");
}

std::string HeldCluster::NextId() {
  const std::string id = std::to_string(++next_id_);
  return std::string(16 - id.size(), '0') + id;
}

HeldCluster::Answer HeldCluster::HandIn(int entry, const std::string& id,
                                        int tasks, Millis run_time,
                                        const std::string& prefix,
                                        Millis patience,
                                        std::optional<int> deadly) {
  return HeldCaller(this).HandIn(entry, id, tasks, run_time, prefix, patience,
                                 deadly);
}

HeldCluster::Answer HeldCluster::HandInSteps(int entry, const std::string& id,
                                             const json& steps) {
  return HeldCaller(this).HandInBody(
      entry, id, {{"spec", "20"}, {"bestEffort", true}, {"phases", steps}},
      "/q/", Millis(8000));
}

int HeldCluster::Cancel(int entry, const std::string& id,
                        Millis patience) const {
  const RawConnection caller(CallerAddressOf(entry), patience);
  if (!caller.connected()) return 0;
  caller.Send("DELETE /q/" + id + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
  const std::string head = caller.ReadUntil("\r\n\r\n");
  const size_t space = head.find(' ');
  return space == std::string::npos ? 0 : std::stoi(head.substr(space + 1));
}

HeldCluster::Answer HeldCaller::HandIn(int entry, const std::string& id,
                                       int tasks, Millis run_time,
                                       const std::string& prefix,
                                       Millis patience,
                                       std::optional<int> deadly) {
  std::string spec = std::to_string(run_time.count());
  if (deadly) spec += " deadly " + std::to_string(*deadly);
  const json needs = {
      {"cpu", 4000}, {"memMb", 64}, {"estimateMs", run_time.count()}};
  json step = needs;
  step["count"] = tasks;
  json steps = {step};
  if (has_empty_steps_) {
    json after = needs;
    step["after"] = {0};
    after["after"] = {1};
    steps = {needs, step, after};
  }
  return HandInBody(entry, id,
                    {{"spec", spec}, {"bestEffort", true}, {"phases", steps}},
                    prefix, patience);
}

HeldCluster::Answer HeldCaller::HandInBody(int entry, const std::string& id,
                                           const json& body,
                                           const std::string& prefix,
                                           Millis patience) {
  const Instant began = Clock::now();
  const std::string text = body.dump();
  std::unique_ptr<RawConnection> connection = std::move(connections_[entry]);
  HeldCluster::Answer answer;
  answer.was_kept = connection != nullptr;
  if (!connection) {
    connection =
        std::make_unique<RawConnection>(cluster_->CallerAddressOf(entry));
  }
  answer.was_sent = connection->connected();
  if (!answer.was_sent) return answer;
  connection->SetPatience(patience);
  answer.was_sent = connection->Send(
      "POST " + prefix + id + " HTTP/1.1\r\nHost: jobs.example\r\n" +
      "Content-Type: application/json\r\nQuetzalspindle-Deadline-Ms: " +
      std::to_string(patience.count()) +
      "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  answer.is_broken = !answer.was_sent;
  if (answer.is_broken) return answer;
  // Leaves no later than the time that the entry was told.
  const Millis left = patience - Elapsed(began, Clock::now()) - Millis(1);
  if (!connection->WaitForData(std::max(left, Millis(0)))) return answer;
  const std::string head = connection->ReadUntil("\r\n\r\n");
  const size_t length = head.find(kLengthHeader);
  answer.is_broken = length == std::string::npos;
  if (answer.is_broken) return answer;
  const size_t size = std::stoul(head.substr(length + kLengthHeader.size()));
  answer.body = connection->Read(size);
  answer.is_broken = answer.body.size() < size;
  if (answer.is_broken) return answer;
  answer.status = std::stoi(head.substr(head.find(' ') + 1));
  const bool closes = head.find("Connection: close") != std::string::npos;
  if (!closes) connections_[entry] = std::move(connection);
  return answer;
}

}  // namespace qs::test
