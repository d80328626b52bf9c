#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "base/rcu_cell.h"
#include "daemon/call_table.h"
#include "daemon/config_agent.h"
#include "daemon/config_api.h"
#include "daemon/guard_view.h"
#include "daemon/id_pool.h"
#include "http/http_server.h"
#include "kernel/kernel.h"
#include "net/peer_network.h"

namespace qs {

class Node;
class OperatorApi;

// The process to which callers and operators send their requests. Holds no
// state that must survive it.
class EntryRole final : public RolePlugin, private PeerHandler {
 public:
  static std::unique_ptr<RolePlugin> Make(Kernel* kernel);
  ~EntryRole() override;

 private:
  explicit EntryRole(Kernel* kernel);

  std::error_code OnStart() override;
  void OnBeginStop() override;
  bool OnIsIdle() const override;
  void OnFinish() override;

  void OnLinkUp(Address address, const Hello& hello) override;
  void OnLinkDown(Address address, Incarnation incarnation) override;
  void OnPeerGone(Address address, Incarnation incarnation) override;
  void OnLinkMessage(Address address, Incarnation incarnation,
                     Message message) override;
  void OnSessionUp(uint64_t session, const Hello& hello) override;
  void OnSessionMessage(uint64_t session, const Hello& hello,
                        Message message) override;
  void OnSessionDown(uint64_t session, const Hello& hello) override;

  void OnMembers();
  void OnConfig();
  void StartConfigAgent();
  std::error_code StartHttp();

  // Handlers of the callers' HTTP interface. Called on HTTP threads.
  HttpResponse OnMint(const HttpRequest& request);
  HttpResponse OnPut(const HttpRequest& request);
  HttpResponse OnGet(const HttpRequest& request);
  HttpResponse OnDelete(const HttpRequest& request);
  HttpResponse OnRun(const HttpRequest& request);
  Reason NewWorkRefusal() const;
  HttpResponse Refuse(Reason reason, const Findings& findings = {});
  HttpResponse Submit(const SubmissionId& id, JobSpec job, Millis wait);
  // Sends a request about a submission to its home.
  HttpResponse CallHome(const SubmissionId& id, uint64_t request,
                        Message message, Millis wait);

  Kernel* kernel_;
  RcuCell<GuardView> view_;
  RcuCell<ConfigView> config_;
  CallTable calls_;
  IdPool ids_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<OperatorApi> operators_;
  std::unique_ptr<ConfigApi> config_api_;
  std::unique_ptr<ConfigAgent> config_agent_;
  std::unique_ptr<HttpServer> http_;
  std::atomic<bool> is_ready_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> in_progress_{0};
};

}  // namespace qs
