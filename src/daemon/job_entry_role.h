#pragma once

#include <memory>
#include <unordered_map>

#include "daemon/log_decisions.h"
#include "held/crash_gossip.h"
#include "held/job_scheduler.h"
#include "http/event_http_server.h"
#include "kernel/kernel.h"
#include "kernel/suspend_watch.h"
#include "net/peer_network.h"

namespace prometheus {
class Counter;
}

namespace qs {

class ConfigAgent;
class CallerApi;
class CancelDesk;
class Node;

// The entry of a deployment: keeps callers' requests open and dispatches the
// tasks of their jobs to guards. Holds no state that must survive the process.
class JobEntryRole final : public RolePlugin, private PeerHandler {
 public:
  static std::unique_ptr<RolePlugin> Make(Kernel* kernel);
  ~JobEntryRole() override;

 private:
  explicit JobEntryRole(Kernel* kernel);

  std::error_code OnStart() override;
  void OnBeginStop() override;
  bool OnIsIdle() const override;
  void OnFinish() override;
  void OnReload(const Settings& settings) override;

  void OnLinkUp(Address address, const Hello& hello) override;
  void OnLinkDown(Address address, Incarnation incarnation) override;
  void OnPeerGone(Address address, Incarnation incarnation) override;
  void OnLinkMessage(Address address, Incarnation incarnation,
                     Message message) override;
  void OnSessionUp(uint64_t session, const Hello& hello) override;
  void OnSessionMessage(uint64_t session, const Hello& hello,
                        Message message) override;
  void OnSessionDown(uint64_t /*session*/, const Hello& /*hello*/) override {}

  void OnTick(Instant now);
  void UpdateGuardLinks(Instant now);
  void TellCrashes(Instant now);
  // A newer configuration or snapshot of the evacuations is known.
  void OnConfig();
  void OnCatalog();
  void SchedulePump();
  void PostPump();
  void Pump();
  void Perform(SendOrders action);
  void Perform(SendHeldAnswer action);
  void StartConfigAgent();
  std::error_code StartHttp();

  Kernel* kernel_;
  LogDecisions log_;
  SuspendWatch suspend_watch_;
  std::unique_ptr<JobScheduler> scheduler_;
  std::unique_ptr<CallerApi> caller_api_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<CancelDesk> cancel_desk_;
  CrashGossip crash_gossip_;
  prometheus::Counter* crash_notices_ = nullptr;
  std::unique_ptr<ConfigAgent> config_agent_;
  std::unique_ptr<EventHttpServer> process_http_;
  std::unique_ptr<EventHttpServer> readiness_http_;
  std::unordered_map<Incarnation, Address> guards_;
  bool is_pump_posted_ = false;
  Instant last_pump_;
  Instant last_guard_selection_;
  uint64_t catalog_version_ = 0;  // Of the newest configuration handled.
  bool has_catalog_ = false;
  bool stopping_ = false;
  bool has_given_up_ = false;
  Instant stop_started_;
  bool is_ready_ = false;
};

}  // namespace qs
