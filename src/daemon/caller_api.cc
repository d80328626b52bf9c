#include "daemon/caller_api.h"

#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "daemon/process_routes.h"
#include "held/job_desk.h"
#include "http/http_call.h"

namespace qs {
namespace {

// For a refusal that says to come again.
constexpr Millis kRetryAfter{1000};

std::string HostOf(const HttpRequest& request) {
  const std::string host = request.header("host");
  return host.substr(0, host.find(':'));
}

}  // namespace

JobFront::JobFront(Kernel* kernel, JobDesk* desk, std::function<void()> on_job)
    : kernel_(kernel), desk_(desk), on_job_(std::move(on_job)) {}

void JobFront::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
}

std::error_code JobFront::Start() {
  HttpServerOptions options = ProcessHttpOptions();
  options.address = kernel_->settings.callers;
  auto http = EventHttpServer::Make(&kernel_->io, std::move(options),
                                    [this](const Call& call) { OnCall(call); });
  if (!http) return http.error();
  http_ = std::move(*http);
  return {};
}

void JobFront::Close() {
  if (http_ != nullptr) http_->Close();
}

void JobFront::OnCall(const Call& call) {
  const HttpRequest& request = call->request();
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
  if (request.method == "POST") return OnHandIn(*queue, id, call);
  const CallerProtocol& protocol = kernel_->deployment->callers();
  const bool asks_for_count = request.method == "GET" && id.empty();
  Respond(call, asks_for_count
                    ? protocol.EncodePending(desk_->PendingIn(queue->name))
                    : protocol.EncodeNoSuchJob());
}

void JobFront::OnHandIn(const QueueDeclaration& queue, const std::string& id,
                        const Call& call) {
  const Instant received = Clock::now();
  if (!gate_.TryEnter()) {
    return Refuse(call, Reason::kEntryOverloaded, id,
                  "last wait " + std::to_string(gate_.last_wait().count()) +
                      " ms, waiting " + std::to_string(gate_.waiting()));
  }
  // Where the request does not get as far as the desk.
  const auto refuse = [&](Reason reason, const std::string& detail) {
    gate_.OnLeft();
    Refuse(call, reason, id, detail);
  };
  const HttpRequest& request = call->request();
  if (request.body.size() > catalog_->max_body_bytes) {
    return refuse(Reason::kBodyTooLarge, std::to_string(request.body.size()));
  }
  Checked<HeldJob> job = kernel_->deployment->callers().DecodeJob(
      id, request, queue.default_patience);
  if (!job) {
    return refuse(Reason::kMalformedRequest, job.error().ToText());
  }
  if (job->is_unsupported) return refuse(Reason::kNotSupported, queue.name);
  job->queue = queue.name;
  // Behind the requests that can be read by now, so that the gate sees them.
  asio::post(kernel_->io,
             [this, call, received, j = std::move(*job)]() mutable {
               HandIn(call, std::move(j), received);
             });
}

void JobFront::HandIn(const Call& call, HeldJob job, Instant received) {
  const Instant now = Clock::now();
  gate_.OnTaken(received, now);
  const uint64_t caller = next_caller_++;
  waiting_[caller] = call;
  call->NotifyLeft([this, caller] { OnCallerLeft(caller); });
  desk_->OnJob(caller, std::move(job), received, now);
  on_job_();
}

void JobFront::OnCallerLeft(uint64_t caller) {
  if (waiting_.erase(caller) == 0) return;
  desk_->OnCallerLeft(caller, Clock::now());
  on_job_();
}

void JobFront::Answer(uint64_t caller, const HeldAnswer& answer) {
  const auto found = waiting_.find(caller);
  if (found == waiting_.end()) return;
  const Call call = std::move(found->second);
  waiting_.erase(found);
  Respond(call, kernel_->deployment->callers().EncodeAnswer(answer));
}

void JobFront::Respond(const Call& call, HttpResponse response) const {
  response.close = response.close || is_stopping_;
  call->Respond(response);
}

void JobFront::Refuse(const Call& call, Reason reason, const std::string& place,
                      const std::string& detail) {
  kernel_->metrics.Refused(reason);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", place},
       {"reason", std::string(ReasonName(reason))},
       {"detail", detail}});
  const bool later = DispositionOf(reason) == Disposition::kTryLater;
  Respond(call,
          kernel_->deployment->callers().EncodeAnswer(
              {HeldState::kRefused, reason, later ? kRetryAfter : Millis(0)}));
}

}  // namespace qs
