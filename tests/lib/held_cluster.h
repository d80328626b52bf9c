#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lib/fake_kv.h"
#include "lib/fake_worker.h"
#include "lib/fault_proxy.h"
#include "lib/process.h"
#include "quetzalspindle/http_exchange.h"

namespace qs::test {

// The roles for held jobs as real processes on a loopback network of their own,
// against stand-ins of the platform's store and workers behind proxies.
class HeldCluster {
 public:
  HeldCluster(int guards, int entries);
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
  Process& guard(int i) { return *guards_.at(Index(i)); }
  Process& entry(int i) { return *entries_.at(Index(i)); }
  FaultProxy& worker_proxy(int i) { return *worker_proxies_.at(Index(i)); }
  FaultProxy& store_proxy() { return *store_proxy_; }
  std::string SettingsPath(const std::string& name) const {
    return directory_ + "/" + name + ".ini";
  }

  Address At(int host, int port) const;
  Address GuardAt(int i, int port) const { return At(100 + i, port); }
  Address EntryAt(int i, int port) const { return At(10 + i, port); }

  // Kills what runs there before.
  void StartGuard(int i);
  void StartEntry(int i);

  void WriteCatalog(uint64_t version, bool has_second_queue);

  std::string NextId();
  struct Answer {
    int status = 0;  // 0 where none came.
    std::string body;
  };
  // Hands a job in. Each task runs for `run_time` and declares it.
  Answer HandIn(int entry, const std::string& id, int tasks, Millis run_time,
                const std::string& prefix = "/q/",
                Millis patience = Millis(8000));

 private:
  static size_t Index(int i) { return static_cast<size_t>(i); }
  std::unique_ptr<Process> StartRole(const std::string& name, int host,
                                     const std::string& role,
                                     const std::string& more);

  std::string net_;
  std::string directory_;
  bool keeps_logs_ = false;
  int started_ = 0;  // Processes; each has a log of its own.
  std::atomic<uint64_t> next_id_{0};
  RunLedger ledger_;
  std::unique_ptr<FakeKv> kv_;
  std::unique_ptr<FaultProxy> store_proxy_;
  std::vector<std::unique_ptr<FaultProxy>> worker_proxies_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::vector<std::unique_ptr<Process>> guards_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}  // namespace qs::test
