#include "daemon/cancel_desk.h"

#include <utility>

#include "base/log.h"
#include "daemon/caller_api.h"
#include "daemon/node.h"
#include "held/job_scheduler.h"
#include "kernel/kernel.h"

namespace qs {
namespace {

// A caller whose cancel not all entries have confirmed is answered after this.
constexpr Millis kLongestConfirmation{500};

}  // namespace

CancelDesk::CancelDesk(Kernel* kernel, JobScheduler* scheduler, Node* node,
                       CallerApi* caller_api, std::function<void()> on_change)
    : kernel_(kernel),
      scheduler_(scheduler),
      node_(node),
      caller_api_(caller_api),
      on_change_(std::move(on_change)),
      cancelled_(&kernel->metrics.counter(
          "quetzalspindle_cancels_held_total",
          "Cancels by callers of a job that an entry held.")),
      unknown_(&kernel->metrics.counter(
          "quetzalspindle_cancels_unknown_total",
          "Cancels by callers of a job that no entry held.")),
      unconfirmed_(&kernel->metrics.counter(
          "quetzalspindle_cancels_unconfirmed_total",
          "Cancels by callers answered before all entries confirmed them.")),
      from_entries_(&kernel->metrics.counter(
          "quetzalspindle_cancels_of_entries_total",
          "Cancels that other entries told of, repeated ones included.")) {}

void CancelDesk::OnCancel(const std::shared_ptr<HttpCall>& call,
                          const std::string& job) {
  const Instant now = Clock::now();
  const uint64_t number = scheduler_->OnCancel(job, CancelOrigin::kCaller, now);
  on_change_();
  open_calls_.push_back({call, job, number, now});
  TellEntries(now);
  AnswerCalls(now);
}

void CancelDesk::OnEntrySession(uint64_t session, const Hello& hello) {
  for (const JobCancels& cancels :
       scheduler_->cancels().Greet(hello.address, hello.incarnation)) {
    node_->network().SendToSession(session, cancels);
  }
}

JobCancelsSeen CancelDesk::OnCancelsOfEntry(const JobCancels& cancels) {
  const Instant now = Clock::now();
  const CancelOrigin origin =
      cancels.pass_on ? CancelOrigin::kRelay : CancelOrigin::kEntry;
  JobCancelsSeen seen;
  seen.number = cancels.number;
  for (const std::string& job : cancels.ids) {
    scheduler_->OnCancel(job, origin, now);
    if (scheduler_->cancels().WasHeld(job)) seen.held.push_back(job);
  }
  from_entries_->Increment(static_cast<double>(cancels.ids.size()));
  on_change_();
  return seen;
}

void CancelDesk::OnConfirmed(Address entry, Incarnation incarnation,
                             const JobCancelsSeen& seen) {
  for (const std::string& job : seen.held) scheduler_->cancels().MarkHeld(job);
  scheduler_->cancels().OnConfirmed(entry, incarnation, seen.number);
  AnswerCalls(Clock::now());
}

void CancelDesk::OnTimer(Instant now) {
  TellEntries(now);
  AnswerCalls(now);
}

void CancelDesk::TellEntries(Instant now) {
  CancelLedger& cancels = scheduler_->cancels();
  if (cancels.size() == 0) return;
  for (const auto& [entry, message] :
       cancels.TakeDue(node_->LiveEntries(), now)) {
    if (message.ids.empty()) {
      node_->network().KeepLink(entry);
    } else {
      node_->network().Send(entry, message);
    }
  }
}

void CancelDesk::AnswerCalls(Instant now) {
  if (open_calls_.empty()) return;
  const std::vector<Address> entries = node_->LiveEntries();
  // A response may let the next request of its connection in.
  for (OpenCall& call : std::exchange(open_calls_, {})) {
    const bool is_confirmed =
        scheduler_->cancels().IsConfirmed(call.number, entries);
    if (!is_confirmed && now - call.received < kLongestConfirmation) {
      open_calls_.push_back(std::move(call));
      continue;
    }
    const bool was_held = scheduler_->cancels().WasHeld(call.job);
    CancelResult result = CancelResult::kCancelled;
    if (!was_held) {
      result =
          is_confirmed ? CancelResult::kNoSuchJob : CancelResult::kPassedOn;
    }
    (was_held ? cancelled_ : unknown_)->Increment();
    if (!is_confirmed) unconfirmed_->Increment();
    Log(LogLevel::kInfo, "cancel_answered",
        {{"job", call.job},
         {"held", was_held ? "yes" : "no"},
         {"confirmed", is_confirmed ? "yes" : "no"},
         {"age_ms", std::to_string(Elapsed(call.received, now).count())},
         {"entries", std::to_string(entries.size())}});
    caller_api_->Respond(
        call.call, kernel_->deployment->callers().EncodeCancelled(result));
  }
}

}  // namespace qs
