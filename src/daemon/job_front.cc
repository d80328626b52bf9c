#include "daemon/job_front.h"

#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "daemon/process_routes.h"
#include "held/job_desk.h"

namespace qs {
namespace {

// Nobody reads what a caller that left is answered.
constexpr HeldAnswer kCallerGone{HeldState::kFailed, Reason::kCallerLeft,
                                 Millis(0)};

std::string HostOf(const HttpRequest& request) {
  const std::string host = request.header("host");
  return host.substr(0, host.find(':'));
}

}  // namespace

JobFront::JobFront(Kernel* kernel, JobDesk* desk, std::function<void()> on_job)
    : kernel_(kernel),
      desk_(desk),
      on_job_(std::move(on_job)),
      catalog_(std::make_unique<CatalogPointer>()) {}

void JobFront::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_.Replace(std::make_unique<CatalogPointer>(std::move(catalog)));
}

std::error_code JobFront::Start() {
  std::vector<HttpServer::Route> routes;
  for (const char* method : {"POST", "GET", "DELETE", "PUT"}) {
    routes.push_back({method, "/", [this](const HttpRequest& request) {
                        return OnRequest(request);
                      }});
  }
  HttpServerOptions options = ProcessHttpOptions();
  options.address = kernel_->settings.callers;
  options.threads = kernel_->settings.caller_threads;
  options.finds_sockets = true;
  auto http = HttpServer::Make(std::move(options), std::move(routes));
  if (!http) return http.error();
  http_ = std::move(*http);
  return {};
}

// A handler counts itself before it looks at is_closed_, so that either it sees
// the front closed or it is seen here.
bool JobFront::CloseIfIdle() {
  is_closed_ = true;
  if (in_progress_ == 0) return true;
  is_closed_ = false;
  return false;
}

HttpResponse JobFront::OnRequest(const HttpRequest& request) {
  ++in_progress_;
  HttpResponse response =
      is_closed_ ? Refuse(Reason::kStopping, request.path, "") : Serve(request);
  response.close = is_stopping_;
  --in_progress_;
  return response;
}

HttpResponse JobFront::Serve(const HttpRequest& request) {
  const CatalogPointer catalog =
      catalog_.Read([](const CatalogPointer& c) { return c; });
  if (catalog == nullptr) return Refuse(Reason::kNoConfiguration, "", "");
  const std::string host = HostOf(request);
  const QueueDeclaration* queue = catalog->Route(host, request.path);
  if (queue == nullptr) {
    return Refuse(Reason::kNoSuchQueue, host + request.path,
                  "version " + std::to_string(catalog->version));
  }
  const std::string id = request.path.substr(queue->path_prefix.size());
  const CallerProtocol& protocol = kernel_->deployment->callers();
  if (request.method == "POST") return OnHandIn(*catalog, *queue, id, request);
  if (request.method == "GET" && id.empty()) return OnPending(queue->name);
  return protocol.EncodeNoSuchJob();
}

HttpResponse JobFront::OnHandIn(const Catalog& catalog,
                                const QueueDeclaration& queue,
                                const std::string& id,
                                const HttpRequest& request) {
  const Instant received = Clock::now();
  if (!gate_.TryEnter()) {
    return Refuse(Reason::kEntryOverloaded, id,
                  "last wait " + std::to_string(gate_.last_wait().count()) +
                      " ms, waiting " + std::to_string(gate_.waiting()));
  }
  // Where the request does not get as far as the desk.
  const auto refuse = [&](Reason reason, const std::string& detail) {
    gate_.OnLeft();
    return Refuse(reason, id, detail);
  };
  if (request.body.size() > catalog.max_body_bytes) {
    return refuse(Reason::kBodyTooLarge, std::to_string(request.body.size()));
  }
  const CallerProtocol& protocol = kernel_->deployment->callers();
  Checked<HeldJob> job =
      protocol.DecodeJob(id, request, queue.default_patience);
  if (!job) {
    return refuse(Reason::kMalformedRequest, job.error().ToText());
  }
  if (job->is_unsupported) return refuse(Reason::kNotSupported, queue.name);
  job->queue = queue.name;
  const uint64_t caller = next_caller_++;
  auto promise = std::make_shared<std::promise<HeldAnswer>>();
  std::future<HeldAnswer> answer = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    waiting_[caller] = promise;
  }
  watch_.Add(caller, request.socket);
  asio::post(kernel_->io,
             [this, caller, received, j = std::move(*job)]() mutable {
               const Instant now = Clock::now();
               gate_.OnTaken(received, now);
               desk_->OnJob(caller, std::move(j), received, now);
               on_job_();
             });
  const HeldAnswer result = answer.get();
  watch_.Remove(caller);
  return protocol.EncodeAnswer(result);
}

HttpResponse JobFront::OnPending(const std::string& queue) {
  auto count = std::make_shared<std::promise<size_t>>();
  std::future<size_t> result = count->get_future();
  asio::post(kernel_->io, [this, count, queue] {
    count->set_value(desk_->PendingIn(queue));
  });
  return kernel_->deployment->callers().EncodePending(result.get());
}

HttpResponse JobFront::Refuse(Reason reason, const std::string& place,
                              const std::string& detail) {
  kernel_->metrics.Refused(reason);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", place},
       {"reason", std::string(ReasonName(reason))},
       {"detail", detail}});
  constexpr Millis kRetryAfter{1000};
  const bool later = DispositionOf(reason) == Disposition::kTryLater;
  return kernel_->deployment->callers().EncodeAnswer(
      {HeldState::kRefused, reason, later ? kRetryAfter : Millis(0)});
}

void JobFront::Answer(uint64_t caller, const HeldAnswer& answer) {
  std::shared_ptr<std::promise<HeldAnswer>> promise;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(caller);
    if (found == waiting_.end()) return;
    promise = std::move(found->second);
    waiting_.erase(found);
  }
  promise->set_value(answer);
}

void JobFront::CheckCallers(Instant now) {
  for (const uint64_t caller : watch_.TakeLeft()) {
    desk_->OnCallerLeft(caller, now);
    Answer(caller, kCallerGone);
  }
}

}  // namespace qs
