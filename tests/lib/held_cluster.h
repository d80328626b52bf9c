#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lib/fake_kv.h"
#include "lib/fake_worker.h"
#include "lib/fault_proxy.h"
#include "lib/process.h"
#include "lib/raw_connection.h"

namespace qs::test {

struct HeldClusterOptions {
  int guards = 2;
  int entries = 2;
  // The daemon that is run; empty for the one built beside this program.
  std::string daemon;
  // Whether proxies stand before each process: one for what other processes
  // send, and before an entry one for its callers.
  bool has_links = false;
  // Guards to which an entry keeps links.
  int guard_links = 48;
  // Processes are spread over so many availability zones; see ZoneOf.
  int zones = 1;
  // The limit on request bodies that the configuration states; 0 for none.
  int max_body_bytes = 0;
  // The section [limits] of every process's settings.
  std::string limits = "";
  // That each process may open; 0 for what this one may.
  int descriptors = 0;
};

// The roles for held jobs as real processes on a loopback network of their own,
// against stand-ins of the platform's store and workers behind proxies.
// Processes are numbered from 0, entries first.
class HeldCluster {
 public:
  static constexpr int kMaxEntries = 80;
  static constexpr int kMaxGuards = 90;
  static constexpr int64_t kWorkerCpu = 16'000;

  explicit HeldCluster(const HeldClusterOptions& options);
  HeldCluster(int guards, int entries)
      : HeldCluster(
            HeldClusterOptions{guards, entries, "", false, 48, 1, 0, "", 0}) {}
  // Ends all processes.
  ~HeldCluster();
  HeldCluster(const HeldCluster&) = delete;
  HeldCluster& operator=(const HeldCluster&) = delete;

  // Leaves the logs of the processes behind and returns where they are.
  const std::string& KeepLogs();

  // Whether every entry came to serve a job.
  bool WaitReady();

  FakeKv& kv() { return *kv_; }
  RunLedger& ledger() { return ledger_; }
  FakeWorker& worker(int i) { return *workers_.at(Index(i)); }
  Process& guard(int i) { return process(entry_count_ + i); }
  Process& entry(int i) { return process(i); }
  Process& process(int i) { return *processes_.at(Index(i)); }
  int process_count() const { return static_cast<int>(processes_.size()); }
  // Only with `has_links`: what other processes send to this one goes through
  // it, and what this process itself sends them goes through theirs.
  FaultProxy& link_proxy(int i) { return *link_proxies_.at(Index(i)); }
  // Sets the mode of what passes between two processes, whoever connected.
  // kMute and kDeaf are as seen by `a`.
  void SetLink(int a, int b, FaultProxy::Mode mode);
  // Only with `has_links`.
  FaultProxy& caller_proxy(int entry) {
    return *caller_proxies_.at(Index(entry));
  }
  // Where callers reach an entry.
  Address CallerAddressOf(int entry) const;
  FaultProxy& worker_proxy(int i) { return *worker_proxies_.at(Index(i)); }
  FaultProxy& store_proxy() { return *store_proxy_; }
  std::string SettingsPath(const std::string& name) const {
    return directory_ + "/" + name + ".ini";
  }

  // The zone of a guard, or of an entry, by its number among these.
  std::string ZoneOf(int i) const {
    return "z" + std::to_string(i % options_.zones);
  }

  Address At(int host, int port) const;
  Address GuardAt(int i, int port) const { return At(100 + i, port); }
  Address EntryAt(int i, int port) const { return At(10 + i, port); }

  // Kills what runs there before.
  void StartGuard(int i) { StartProcess(entry_count_ + i); }
  void StartEntry(int i) { StartProcess(i); }
  void StartProcess(int i);

  void WriteCatalog(uint64_t version, bool has_second_queue);

  std::string NextId();
  struct Answer {
    int status = 0;  // 0 where none came.
    std::string body;
    bool was_sent = true;  // At least in part.
    // The connection broke before an answer came. It was `kept` if an earlier
    // request had used it.
    bool is_broken = false;
    bool was_kept = false;
  };
  // Hands a job in over a connection of its own. Each task runs for `run_time`
  // and declares it. The task with index `deadly` crashes its workers.
  Answer HandIn(int entry, const std::string& id, int tasks, Millis run_time,
                const std::string& prefix = "/q/",
                Millis patience = Millis(8000), std::optional<int> deadly = {});
  // Hands in a job with these steps, as the platform writes them.
  Answer HandInSteps(int entry, const std::string& id,
                     const nlohmann::json& steps);
  // Returns the status of the answer, 0 where none came.
  int Cancel(int entry, const std::string& id,
             Millis patience = Millis(2000)) const;

 private:
  static size_t Index(int i) { return static_cast<size_t>(i); }
  std::unique_ptr<FaultProxy> MakeProxy(Address listen, Address server);
  int HostOf(int process) const;

  HeldClusterOptions options_;
  int entry_count_;
  std::string net_;
  std::string directory_;
  bool keeps_logs_ = false;
  size_t next_loop_ = 0;
  int started_ = 0;  // Processes; each has a log of its own.
  std::atomic<uint64_t> next_id_{0};
  RunLedger ledger_;
  std::unique_ptr<FakeKv> kv_;
  std::vector<std::shared_ptr<ProxyLoop>> proxy_loops_;
  std::unique_ptr<FaultProxy> store_proxy_;
  std::vector<std::unique_ptr<FaultProxy>> worker_proxies_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::vector<std::unique_ptr<FaultProxy>> link_proxies_;
  std::vector<std::unique_ptr<FaultProxy>> caller_proxies_;
  std::vector<std::unique_ptr<Process>> processes_;
};

// A caller that keeps a connection to each entry open until the entry closes
// it, and never sends a request twice by itself.
class HeldCaller {
 public:
  explicit HeldCaller(HeldCluster* cluster) : cluster_(cluster) {}

  // Whether jobs get steps without tasks before and after the one that has
  // them.
  void SetHasEmptySteps(bool has_empty_steps) {
    has_empty_steps_ = has_empty_steps;
  }
  HeldCluster::Answer HandIn(int entry, const std::string& id, int tasks,
                             Millis run_time, const std::string& prefix,
                             Millis patience, std::optional<int> deadly = {});
  HeldCluster::Answer HandInBody(int entry, const std::string& id,
                                 const nlohmann::json& body,
                                 const std::string& prefix, Millis patience);

 private:
  HeldCluster* cluster_;
  bool has_empty_steps_ = false;
  std::map<int, std::unique_ptr<RawConnection>> connections_;
};

}  // namespace qs::test
