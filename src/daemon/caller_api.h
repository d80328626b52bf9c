#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "held/intake_gate.h"
#include "http/event_http_server.h"
#include "kernel/kernel.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

class HttpCall;
class JobDesk;

// The callers' side of an entry: decodes requests, hands jobs to the desk, and
// holds the requests until the desk has their answers. Lives on the core
// thread.
class JobFront {
 public:
  // Both must outlive the front. `on_job` is called after the desk was handed a
  // job, so that its orders and answers go out at once.
  JobFront(Kernel* kernel, JobDesk* desk, std::function<void()> on_job);

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  void Answer(uint64_t caller, const HeldAnswer& answer);
  // Answers end their connections from now on, so that callers go elsewhere.
  void BeginStop() { is_stopping_ = true; }
  // Whether no request is held and every answer has left.
  bool IsIdle() const { return http_ == nullptr || http_->IsIdle(); }

  std::error_code Start();
  // Closes all connections.
  void Close();

 private:
  using Call = std::shared_ptr<HttpCall>;

  void OnCall(const Call& call);
  void OnHandIn(const QueueDeclaration& queue, const std::string& id,
                const Call& call);
  void HandIn(const Call& call, HeldJob job, Instant received);
  void OnCallerLeft(uint64_t caller);
  void Respond(const Call& call, HttpResponse response) const;
  void Refuse(const Call& call, Reason reason, const std::string& place,
              const std::string& detail);

  Kernel* kernel_;
  JobDesk* desk_;
  std::function<void()> on_job_;
  std::shared_ptr<const Catalog> catalog_;  // Null until one is known.
  IntakeGate gate_{IntakeGateOptions()};
  bool is_stopping_ = false;
  uint64_t next_caller_ = 1;
  std::unordered_map<uint64_t, Call> waiting_;
  std::unique_ptr<EventHttpServer> http_;
};

}  // namespace qs
