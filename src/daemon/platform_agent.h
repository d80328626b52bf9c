#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/platform_store.h"
#include "wire/messages.h"

namespace qs {

struct PlatformAgentOptions {
  Address address;
  std::string zone;
  Role role = Role::kGuard;
  Millis first_retry{200};
  Millis longest_retry{2'000};
  // Interval at which an entry reads the members again.
  Millis refresh{300'000};
  // The first of these intervals after the start. Each further one is three
  // times as long, up to `refresh`. The whole fleet may have started at the
  // same time, so that early reads miss members that registered later.
  Millis first_refresh{1000};
  // The registration of a process that has ended expires after `lease`. One
  // that expired during an outage of the service is restored within `renewal`
  // and the duration of a call once the outage is over.
  Millis lease{10'000};
  Millis renewal{2'000};
};

// A process found in the registry.
struct RegisteredMember {
  Address address;
  Role role = Role::kGuard;
  std::string zone;
};

// Registers this process in the platform's key-value service, under a lease if
// the service supports leases, and reads which other processes are registered.
// Runs on its own thread, so that an outage of the service delays nothing else.
class PlatformAgent {
 public:
  // `on_members` is called on the agent's thread.
  static std::unique_ptr<PlatformAgent> Make(
      const PlatformAgentOptions& options, std::unique_ptr<PlatformStore> store,
      std::function<void(std::vector<RegisteredMember>)> on_members);
  ~PlatformAgent();
  PlatformAgent(const PlatformAgent&) = delete;
  PlatformAgent& operator=(const PlatformAgent&) = delete;

 private:
  PlatformAgent(const PlatformAgentOptions& options,
                std::unique_ptr<PlatformStore> store,
                std::function<void(std::vector<RegisteredMember>)> on_members);

  void Run();
  bool Register();
  // Keeps the registration and the list of members up to date until the agent
  // stops.
  void Maintain();
  // Renews the lease. Registers again if it has expired.
  void Renew();
  void LogReachability(std::error_code error);
  bool ReadMembers();
  // Waits for `duration`. Returns false at once when the agent is stopped.
  bool Wait(Millis duration);

  PlatformAgentOptions options_;
  std::unique_ptr<PlatformStore> store_;
  std::function<void(std::vector<RegisteredMember>)> on_members_;
  int64_t lease_ = 0;  // 0 if the service does not support leases.
  bool was_reachable_ = true;
  std::mutex mutex_;
  std::condition_variable stopped_changed_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace qs
