#include "daemon/entry_role.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/listener_options.h"
#include "daemon/node.h"
#include "daemon/operator_api.h"
#include "daemon/process_routes.h"
#include "http/job_json.h"
#include "store/etcd_store.h"

namespace qs {
namespace {

constexpr Millis kCallTick{50};
// One of this many HTTP threads is reserved for requests about existing
// submissions.
constexpr int kThreadsPerReserved = 4;
constexpr Millis kMaxWait{60'000};
// Added to the caller's wait, for the round trip to the home.
constexpr Millis kReplyMargin{10'000};

const bool kRegistered =
    RoleRegistry::Instance().Register("entry", &EntryRole::Make);

// Parses the query parameter `wait` in milliseconds; 0 if it is absent. Fails
// with a finding if it is not a whole number up to kMaxWait.
Checked<Millis> ParseWait(const HttpRequest& request) {
  const auto found = request.query.find("wait");
  if (found == request.query.end()) return Millis(0);
  const std::string& text = found->second;
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
      Millis(value) > kMaxWait) {
    return tl::unexpected(
        Findings("?wait", "must be a whole number of milliseconds up to " +
                              std::to_string(kMaxWait.count())));
  }
  return Millis(value);
}

}  // namespace

std::unique_ptr<RolePlugin> EntryRole::Make(Kernel* kernel) {
  (void)kRegistered;
  return std::unique_ptr<RolePlugin>(new EntryRole(kernel));
}

EntryRole::EntryRole(Kernel* kernel)
    : kernel_(kernel),
      view_(std::make_unique<GuardView>()),
      config_(std::make_unique<ConfigView>()),
      calls_(&kernel->io, kernel->settings.home_lost_after),
      ids_(&calls_, &view_, kernel->settings.id_block) {}

EntryRole::~EntryRole() { OnFinish(); }

std::error_code EntryRole::OnStart() {
  auto node = Node::Make(
      kernel_, Role::kEntry, LinkPolicy::kAllGuards, this,
      [this] { OnMembers(); }, [this] { OnConfig(); });
  if (!node) return node.error();
  node_ = std::move(*node);
  calls_.SetNetwork(&node_->network());
  kernel_->timers.Subscribe(kCallTick,
                            [this](Instant now) { calls_.OnTimer(now); });
  operators_ = std::make_unique<OperatorApi>(kernel_, &calls_, &view_);
  config_api_ = std::make_unique<ConfigApi>(kernel_, &config_);
  StartConfigAgent();
  return StartHttp();
}

void EntryRole::OnBeginStop() {
  stopping_ = true;
  is_ready_ = false;
}

bool EntryRole::OnIsIdle() const {
  return in_progress_ == 0 && calls_.pending() == 0;
}

void EntryRole::OnFinish() {
  config_agent_.reset();
  // Requests still come over open connections, and while the server stops on
  // this thread no reply of a guard is read.
  calls_.Close();
  if (http_) http_->Stop();
  if (node_) node_->Close();
}

void EntryRole::OnLinkUp(Address address, const Hello& hello) {
  calls_.OnLinkUp(address, hello.incarnation);
}

void EntryRole::OnLinkDown(Address /*address*/, Incarnation /*incarnation*/) {}

void EntryRole::OnPeerGone(Address address, Incarnation incarnation) {
  calls_.OnPeerGone(address, incarnation);
}

void EntryRole::OnLinkMessage(Address /*address*/, Incarnation /*incarnation*/,
                              Message message) {
  uint64_t request = 0;
  if (const auto* job = std::get_if<JobReply>(&message)) {
    request = job->request;
  } else if (const auto* mint = std::get_if<MintReply>(&message)) {
    request = mint->request;
  } else if (const auto* admin = std::get_if<AdminReply>(&message)) {
    request = admin->request;
  }
  calls_.OnReply(request, std::move(message));
}

void EntryRole::OnSessionUp(uint64_t /*session*/, const Hello& /*hello*/) {}
void EntryRole::OnSessionMessage(uint64_t /*session*/, const Hello& /*hello*/,
                                 Message /*message*/) {}
void EntryRole::OnSessionDown(uint64_t /*session*/, const Hello& /*hello*/) {}

void EntryRole::OnMembers() {
  if (node_ == nullptr) return;
  auto view = std::make_unique<GuardView>(
      GuardView::Make(node_->membership(), node_->are_members_known()));
  is_ready_ = !stopping_ && view->are_members_known &&
              !(view->local.empty() && view->remote.empty());
  view_.Replace(std::move(view));
}

void EntryRole::OnConfig() {
  auto view = std::make_unique<ConfigView>();
  view->version = node_->configuration().version();
  view->document = node_->configuration().document();
  config_.Replace(std::move(view));
}

void EntryRole::StartConfigAgent() {
  const Settings& settings = kernel_->settings;
  if (settings.platform_endpoint.empty()) return;
  config_agent_ = ConfigAgent::Make(
      ConfigSource::Declarations(),
      EtcdStore::Make(settings.platform_endpoint, settings.platform_timeout),
      [this](StoredConfig config) {
        asio::post(kernel_->io, [this, c = std::move(config)] {
          node_->OfferConfig(c.version, c.document);
        });
      });
}

std::error_code EntryRole::StartHttp() {
  using Method = HttpResponse (EntryRole::*)(const HttpRequest&);
  struct Row {
    const char* method;
    const char* prefix;
    Method handler;
  };
  static constexpr std::array kRows = {
      Row{"POST", "/v1/submissions", &EntryRole::OnMint},
      Row{"PUT", "/v1/submissions/", &EntryRole::OnPut},
      Row{"GET", "/v1/submissions/", &EntryRole::OnGet},
      Row{"DELETE", "/v1/submissions/", &EntryRole::OnDelete},
      Row{"POST", "/v1/run", &EntryRole::OnRun},
  };
  std::vector<HttpServer::Route> routes =
      ProcessRoutes(&kernel_->metrics, [this] { return is_ready_.load(); });
  for (const Row& row : kRows) {
    routes.push_back({row.method, row.prefix,
                      [this, handler = row.handler](const HttpRequest& r) {
                        ++in_progress_;
                        HttpResponse response = (this->*handler)(r);
                        --in_progress_;
                        return response;
                      }});
  }
  operators_->AddRoutes(&routes);
  config_api_->AddRoutes(&routes);
  HttpServerOptions options = ProcessHttpOptions();
  options.address = kernel_->settings.http;
  options.threads = kernel_->settings.entry_threads;
  options.max_body_bytes = kernel_->settings.max_body_bytes;
  LimitBodies(*kernel_, &options);
  auto http = HttpServer::Make(std::move(options), std::move(routes));
  if (!http) return http.error();
  http_ = std::move(*http);
  return {};
}

HttpResponse EntryRole::Refuse(Reason reason, const Findings& findings) {
  kernel_->metrics.Refused(reason);
  constexpr Millis kRetryAfter{1000};
  const bool is_temporary = DispositionOf(reason) == Disposition::kTryLater;
  return ProblemResponse(reason, findings,
                         is_temporary ? kRetryAfter : Millis(0));
}

// The reason to refuse a request that starts new work, or kNone. Such requests
// may not use the reserved threads.
Reason EntryRole::NewWorkRefusal() const {
  if (stopping_) return Reason::kStopping;
  const auto threads = static_cast<int>(kernel_->settings.entry_threads);
  const int limit = threads - std::max(1, threads / kThreadsPerReserved);
  return in_progress_ > limit ? Reason::kEntryOverloaded : Reason::kNone;
}

HttpResponse EntryRole::OnMint(const HttpRequest& /*request*/) {
  const Reason refusal = NewWorkRefusal();
  if (refusal != Reason::kNone) return Refuse(refusal);
  const Result<MintedId> minted = ids_.Take();
  if (!minted) return Refuse(static_cast<Reason>(minted.error().value()));
  HttpResponse response;
  response.status = 201;
  const std::string id = minted->id.ToString();
  response.headers.emplace_back("Location", "/v1/submissions/" + id);
  response.body =
      nlohmann::json{{"id", id}, {"lifetime_ms", minted->lifetime.count()}}
          .dump();
  return response;
}

HttpResponse EntryRole::OnPut(const HttpRequest& request) {
  const Result<SubmissionId> id = SubmissionId::Parse(request.suffix);
  if (!id) return Refuse(Reason::kIdMalformed);
  const Checked<Millis> wait = ParseWait(request);
  Checked<JobSpec> job = ParseJob(request.body);
  if (!wait || !job) {
    Findings findings = job ? Findings() : job.error();
    if (!wait) findings.Add(wait.error());
    return Refuse(Reason::kMalformedRequest, findings);
  }
  return Submit(*id, std::move(*job), *wait);
}

HttpResponse EntryRole::Submit(const SubmissionId& id, JobSpec job,
                               Millis wait) {
  SubmitRequest submit;
  submit.request = calls_.NextRequest();
  submit.sequence = id.sequence;
  submit.wait = wait;
  submit.job = std::move(job);
  const uint64_t request = submit.request;
  return CallHome(id, request, std::move(submit), wait);
}

HttpResponse EntryRole::OnGet(const HttpRequest& request) {
  const Result<SubmissionId> id = SubmissionId::Parse(request.suffix);
  if (!id) return Refuse(Reason::kIdMalformed);
  const Checked<Millis> wait = ParseWait(request);
  if (!wait) return Refuse(Reason::kMalformedRequest, wait.error());
  const uint64_t number = calls_.NextRequest();
  return CallHome(*id, number, QueryRequest{number, id->sequence, *wait},
                  *wait);
}

HttpResponse EntryRole::OnDelete(const HttpRequest& request) {
  const Result<SubmissionId> id = SubmissionId::Parse(request.suffix);
  if (!id) return Refuse(Reason::kIdMalformed);
  const Checked<Millis> wait = ParseWait(request);
  if (!wait) return Refuse(Reason::kMalformedRequest, wait.error());
  const uint64_t number = calls_.NextRequest();
  return CallHome(*id, number, CancelRequest{number, id->sequence, *wait},
                  *wait);
}

HttpResponse EntryRole::OnRun(const HttpRequest& request) {
  const Reason refusal = NewWorkRefusal();
  if (refusal != Reason::kNone) return Refuse(refusal);
  Checked<JobSpec> job = ParseJob(request.body);
  if (!job) return Refuse(Reason::kMalformedRequest, job.error());
  if (!job->repeatable) return Refuse(Reason::kOneShotNotRepeatable);
  const Result<MintedId> minted = ids_.Take();
  if (!minted) return Refuse(static_cast<Reason>(minted.error().value()));
  const Millis wait = job->deadline + kReplyMargin;
  return Submit(minted->id, std::move(*job), wait);
}

HttpResponse EntryRole::CallHome(const SubmissionId& id, uint64_t request,
                                 Message message, Millis wait) {
  const auto [is_known, are_members_known] =
      view_.Read([&](const GuardView& view) {
        return std::pair(view.HasMember(id.home), view.are_members_known);
      });
  if (!is_known) {
    return Refuse(are_members_known ? Reason::kHomeLost
                                    : Reason::kHomeUnreachable);
  }
  const CallResult result =
      calls_.Call(id.home, id.incarnation, request, std::move(message),
                  wait + kReplyMargin);
  if (result.fault != Reason::kNone) return Refuse(result.fault);
  const auto* reply = std::get_if<JobReply>(&result.reply);
  if (reply == nullptr) return Refuse(Reason::kHomeUnreachable);
  return AnswerResponse(id.ToString(), reply->answer);
}

}  // namespace qs
