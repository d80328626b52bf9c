#pragma once

#include <memory>

#include "daemon/log_decisions.h"
#include "daemon/worker_client.h"
#include "held/run_supervisor.h"
#include "http/event_http_server.h"
#include "kernel/kernel.h"
#include "kernel/suspend_watch.h"
#include "net/peer_network.h"

namespace qs {

class Node;

// The process beside a worker of a deployment. No other process sends commands
// to that worker.
class JobGuardRole final : public RolePlugin, private PeerHandler {
 public:
  static std::unique_ptr<RolePlugin> Make(Kernel* kernel);
  ~JobGuardRole() override;

 private:
  explicit JobGuardRole(Kernel* kernel);

  std::error_code OnStart() override;
  void OnBeginStop() override;
  bool OnIsIdle() const override;
  void OnFinish() override;
  void OnReload(const Settings& settings) override;

  void OnLinkUp(Address /*address*/, const Hello& /*hello*/) override {}
  void OnLinkDown(Address /*address*/, Incarnation /*incarnation*/) override {}
  void OnPeerGone(Address /*address*/, Incarnation /*incarnation*/) override {}
  void OnLinkMessage(Address /*address*/, Incarnation /*incarnation*/,
                     Message /*message*/) override {}
  void OnSessionUp(uint64_t session, const Hello& hello) override;
  void OnSessionMessage(uint64_t session, const Hello& hello,
                        Message message) override;
  void OnSessionDown(uint64_t session, const Hello& hello) override;

  void OnTick(Instant now);
  void OnAnswer(const WorkerAnswer& answer);
  void Pump();
  std::error_code StartHttp();
  HttpResponse OnAnnounce(const HttpRequest& request);
  HttpResponse OnWithdraw(const HttpRequest& request);

  Kernel* kernel_;
  LogDecisions log_;
  SuspendWatch suspend_watch_;
  std::unique_ptr<RunSupervisor> supervisor_;
  std::unique_ptr<WorkerClient> worker_client_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<EventHttpServer> process_http_;
  std::unique_ptr<EventHttpServer> announce_http_;
  bool is_ready_ = false;
};

}  // namespace qs
