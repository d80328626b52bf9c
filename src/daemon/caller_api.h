#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "held/job_budget.h"
#include "held/load_shedder.h"
#include "http/event_http_server.h"
#include "kernel/kernel.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

class HttpCall;
class JobScheduler;

// The HTTP interface of an entry for its callers. Decodes requests, passes jobs
// to the scheduler, and keeps each request open until the scheduler answers it.
// Used on the core thread only.
class CallerApi {
 public:
  // Both must outlive the object. `on_change` is called after a job was passed
  // to the scheduler or a caller disconnected, so that the resulting orders and
  // answers are sent at once.
  CallerApi(Kernel* kernel, JobScheduler* scheduler,
            std::function<void()> on_change);

  // Requests that cancel a job are passed on to `on_cancel`, with the job's id.
  void SetCancelHandler(
      std::function<void(const std::shared_ptr<HttpCall>&, const std::string&)>
          on_cancel) {
    on_cancel_ = std::move(on_cancel);
  }
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  void Answer(uint64_t caller, const HeldAnswer& answer);
  // Tells the scheduler of all callers that have left by now, also of those
  // whose leaving is not yet handled as an event.
  void CheckCallers();
  // From now on every response closes its connection, so that callers connect
  // to another entry.
  void BeginStop() { is_stopping_ = true; }
  // Whether no request is open and every response has been sent.
  bool IsIdle() const { return http_ == nullptr || http_->IsIdle(); }

  std::error_code Start();
  // Closes all connections.
  void Close();
  void Respond(const std::shared_ptr<HttpCall>& call,
               HttpResponse response) const;

 private:
  using Call = std::shared_ptr<HttpCall>;

  void OnCall(const Call& call);
  void OnSubmit(const QueueDeclaration& queue, const std::string& id,
                const Call& call);
  // `memory` is that of the job.
  void SubmitJob(const Call& call, HeldJob job, MemoryBudget::Share memory,
                 Instant received);
  // Passes the job to the scheduler, unless its caller has left.
  void PassOn(const Call& call, HeldJob job, MemoryBudget::Share memory,
              Instant received);
  void OnCallerLeft(uint64_t caller);
  void Refuse(const Call& call, Reason reason, const std::string& subject,
              const std::string& detail);

  Kernel* kernel_;
  JobScheduler* scheduler_;
  std::function<void()> on_change_;
  std::function<void(const Call&, const std::string&)> on_cancel_;
  std::shared_ptr<const Catalog> catalog_;  // Null until the first one arrives.
  JobBudget job_budget_;
  LoadShedder load_shedder_{LoadShedderOptions()};
  bool is_stopping_ = false;
  uint64_t next_caller_ = 1;
  std::unordered_map<uint64_t, Call> open_calls_;
  std::unique_ptr<EventHttpServer> http_;
};

}  // namespace qs
