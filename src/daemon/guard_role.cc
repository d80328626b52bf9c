#include "daemon/guard_role.h"

#include <asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "daemon/admin_json.h"
#include "daemon/listener_options.h"
#include "daemon/node.h"
#include "daemon/process_routes.h"
#include "http/announcement_json.h"
#include "http/job_json.h"
#include "settings/declarations_text.h"

namespace qs {
namespace {

constexpr Millis kHomeTick{20};
constexpr Millis kExecutorTick{50};
constexpr uint32_t kHttpThreads = 4;

const bool kRegistered =
    RoleRegistry::Instance().Register("guard", &GuardRole::Make);

HomeOptions HomeOptionsFrom(const Kernel& kernel) {
  const Settings& settings = kernel.settings;
  HomeOptions options;
  options.self = kernel.incarnation;
  options.zone = settings.zone;
  options.queue_per_slot = settings.queue_per_slot;
  options.max_waiting_tasks = settings.max_waiting_tasks;
  options.max_jobs = settings.max_jobs;
  if (kernel.memory.is_known) {
    // Running jobs, and the answers of ended ones.
    options.max_job_bytes = kernel.memory.work_bytes;
    options.max_answer_bytes = kernel.memory.work_bytes;
  }
  options.max_deadline = settings.max_deadline;
  options.id_lifetime = settings.id_lifetime;
  options.answer_retention = settings.answer_retention;
  options.needs_configuration = !settings.platform_endpoint.empty();
  options.unreachable_executor_timeout = settings.executor_lost_after;
  return options;
}

ExecutorOptions ExecutorOptionsFrom(const Settings& settings) {
  ExecutorOptions options;
  options.queue_per_slot = settings.queue_per_slot;
  options.announcement_ttl = settings.announcement_ttl;
  options.unreachable_home_timeout = settings.executor_lost_after;
  options.breaker.failures_to_open = settings.breaker_failures;
  options.breaker.first_pause = settings.breaker_pause;
  return options;
}

HttpResponse Accepted() {
  HttpResponse response;
  response.body = R"({"accepted":true})";
  return response;
}

}  // namespace

std::unique_ptr<RolePlugin> GuardRole::Make(Kernel* kernel) {
  (void)kRegistered;
  return std::unique_ptr<RolePlugin>(new GuardRole(kernel));
}

GuardRole::GuardRole(Kernel* kernel) : kernel_(kernel) {}

GuardRole::~GuardRole() { OnFinish(); }

std::error_code GuardRole::OnStart() {
  const Settings& settings = kernel_->settings;
  const auto seed = static_cast<uint32_t>(kernel_->incarnation.value);
  home_ = Home::Make(HomeOptionsFrom(*kernel_),
                     PlacementRegistry::Instance().Make(settings.placement),
                     &kernel_->metrics, seed);
  executor_ = std::make_unique<Executor>(
      ExecutorOptionsFrom(settings), kernel_->incarnation, &kernel_->metrics);
  pool_ = std::make_unique<BackendPool>(
      settings.backend_idle_limit, [this](TaskEnd end) {
        bool was_empty = false;
        {
          const std::lock_guard lock(ends_mutex_);
          was_empty = ends_.empty();
          ends_.push_back(std::move(end));
        }
        if (was_empty) asio::post(kernel_->io, [this] { OnTaskEnds(); });
      });
  auto node = Node::Make(
      kernel_, Role::kGuard, LinkPolicy::kAllGuards, this,
      [this] { OnMembers(); }, [this] { OnConfig(); });
  if (!node) return node.error();
  node_ = std::move(*node);
  kernel_->timers.Subscribe(kHomeTick, [this](Instant now) {
    home_->OnTimer(now);
    Pump();
  });
  kernel_->timers.Subscribe(kExecutorTick, [this](Instant now) {
    executor_->OnTimer(now);
    UpdateSelf(now);
    ReportState(now);
    Pump();
  });
  home_->OnExecutorConnected(settings.listen, kernel_->incarnation,
                             Clock::now());
  UpdateSelf(Clock::now());
  return StartHttp();
}

void GuardRole::OnBeginStop() {
  stopping_ = true;
  is_ready_ = false;
  home_->Stop();
  executor_->Stop(Clock::now());
  UpdateSelf(Clock::now());
  Pump();
}

bool GuardRole::OnIsIdle() const {
  return home_->running_jobs() == 0 && home_->AllDelivered() &&
         executor_->running() == 0 && executor_->AllAcknowledged() &&
         node_->network().IsFlushed();
}

void GuardRole::OnFinish() {
  if (http_) http_->Stop();
  if (pool_) pool_->Stop();
  if (node_) node_->Close();
}

// Events of peers.

void GuardRole::OnLinkUp(Address address, const Hello& hello) {
  if (hello.role != Role::kGuard) return;
  executor_addresses_[hello.incarnation] = address;
  home_->OnExecutorConnected(address, hello.incarnation, Clock::now());
  Pump();
}

void GuardRole::OnLinkDown(Address /*address*/, Incarnation incarnation) {
  home_->OnExecutorDisconnected(incarnation, Clock::now());
  Pump();
}

void GuardRole::OnPeerGone(Address /*address*/, Incarnation incarnation) {
  const Instant now = Clock::now();
  executor_addresses_.erase(incarnation);
  home_->OnExecutorTerminated(incarnation, now);
  executor_->OnHomeTerminated(incarnation, now);
  Pump();
}

void GuardRole::OnLinkMessage(Address /*address*/, Incarnation incarnation,
                              Message message) {
  if (auto* replies = std::get_if<GrantReplies>(&message)) {
    home_->OnReplies(incarnation, std::move(*replies), Clock::now());
    Pump();
  }
}

void GuardRole::OnSessionUp(uint64_t session, const Hello& hello) {
  if (hello.role == Role::kGuard) home_sessions_[hello.incarnation] = session;
}

void GuardRole::OnSessionMessage(uint64_t session, const Hello& hello,
                                 Message message) {
  const Instant now = Clock::now();
  if (auto* grants = std::get_if<GrantBatch>(&message)) {
    executor_->OnGrants(hello.incarnation, std::move(*grants), now);
  } else if (const auto* ask = std::get_if<AskBatch>(&message)) {
    executor_->OnAsk(hello.incarnation, *ask, now);
  } else if (const auto* mint = std::get_if<MintRequest>(&message)) {
    node_->network().SendToSession(session, home_->OnMint(*mint, now));
  } else if (auto* submit = std::get_if<SubmitRequest>(&message)) {
    home_->OnSubmit(session, std::move(*submit), now);
  } else if (const auto* query = std::get_if<QueryRequest>(&message)) {
    home_->OnQuery(session, *query, now);
  } else if (const auto* cancel = std::get_if<CancelRequest>(&message)) {
    home_->OnCancel(session, *cancel, now);
  } else if (const auto* admin = std::get_if<AdminRequest>(&message)) {
    node_->network().SendToSession(session, OnAdmin(*admin));
  }
  Pump();
}

void GuardRole::OnSessionDown(uint64_t session, const Hello& hello) {
  home_->OnSessionClosed(session);
  const auto found = home_sessions_.find(hello.incarnation);
  if (found == home_sessions_.end() || found->second != session) return;
  home_sessions_.erase(found);
  executor_->OnHomeUnreachable(hello.incarnation, Clock::now());
  Pump();
}

// Actions of home and executor.

void GuardRole::Pump() {
  while (true) {
    std::vector<HomeAction> home_actions = home_->TakeActions();
    std::vector<ExecutorAction> executor_actions = executor_->TakeActions();
    if (home_actions.empty() && executor_actions.empty()) return;
    const auto perform = [this](auto& action) { Perform(std::move(action)); };
    for (HomeAction& action : home_actions) std::visit(perform, action);
    for (ExecutorAction& action : executor_actions) std::visit(perform, action);
  }
}

void GuardRole::Perform(SendGrants action) {
  if (action.executor == kernel_->incarnation) {
    executor_->OnGrants(kernel_->incarnation, std::move(action.batch),
                        Clock::now());
    return;
  }
  const auto address = executor_addresses_.find(action.executor);
  if (address == executor_addresses_.end()) return;
  node_->network().Send(address->second, action.batch);
}

void GuardRole::Perform(SendAsk action) {
  if (action.executor == kernel_->incarnation) {
    executor_->OnAsk(kernel_->incarnation, action.ask, Clock::now());
    return;
  }
  const auto address = executor_addresses_.find(action.executor);
  if (address == executor_addresses_.end()) return;
  node_->network().Send(address->second, action.ask);
}

void GuardRole::Perform(SendAnswer action) {
  node_->network().SendToSession(action.session, action.reply);
}

void GuardRole::Perform(StartTask action) { pool_->Submit(std::move(action)); }

void GuardRole::Perform(SendReplies action) {
  if (action.home == kernel_->incarnation) {
    home_->OnReplies(action.home, std::move(action.replies), Clock::now());
    return;
  }
  const auto session = home_sessions_.find(action.home);
  if (session == home_sessions_.end()) return;
  node_->network().SendToSession(session->second, action.replies);
}

void GuardRole::OnTaskEnds() {
  std::vector<TaskEnd> ends;
  {
    const std::lock_guard lock(ends_mutex_);
    ends.swap(ends_);
  }
  const Instant now = Clock::now();
  for (TaskEnd& end : ends) {
    kernel_->metrics.TaskRan(end.run_time);
    executor_->OnTaskEnded(end.key, std::move(end.result), now);
  }
  Pump();
}

// Members and configuration.

void GuardRole::OnMembers() {
  const Instant now = Clock::now();
  if (node_ == nullptr) return;
  for (const auto& [address, peer] : node_->membership().peers()) {
    home_->OnMember(peer.record, peer.is_live, now);
    // A home whose process is paused keeps its connection but sends no gossip,
    // so it is unreachable although no disconnection is reported.
    if (!peer.is_live) {
      executor_->OnHomeUnreachable(peer.record.incarnation, now);
    }
  }
  if (node_->are_members_known()) {
    home_->SetMembersKnown();
    is_ready_ = !stopping_;
  }
  Pump();
}

void GuardRole::OnConfig() {
  const Configuration& configuration = node_->configuration();
  Checked<Declarations> declarations =
      ParseDeclarations("version " + std::to_string(configuration.version()),
                        configuration.document());
  if (!declarations) {
    Log(LogLevel::kError, "configuration_not_understood",
        {{"findings", declarations.error().ToText()}});
    return;
  }
  const Instant now = Clock::now();
  const bool drained = declarations->drains.contains(kernel_->settings.listen);
  if (drained != drained_by_config_) {
    drained_by_config_ = drained;
    executor_->SetDraining(drained_by_config_ || drained_by_command_, now);
  }
  home_->SetDeclarations(std::move(*declarations));
  OnBackendChanged(now);
}

void GuardRole::UpdateSelf(Instant now) {
  Membership& membership = node_->membership();
  membership.UpdateSelf(executor_->load(now),
                        executor_->announcement().services);
  home_->OnMember(membership.self(), true, now);
}

// Publishes the backend server's new state to this process's home, to other
// members by gossip, and to the log.
void GuardRole::OnBackendChanged(Instant now) {
  UpdateSelf(now);
  ReportState(now);
  Pump();
}

void GuardRole::ReportState(Instant now) {
  const ServingState state = executor_->state(now);
  if (state == reported_state_) return;
  reported_state_ = state;
  Log(LogLevel::kInfo, "backend_state",
      {{"state", std::string(ServingStateName(state))},
       {"backend", executor_->announcement().address.ToString()}});
}

// HTTP and operators.

std::error_code GuardRole::StartHttp() {
  std::vector<HttpServer::Route> routes =
      ProcessRoutes(&kernel_->metrics, [this] { return is_ready_.load(); });
  routes.push_back({"POST", "/v1/announce", [this](const HttpRequest& request) {
                      return OnAnnounce(request);
                    }});
  routes.push_back(
      {"DELETE", "/v1/announce",
       [this](const HttpRequest& request) { return OnWithdraw(request); }});
  HttpServerOptions options = ProcessHttpOptions();
  options.address = kernel_->settings.http;
  options.threads = kHttpThreads;
  LimitBodies(*kernel_, &options);
  auto http = HttpServer::Make(std::move(options), std::move(routes));
  if (!http) return http.error();
  http_ = std::move(*http);
  return {};
}

HttpResponse GuardRole::OnAnnounce(const HttpRequest& request) {
  Checked<Announcement> announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    return ProblemResponse(Reason::kMalformedRequest, announcement.error());
  }
  pool_->Reserve(announcement->slots);
  asio::post(kernel_->io, [this, a = std::move(*announcement)] {
    const Instant now = Clock::now();
    executor_->OnAnnouncement(a, now);
    OnBackendChanged(now);
  });
  return Accepted();
}

HttpResponse GuardRole::OnWithdraw(const HttpRequest& /*request*/) {
  asio::post(kernel_->io, [this] {
    const Instant now = Clock::now();
    executor_->OnBackendWithdrawn(now);
    OnBackendChanged(now);
  });
  return Accepted();
}

AdminReply GuardRole::OnAdmin(const AdminRequest& request) {
  AdminReply reply;
  reply.request = request.request;
  const Settings& settings = kernel_->settings;
  const Instant now = Clock::now();
  if (request.verb == "jobs") {
    reply.document =
        JobsDocument(home_->Jobs(now), settings.listen, kernel_->incarnation);
  } else if (request.verb == "tasks") {
    const auto id = SubmissionId::Parse(request.argument);
    if (!id || id->incarnation != kernel_->incarnation) {
      reply.reason = id ? Reason::kHomeLost : Reason::kIdMalformed;
      return reply;
    }
    reply.document = TasksDocument(home_->Tasks(id->sequence));
  } else if (request.verb == "backends") {
    reply.document =
        BackendDocument(*executor_, settings.listen, settings.zone, now);
  } else if (request.verb == "refusals") {
    reply.document =
        ReasonsDocument(kernel_->metrics.ReasonCounts(), settings.listen);
  } else if (request.verb == "drain" || request.verb == "undrain") {
    drained_by_command_ = request.verb == "drain";
    executor_->SetDraining(drained_by_config_ || drained_by_command_, now);
    UpdateSelf(now);
    ReportState(now);
    reply.document =
        BackendDocument(*executor_, settings.listen, settings.zone, now);
  } else {
    reply.reason = Reason::kNotFound;
  }
  return reply;
}

}  // namespace qs
