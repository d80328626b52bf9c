#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "base/rcu_cell.h"
#include "held/intake_gate.h"
#include "http/http_server.h"
#include "http/peer_watch.h"
#include "kernel/kernel.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

class JobDesk;

// The callers' side of an entry: HTTP threads decode requests, hand jobs to the
// desk on the core thread, and wait for their answers.
class JobFront {
 public:
  // Both must outlive the front. `on_job` is called on the core thread after
  // the desk was handed a job, so that its orders and answers go out at once.
  JobFront(Kernel* kernel, JobDesk* desk, std::function<void()> on_job);

  // On the core thread.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  void Answer(uint64_t caller, const HeldAnswer& answer);
  // Tells the desk of callers that have left.
  void CheckCallers(Instant now);
  // Answers end their connections from now on, so that callers go elsewhere.
  void BeginStop() { is_stopping_ = true; }

  // Takes no request from now on, unless one is in progress. Returns whether
  // the front is closed.
  bool CloseIfIdle();

  std::error_code Start();
  // Null before Start.
  HttpServer* server() { return http_.get(); }

 private:
  using CatalogPointer = std::shared_ptr<const Catalog>;

  HttpResponse OnRequest(const HttpRequest& request);
  HttpResponse Serve(const HttpRequest& request);
  HttpResponse OnHandIn(const Catalog& catalog, const QueueDeclaration& queue,
                        const std::string& id, const HttpRequest& request);
  HttpResponse OnPending(const std::string& queue);
  HttpResponse Refuse(Reason reason, const std::string& place,
                      const std::string& detail);

  Kernel* kernel_;
  JobDesk* desk_;
  std::function<void()> on_job_;
  RcuCell<CatalogPointer> catalog_;
  PeerWatch watch_;
  IntakeGate gate_{IntakeGateOptions()};
  std::atomic<uint64_t> next_caller_{1};
  std::atomic<int> in_progress_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_closed_{false};  // The core thread answers no more.
  std::mutex mutex_;
  std::unordered_map<uint64_t, std::shared_ptr<std::promise<HeldAnswer>>>
      waiting_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace qs
