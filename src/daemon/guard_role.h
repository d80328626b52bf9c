#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/executor.h"
#include "core/home.h"
#include "daemon/backend_pool.h"
#include "http/http_server.h"
#include "kernel/kernel.h"
#include "net/peer_network.h"

namespace qs {

class Node;

// The process beside a backend server: home of submissions, and executor of
// tasks on its own backend server.
class GuardRole final : public RolePlugin, private PeerHandler {
 public:
  static std::unique_ptr<RolePlugin> Make(Kernel* kernel);
  ~GuardRole() override;

 private:
  explicit GuardRole(Kernel* kernel);

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

  // Performs the actions of home and executor until neither has any left.
  void Pump();
  void Perform(SendGrants action);
  void Perform(SendAsk action);
  void Perform(SendAnswer action);
  void Perform(StartTask action);
  void Perform(SendReplies action);
  void OnTaskEnds();
  void OnMembers();
  void OnConfig();
  void UpdateSelf(Instant now);
  void ReportState(Instant now);
  void OnBackendChanged(Instant now);

  std::error_code StartHttp();
  HttpResponse OnAnnounce(const HttpRequest& request);
  HttpResponse OnWithdraw(const HttpRequest& request);
  HttpResponse OnReady(const HttpRequest& request);
  AdminReply OnAdmin(const AdminRequest& request);

  Kernel* kernel_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<Home> home_;
  std::unique_ptr<Executor> executor_;
  std::unique_ptr<BackendPool> pool_;
  std::unique_ptr<HttpServer> http_;
  // The newest session of each home. Replies to the home are sent on it.
  std::unordered_map<Incarnation, uint64_t> home_sessions_;
  std::unordered_map<Incarnation, Address> executor_addresses_;
  ServingState reported_state_ = ServingState::kAbsent;
  std::atomic<bool> is_ready_{false};
  bool stopping_ = false;
  bool drained_by_command_ = false;
  bool drained_by_config_ = false;

  std::mutex ends_mutex_;
  // Finished attempts that the core thread has not processed yet.
  std::vector<TaskEnd> ends_;
};

}  // namespace qs
