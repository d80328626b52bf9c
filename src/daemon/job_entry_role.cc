#include "daemon/job_entry_role.h"

#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "daemon/caller_api.h"
#include "daemon/cancel_desk.h"
#include "daemon/config_agent.h"
#include "daemon/listener_options.h"
#include "daemon/node.h"
#include "daemon/process_routes.h"
#include "quetzalspindle/http_status.h"

namespace qs {
namespace {

constexpr Millis kTick{20};
// A stopping process answers all remaining jobs this long before its stop
// timeout ends, so that the answers can still be sent.
constexpr Millis kStopMargin{900};
constexpr Millis kConfigRetryDelay{250};
constexpr Millis kGuardSelectionInterval{200};
// Minimum time between two passes over the scheduler under load. Well below the
// time in which a frame reaches a guard.
constexpr std::chrono::microseconds kMinPumpInterval{500};

const bool kRegistered =
    RoleRegistry::Instance().Register("job_entry", &JobEntryRole::Make);

}  // namespace

std::unique_ptr<RolePlugin> JobEntryRole::Make(Kernel* kernel) {
  (void)kRegistered;
  return std::unique_ptr<RolePlugin>(new JobEntryRole(kernel));
}

JobEntryRole::JobEntryRole(Kernel* kernel) : kernel_(kernel) {}

JobEntryRole::~JobEntryRole() { OnFinish(); }

std::error_code JobEntryRole::OnStart() {
  JobSchedulerOptions options;
  options.workers.zone = kernel_->settings.zone;
  options.separates_interfering = kernel_->settings.separate_interfering != 0;
  options.worker_lease = kernel_->settings.worker_lease;
  options.max_jobs = kernel_->settings.max_held_jobs;
  options.cancels.max_cancels =
      kernel_->memory.MaxCancels(options.cancels.max_cancels);
  scheduler_ = std::make_unique<JobScheduler>(
      options, &kernel_->metrics, &log_,
      static_cast<uint32_t>(kernel_->incarnation.value), Clock::now());
  caller_api_ = std::make_unique<CallerApi>(kernel_, scheduler_.get(),
                                            [this] { SchedulePump(); });
  auto node = Node::Make(
      kernel_, Role::kEntry, LinkPolicy::kChosenGuards, this, [] {},
      [this] { OnConfig(); });
  if (!node) return node.error();
  node_ = std::move(*node);
  cancel_desk_ =
      std::make_unique<CancelDesk>(kernel_, scheduler_.get(), node_.get(),
                                   caller_api_.get(), [this] { Pump(); });
  caller_api_->SetCancelHandler(
      [this](const std::shared_ptr<HttpCall>& call, const std::string& job) {
        cancel_desk_->OnCancel(call, job);
      });
  node_->SetMayDrop(
      [this](Incarnation guard) { return !scheduler_->HasRunsAt(guard); });
  kernel_->timers.Subscribe(kTick, [this](Instant now) { OnTick(now); });
  crash_notices_ = &kernel_->metrics.counter(
      "quetzalspindle_crash_notices_total",
      "Crashes of workers that other entries told of, repeated ones included.");
  StartConfigAgent();
  return StartHttp();
}

void JobEntryRole::StartConfigAgent() {
  ConfigSource source;
  source.key = kernel_->deployment->catalog_key();
  source.retry_delay = kConfigRetryDelay;
  source.decode = [deployment = kernel_->deployment.get()](
                      const KeyValue& entry) -> Result<StoredConfig> {
    const Checked<Catalog> catalog = deployment->DecodeCatalog(entry.value);
    if (!catalog) {
      return tl::unexpected(std::make_error_code(std::errc::bad_message));
    }
    StoredConfig config;
    config.version = catalog->version;
    config.document = entry.value;
    config.mod_revision = entry.mod_revision;
    return config;
  };
  source.evacuation_prefix = kernel_->deployment->evacuation_prefix();
  source.watched_prefix = kernel_->deployment->operator_prefix();
  prometheus::Counter* odd_keys = &kernel_->metrics.counter(
      "quetzalspindle_odd_evacuation_keys_total",
      "Keys for evacuations that name no zone, counted at each read.");
  config_agent_ = ConfigAgent::Make(
      std::move(source), kernel_->MakeStore(),
      [this](StoredConfig config) {
        asio::post(kernel_->io, [this, c = std::move(config)] {
          node_->OfferConfig(c.version, c.document);
        });
      },
      [this, odd_keys](StoredEvacuations stored) {
        odd_keys->Increment(static_cast<double>(stored.odd_keys));
        asio::post(kernel_->io, [this, e = std::move(stored.evacuations)] {
          node_->OfferEvacuations(e);
        });
      });
}

std::error_code JobEntryRole::StartHttp() {
  const auto is_ready = [this] { return is_ready_; };
  HttpServerOptions options = ListenerOptions(kernel_);
  options.address = kernel_->settings.http;
  auto process = EventHttpServer::Make(
      &kernel_->io, options, ProcessRoutes(&kernel_->metrics, is_ready));
  if (!process) return process.error();
  process_http_ = std::move(*process);
  options.address = kernel_->settings.readiness;
  std::vector<HttpRoute> routes;
  routes.push_back({"GET", kernel_->deployment->callers().readiness_path(),
                    [is_ready](const HttpRequest&) {
                      HttpResponse response;
                      if (!is_ready()) response.status = kHttpUnavailable;
                      response.body = "{}";
                      return response;
                    }});
  auto readiness =
      EventHttpServer::Make(&kernel_->io, options, std::move(routes));
  if (!readiness) return readiness.error();
  readiness_http_ = std::move(*readiness);
  return caller_api_->Start();
}

void JobEntryRole::OnBeginStop() {
  stopping_ = true;
  is_ready_ = false;
  stop_started_ = Clock::now();
  scheduler_->BeginStop(stop_started_ + kernel_->settings.stop_timeout -
                        kStopMargin);
  caller_api_->BeginStop();
  // Signals the agent to stop now, since its last call to the store may take as
  // long as the rest of the stop. Until the process ends, new versions of the
  // configuration still arrive from other entries.
  config_agent_->BeginStop();
}

bool JobEntryRole::OnIsIdle() const {
  const auto stopping_for = Clock::now() - stop_started_;
  return stopping_for >= kernel_->settings.stop_accepting_after &&
         scheduler_->held_jobs() == 0 && caller_api_->IsIdle();
}

void JobEntryRole::OnFinish() {
  config_agent_.reset();
  if (caller_api_) caller_api_->Close();
  if (process_http_) process_http_->Close();
  if (readiness_http_) readiness_http_->Close();
  if (node_) node_->Close();
}

void JobEntryRole::OnReload(const Settings& settings) {
  node_->AddSeeds(settings.seeds);
}

void JobEntryRole::OnTick(Instant now) {
  if (suspend_watch_.HasBeenSuspended()) scheduler_->OnSuspended(now);
  if (stopping_ && !has_given_up_ &&
      now - stop_started_ >= kernel_->settings.stop_timeout - kStopMargin) {
    has_given_up_ = true;
    scheduler_->GiveUpAll(Reason::kStopping, now);
  }
  // The scheduler counts on it at a timer event that the callers that had left
  // by the one before are handled.
  caller_api_->CheckCallers();
  scheduler_->OnTimer(now);
  cancel_desk_->OnTimer(now);
  TellCrashes(now);
  UpdateGuardLinks(now);
  Pump();
}

void JobEntryRole::TellCrashes(Instant now) {
  for (CrashNotice& notice : scheduler_->TakeCrashes()) {
    crash_gossip_.Add(std::move(notice), now);
  }
  crash_gossip_.Expire(now);
  if (crash_gossip_.is_empty()) return;
  for (const Address entry : node_->LiveEntries()) {
    Incarnation incarnation;
    if (!node_->network().IsUp(entry, &incarnation)) {
      node_->network().KeepLink(entry);
      continue;
    }
    const CrashNotices notices = crash_gossip_.TakeDue(entry);
    if (!notices.notices.empty()) node_->network().Send(entry, notices);
  }
}

// Adapts the links to guards to the workers that the scheduler needs.
void JobEntryRole::UpdateGuardLinks(Instant now) {
  if (scheduler_->TakeWantsMoreWorkers()) {
    if (!node_->guard_selector().is_widened(now)) {
      Log(LogLevel::kInfo, "links_widened",
          {{"reason", "no_linked_worker_fits"},
           {"known", std::to_string(node_->guard_selector().guard_count())}});
    }
    node_->guard_selector().Widen(now);
  }
  if (now - last_guard_selection_ < kGuardSelectionInterval) return;
  last_guard_selection_ = now;
  node_->ApplyGuardSelection(now);
  scheduler_->SetHasSeenAllWorkers(node_->guard_selector().HasSeenAll(now),
                                   now);
}

void JobEntryRole::OnConfig() {
  scheduler_->OnEvacuations(node_->evacuations(), Clock::now());
  if (node_->configuration().version() != catalog_version_) OnCatalog();
  if (!is_ready_ && !stopping_ && has_catalog_ &&
      node_->evacuations().is_known()) {
    is_ready_ = true;
    Log(LogLevel::kInfo, "ready",
        {{"config_version", std::to_string(catalog_version_)},
         {"evacuation_revision",
          std::to_string(node_->evacuations().revision())}});
  }
  Pump();
}

void JobEntryRole::OnCatalog() {
  const Configuration& configuration = node_->configuration();
  catalog_version_ = configuration.version();
  Checked<Catalog> catalog =
      kernel_->deployment->DecodeCatalog(configuration.document());
  if (!catalog) {
    Log(LogLevel::kError, "configuration_unreadable",
        {{"version", std::to_string(configuration.version())},
         {"findings", catalog.error().ToText()}});
    return;
  }
  const auto shared = std::make_shared<const Catalog>(std::move(*catalog));
  scheduler_->SetCatalog(shared, Clock::now());
  caller_api_->SetCatalog(shared);
  has_catalog_ = true;
}

// Events of guards.

void JobEntryRole::OnLinkUp(Address address, const Hello& hello) {
  if (hello.role == Role::kEntry) {
    scheduler_->cancels().OnEntryUp(address, hello.incarnation);
    crash_gossip_.OnEntryUp(address);
  }
  if (hello.role != Role::kGuard) return;
  guards_[hello.incarnation] = address;
  scheduler_->OnGuardUp(address, hello.incarnation, Clock::now());
  Pump();
}

void JobEntryRole::OnLinkDown(Address /*address*/, Incarnation incarnation) {
  scheduler_->OnGuardDown(incarnation, Clock::now());
  Pump();
}

void JobEntryRole::OnPeerGone(Address address, Incarnation incarnation) {
  scheduler_->cancels().OnEntryGone(address, incarnation);
  guards_.erase(incarnation);
  scheduler_->OnGuardDown(incarnation, Clock::now());
  Pump();
}

void JobEntryRole::OnLinkMessage(Address address, Incarnation incarnation,
                                 Message message) {
  if (const auto* seen = std::get_if<JobCancelsSeen>(&message)) {
    return cancel_desk_->OnConfirmed(address, incarnation, *seen);
  }
  if (const auto* cancels = std::get_if<JobCancels>(&message)) {
    cancel_desk_->OnCancelsOfEntry(*cancels);
    return;
  }
  const RunReport* report = std::get_if<RunReport>(&message);
  if (report == nullptr) return;
  scheduler_->OnReport(incarnation, *report, Clock::now());
  node_->OfferEvacuations(report->evacuations);
  SchedulePump();
}

void JobEntryRole::OnSessionUp(uint64_t session, const Hello& hello) {
  if (hello.role == Role::kEntry) cancel_desk_->OnEntrySession(session, hello);
}

void JobEntryRole::OnSessionMessage(uint64_t session, const Hello& /*hello*/,
                                    Message message) {
  if (const auto* cancels = std::get_if<JobCancels>(&message)) {
    node_->network().SendToSession(session,
                                   cancel_desk_->OnCancelsOfEntry(*cancels));
  } else if (const auto* crashes = std::get_if<CrashNotices>(&message)) {
    crash_notices_->Increment(static_cast<double>(crashes->notices.size()));
    for (const CrashNotice& notice : crashes->notices) {
      scheduler_->OnCrashNotice(notice, Clock::now());
    }
    Pump();
  }
}

// Actions of the scheduler.

// Performs the scheduler's actions at once. If the last pass was less than
// kMinPumpInterval ago, posts one pass instead, which then covers all events
// that are ready by now.
void JobEntryRole::SchedulePump() {
  if (is_pump_posted_) return;
  if (Clock::now() - last_pump_ >= kMinPumpInterval) return Pump();
  PostPump();
}

void JobEntryRole::PostPump() {
  is_pump_posted_ = true;
  asio::post(kernel_->io, [this] { Pump(); });
}

void JobEntryRole::Pump() {
  is_pump_posted_ = false;
  last_pump_ = Clock::now();
  for (SchedulerAction& action : scheduler_->TakeActions(last_pump_)) {
    std::visit([this](auto& a) { Perform(std::move(a)); }, action);
  }
  if (scheduler_->is_dispatch_due() && !is_pump_posted_) PostPump();
}

void JobEntryRole::Perform(SendOrders action) {
  const auto address = guards_.find(action.guard);
  const bool is_sent = address != guards_.end() &&
                       node_->network().Send(address->second, action.orders);
  if (is_sent) return;
  // The connection has ended or is about to, so the runs are out of reach.
  Log(LogLevel::kWarn, "orders_dropped",
      {{"guard",
        address == guards_.end() ? "unknown" : address->second.ToString()},
       {"orders", std::to_string(action.orders.orders.size())},
       {"stops", std::to_string(action.orders.stops.size())}});
}

void JobEntryRole::Perform(SendHeldAnswer action) {
  caller_api_->Answer(action.caller, action.answer);
}

}  // namespace qs
