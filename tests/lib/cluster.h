#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "lib/process.h"
#include "quetzalspindle/address.h"

namespace qs::test {

struct ClusterOptions {
  int entries = 1;
  int guards = 1;
  bool platform = false;
  // Zone of each guard in turn.
  std::vector<std::string> zones = {"ro-west-a", "ro-west-b", "ro-west-c",
                                    "ro-west-d"};
  // Further lines of every guard's settings, by section.
  std::map<std::string, std::string> guard_settings;
  std::map<std::string, std::string> entry_settings;
  std::vector<std::string> backend_arguments;
  bool keep_start_logs = true;
  bool start_backends = true;
  Millis gossip_interval{100};
};

// Processes of the system with their stand-ins, each host with a loopback
// address of its own. Everything is killed and removed when the object goes.
class Cluster {
 public:
  // Starts all processes. Wait for WaitReady before using it.
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Waits until each entry sees every guard serving. False after a minute.
  bool WaitReady();

  Process& entry(int i) { return *entries_[static_cast<size_t>(i)]; }
  Process& guard(int i) { return *guards_[static_cast<size_t>(i)]; }
  Process& backend(int i) { return *backends_[static_cast<size_t>(i)]; }
  Process& platform() { return *platform_; }
  void StartEntry(int i);
  void StartGuard(int i);
  void StartBackend(int i);

  Address entry_http(int i) const { return Host(kEntryHost + i, kHttpPort); }
  Address guard_peer(int i) const { return Host(1 + i, kPeerPort); }
  Address guard_http(int i) const { return Host(1 + i, kHttpPort); }
  Address backend_http(int i) const { return Host(1 + i, kBackendPort); }
  Address platform_http() const { return Host(kPlatformHost, kHttpPort); }

  int entry_count() const { return options_.entries; }
  int guard_count() const { return options_.guards; }
  const std::string& directory() const { return directory_; }

  // One request to a process; status 0 when there was no response.
  static HttpClient::Response Call(Address server, const std::string& method,
                                   const std::string& target,
                                   const std::string& body = "",
                                   Millis timeout = Millis(120'000));
  // As Call, to an entry, with the response parsed.
  nlohmann::json Ask(int entry, const std::string& method,
                     const std::string& target, const std::string& body = "");
  // Mints an id; empty on failure.
  std::string Mint(int entry);

  // The path of a program built beside this one.
  static std::string ProgramPath(const std::string& name);

  // How often each task name was started, by all backend servers' logs.
  std::map<std::string, int> Starts() const;
  std::map<std::string, int> StartsAt(int backend) const;
  // The same for starts over the slots that the backend server announced.
  std::map<std::string, int> StartsOverSlots() const;
  // The sum of a counter over the guards' /metrics, for lines that contain
  // `label`.
  double GuardCounter(const std::string& name, const std::string& label) const;
  double EntryCounter(const std::string& name, const std::string& label) const;

 private:
  // Guards and their backend servers have the hosts from 1 on.
  static constexpr int kEntryHost = 900;
  static constexpr int kPlatformHost = 1000;
  static constexpr uint16_t kPeerPort = 7000;
  static constexpr uint16_t kHttpPort = 8000;
  static constexpr uint16_t kBackendPort = 9000;

  Address Host(int number, uint16_t port) const;
  std::string WriteSettings(const std::string& role, int number,
                            const std::string& zone) const;
  std::string StartLog(int i) const;
  static std::map<std::string, int> CountLines(const std::string& path);
  static double Counter(Address server, const std::string& name,
                        const std::string& label);

  ClusterOptions options_;
  uint32_t network_ = 0;
  std::string directory_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> guards_;
  std::vector<std::unique_ptr<Process>> backends_;
};

// The body of a job whose tasks are named `prefix`-0, `prefix`-1 and so on. The
// task with number `deadly` crashes its backend server.
std::string JobBody(const std::string& prefix, int tasks, int run_ms,
                    bool repeatable = true, int deadline_ms = 30'000,
                    std::optional<int> deadly = std::nullopt);

// Polls `condition` until it holds. False when it does not in time.
bool WaitUntil(const std::function<bool()>& condition,
               Millis timeout = Millis(120'000));

}  // namespace qs::test
