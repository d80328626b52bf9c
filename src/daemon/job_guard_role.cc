#include "daemon/job_guard_role.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "daemon/listener_options.h"
#include "daemon/node.h"
#include "daemon/process_routes.h"
#include "quetzalspindle/http_status.h"

namespace qs {
namespace {

// Upper bound of the delay with which a missing answer of the worker is
// noticed.
constexpr Millis kTick{10};

const bool kRegistered =
    RoleRegistry::Instance().Register("job_guard", &JobGuardRole::Make);

// The first fencing token, in milliseconds since the epoch, so that it rises
// with each restart of this process. If the wall clock was set back, the worker
// refuses the token and the supervisor raises it.
uint64_t InitialFencingToken() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

std::unique_ptr<RolePlugin> JobGuardRole::Make(Kernel* kernel) {
  (void)kRegistered;
  return std::unique_ptr<RolePlugin>(new JobGuardRole(kernel));
}

JobGuardRole::JobGuardRole(Kernel* kernel) : kernel_(kernel) {}

JobGuardRole::~JobGuardRole() { OnFinish(); }

std::error_code JobGuardRole::OnStart() {
  RunSupervisorOptions options;
  options.zone = kernel_->settings.zone;
  options.longest_lease = kernel_->settings.worker_lease;
  options.max_run_bytes = kernel_->memory.work_bytes;
  options.observes_neighbours = kernel_->settings.separate_interfering != 0;
  supervisor_ = std::make_unique<RunSupervisor>(options, InitialFencingToken(),
                                                &log_, Clock::now());
  worker_client_ = std::make_unique<WorkerClient>(
      &kernel_->io, kernel_->settings.worker, &kernel_->deployment->workers(),
      [this](const WorkerAnswer& answer) { OnAnswer(answer); },
      [this] {
        supervisor_->OnStartsAwaitPoll();
        Pump();
      },
      kernel_->settings.max_answer_kib * size_t{1024});
  auto node = Node::Make(
      kernel_, Role::kGuard, LinkPolicy::kNone, this, [] {},
      [this] {
        supervisor_->OnEvacuations(node_->evacuations());
        Pump();
      });
  if (!node) return node.error();
  node_ = std::move(*node);
  kernel_->timers.Subscribe(kTick, [this](Instant now) { OnTick(now); });
  is_ready_ = true;
  return StartHttp();
}

void JobGuardRole::OnBeginStop() {
  is_ready_ = false;
  supervisor_->Stop();
  Pump();
}

bool JobGuardRole::OnIsIdle() const {
  return supervisor_->is_idle() && node_->network().IsFlushed();
}

void JobGuardRole::OnFinish() {
  if (worker_client_) worker_client_->Stop();
  if (announce_http_) announce_http_->Close();
  if (process_http_) process_http_->Close();
  if (node_) node_->Close();
}

void JobGuardRole::OnReload(const Settings& settings) {
  node_->AddSeeds(settings.seeds);
}

void JobGuardRole::OnTick(Instant now) {
  if (suspend_watch_.HasBeenSuspended()) supervisor_->OnSuspended(now);
  worker_client_->CheckTime(now);
  supervisor_->OnTimer(now);
  Pump();
}

// Sessions of entries, which are the homes of runs.

void JobGuardRole::OnSessionUp(uint64_t session, const Hello& hello) {
  if (hello.role != Role::kEntry) return;
  supervisor_->OnSessionUp(session, hello.incarnation, Clock::now());
  Pump();
}

void JobGuardRole::OnSessionMessage(uint64_t session, const Hello& /*hello*/,
                                    Message message) {
  RunOrders* orders = std::get_if<RunOrders>(&message);
  if (orders == nullptr) return;
  const Evacuations evacuations = orders->evacuations;
  supervisor_->OnOrders(session, std::move(*orders), Clock::now());
  node_->OfferEvacuations(evacuations);
  Pump();
}

void JobGuardRole::OnSessionDown(uint64_t session, const Hello& /*hello*/) {
  supervisor_->OnSessionDown(session, Clock::now());
  Pump();
}

// Announcements and answers of the worker.

void JobGuardRole::OnAnswer(const WorkerAnswer& answer) {
  struct Deliver {
    RunSupervisor* supervisor;
    Instant now;
    void operator()(const StartAnswer& a) const {
      supervisor->OnStartReply(a.request, a.reply, now);
    }
    void operator()(const StopAnswer& a) const {
      supervisor->OnStopReply(a.request, a.reply, now);
    }
    void operator()(const PollAnswer& a) const {
      supervisor->OnPollReply(a.request, a.reply, a.sent, now);
    }
  };
  std::visit(Deliver{supervisor_.get(), Clock::now()}, answer);
  Pump();
}

void JobGuardRole::Pump() {
  struct Perform {
    JobGuardRole* role;
    void operator()(SendStart& a) const {
      role->worker_client_->Submit(std::move(a));
    }
    void operator()(SendStop& a) const {
      role->worker_client_->Submit(std::move(a));
    }
    void operator()(SendPoll& a) const {
      role->worker_client_->Submit(std::move(a));
    }
    void operator()(SendReport& a) const {
      role->node_->network().SendToSession(a.session, a.report);
    }
  };
  for (SupervisorAction& action : supervisor_->TakeActions(Clock::now())) {
    std::visit(Perform{this}, action);
  }
}

std::error_code JobGuardRole::StartHttp() {
  HttpServerOptions options = ListenerOptions(kernel_);
  options.address = kernel_->settings.http;
  auto process = EventHttpServer::Make(
      &kernel_->io, options,
      ProcessRoutes(&kernel_->metrics, [this] { return is_ready_; }));
  if (!process) return process.error();
  process_http_ = std::move(*process);
  const WorkerProtocol& protocol = kernel_->deployment->workers();
  std::vector<HttpRoute> routes;
  routes.push_back(
      {"POST", protocol.announce_prefix(),
       [this](const HttpRequest& request) { return OnAnnounce(request); }});
  routes.push_back(
      {"POST", protocol.withdraw_prefix(),
       [this](const HttpRequest& request) { return OnWithdraw(request); }});
  options.address = kernel_->settings.announcements;
  options.max_body_bytes = kernel_->settings.max_announcement_bytes;
  auto announce =
      EventHttpServer::Make(&kernel_->io, options, std::move(routes));
  if (!announce) return announce.error();
  announce_http_ = std::move(*announce);
  return {};
}

HttpResponse JobGuardRole::OnAnnounce(const HttpRequest& request) {
  const WorkerProtocol& protocol = kernel_->deployment->workers();
  HttpResponse response;
  response.body = protocol.AnnouncementAnswer();
  Checked<WorkerAnnouncement> announcement =
      protocol.DecodeAnnouncement(request.suffix, request.body);
  if (announcement && announcement->address != kernel_->settings.worker) {
    announcement = tl::unexpected(Findings(
        "address",
        announcement->address.ToString() + " is not the worker of this host"));
  }
  if (!announcement) {
    kernel_->metrics.Refused(Reason::kMalformedRequest);
    Log(LogLevel::kWarn, "announcement_refused",
        {{"worker", request.suffix},
         {"findings", announcement.error().ToText()}});
    response.status = kHttpBadRequest;
    return response;
  }
  supervisor_->OnAnnouncement(*announcement, Clock::now());
  Pump();
  return response;
}

HttpResponse JobGuardRole::OnWithdraw(const HttpRequest& request) {
  const Checked<WorkerIncarnation> incarnation =
      kernel_->deployment->workers().DecodeWithdrawal(request.suffix,
                                                      request.body);
  HttpResponse response;
  if (incarnation) {
    supervisor_->OnWithdrawn(*incarnation, Clock::now());
    Pump();
  } else {
    // Still acknowledged: a worker that ends without an answer stays for
    // longer.
    Log(LogLevel::kWarn, "withdrawal_refused",
        {{"worker", request.suffix},
         {"findings", incarnation.error().ToText()}});
  }
  response.body = kernel_->deployment->workers().AnnouncementAnswer();
  return response;
}

}  // namespace qs
