#include "daemon/caller_api.h"

#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "daemon/listener_options.h"
#include "held/job_scheduler.h"
#include "http/http_call.h"

namespace qs {
namespace {

// Sent with temporary refusals, as the time after which the caller may retry.
constexpr Millis kRetryAfter{1000};

std::string HostOf(const HttpRequest& request) {
  const std::string host = request.header("host");
  return host.substr(0, host.find(':'));
}

}  // namespace

CallerApi::CallerApi(Kernel* kernel, JobScheduler* scheduler,
                     std::function<void()> on_change)
    : kernel_(kernel),
      scheduler_(scheduler),
      on_change_(std::move(on_change)),
      job_budget_(
          {kernel->settings.max_tasks_of_job, kernel->memory.work_bytes}) {}

void CallerApi::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
  if (http_ != nullptr) http_->SetMaxBodyBytes(catalog_->max_body_bytes);
}

std::error_code CallerApi::Start() {
  HttpServerOptions options = ListenerOptions(kernel_);
  options.address = kernel_->settings.callers;
  options.max_body_bytes = (catalog_ ? *catalog_ : Catalog()).max_body_bytes;
  // The job did not run, as its request was never complete.
  options.refused = [this](HttpRefusal refusal) {
    HeldAnswer answer{HeldState::kRefused, Reason::kMalformedRequest};
    if (refusal == HttpRefusal::kBodyTooLarge) {
      answer.reason = Reason::kBodyTooLarge;
    } else if (refusal == HttpRefusal::kMemory) {
      answer.reason = Reason::kEntryOverloaded;
      answer.retry_after = kRetryAfter;
    }
    kernel_->metrics.Refused(answer.reason);
    return kernel_->deployment->callers().EncodeAnswer(answer);
  };
  auto http = EventHttpServer::Make(&kernel_->io, std::move(options),
                                    [this](const Call& call) { OnCall(call); });
  if (!http) return http.error();
  http_ = std::move(*http);
  return {};
}

void CallerApi::Close() {
  if (http_ != nullptr) http_->Close();
}

void CallerApi::CheckCallers() {
  if (http_ != nullptr) http_->CloseAbandoned();
}

void CallerApi::OnCall(const Call& call) {
  const HttpRequest& request = call->request();
  if (request.method == "DELETE") {
    const std::string job =
        kernel_->deployment->callers().CancelledJob(request.path);
    if (!job.empty()) return on_cancel_(call, job);
  }
  if (catalog_ == nullptr) {
    return Refuse(call, Reason::kNoConfiguration, request.path, "");
  }
  const std::string host = HostOf(request);
  const QueueDeclaration* queue = catalog_->Route(host, request.path);
  if (queue == nullptr) {
    return Refuse(call, Reason::kNoSuchQueue, host + request.path,
                  "version " + std::to_string(catalog_->version));
  }
  const std::string id = request.path.substr(queue->path_prefix.size());
  if (request.method == "POST") return OnSubmit(*queue, id, call);
  const CallerProtocol& protocol = kernel_->deployment->callers();
  const bool requests_count = request.method == "GET" && id.empty();
  Respond(call, requests_count ? protocol.EncodePending(
                                     scheduler_->CountPendingJobs(queue->name))
                               : protocol.EncodeNoSuchJob());
}

void CallerApi::OnSubmit(const QueueDeclaration& queue, const std::string& id,
                         const Call& call) {
  const Instant received = Clock::now();
  // A caller that sends a held job again joins it. A refusal would say that
  // nothing of it runs.
  if (scheduler_->Holds(id)) {
    call->ReleaseRequest();
    HeldJob held;
    held.id = id;
    held.queue = queue.name;
    return PassOn(call, std::move(held), nullptr, received);
  }
  if (!load_shedder_.TryAccept()) {
    return Refuse(
        call, Reason::kEntryOverloaded, id,
        "last wait " + std::to_string(load_shedder_.last_wait().count()) +
            " ms, waiting " + std::to_string(load_shedder_.waiting()));
  }
  // Refuses a request that the load shedder accepted and that is not passed to
  // the scheduler.
  const auto refuse = [&](Reason reason, const std::string& detail) {
    load_shedder_.OnAbandoned();
    Refuse(call, reason, id, detail);
  };
  const HttpRequest& request = call->request();
  if (request.body.size() > catalog_->max_body_bytes) {
    return refuse(Reason::kBodyTooLarge, std::to_string(request.body.size()));
  }
  Checked<HeldJob> job = kernel_->deployment->callers().DecodeJob(
      id, request, queue.default_caller_timeout);
  if (!job) {
    return refuse(Reason::kMalformedRequest, job.error().ToText());
  }
  if (job->is_unsupported) return refuse(Reason::kNotSupported, queue.name);
  job->queue = queue.name;
  JobBudget::Admission admission = job_budget_.Admit(*job);
  if (admission.refusal != Reason::kNone) {
    return refuse(admission.refusal,
                  "jobs hold " + std::to_string(job_budget_.bytes()) +
                      " bytes, this one " + std::to_string(BytesOfJob(*job)));
  }
  call->ReleaseRequest();
  // Posts the job, so that the load shedder first counts the requests that are
  // already readable.
  asio::post(kernel_->io, [this, call, received, j = std::move(*job),
                           memory = std::move(admission.share)]() mutable {
    SubmitJob(call, std::move(j), std::move(memory), received);
  });
}

void CallerApi::SubmitJob(const Call& call, HeldJob job,
                          MemoryBudget::Share memory, Instant received) {
  load_shedder_.OnDequeued(received, Clock::now());
  PassOn(call, std::move(job), std::move(memory), received);
}

void CallerApi::PassOn(const Call& call, HeldJob job,
                       MemoryBudget::Share memory, Instant received) {
  const Instant now = Clock::now();
  // NotifyLeft tells of no client that has left before.
  if (call->HasClientLeft()) {
    Log(LogLevel::kInfo, "caller_left", {{"job", job.id}, {"open_runs", "0"}});
    return;
  }
  const uint64_t caller = next_caller_++;
  open_calls_[caller] = call;
  call->NotifyLeft([this, caller] { OnCallerLeft(caller); });
  scheduler_->OnJob(caller, std::move(job), received, now, std::move(memory));
  on_change_();
}

void CallerApi::OnCallerLeft(uint64_t caller) {
  if (open_calls_.erase(caller) == 0) return;
  scheduler_->OnCallerLeft(caller, Clock::now());
  on_change_();
}

void CallerApi::Answer(uint64_t caller, const HeldAnswer& answer) {
  const auto found = open_calls_.find(caller);
  if (found == open_calls_.end()) return;
  const Call call = std::move(found->second);
  open_calls_.erase(found);
  Respond(call, kernel_->deployment->callers().EncodeAnswer(answer));
}

void CallerApi::Respond(const Call& call, HttpResponse response) const {
  response.close = response.close || is_stopping_;
  call->Respond(response);
}

void CallerApi::Refuse(const Call& call, Reason reason,
                       const std::string& subject, const std::string& detail) {
  kernel_->metrics.Refused(reason);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", subject},
       {"reason", std::string(ReasonName(reason))},
       {"detail", detail}});
  const bool is_temporary = DispositionOf(reason) == Disposition::kTryLater;
  Respond(call, kernel_->deployment->callers().EncodeAnswer(
                    {HeldState::kRefused, reason,
                     is_temporary ? kRetryAfter : Millis(0)}));
}

}  // namespace qs
