#include "http/connection_intake.h"

#include <string>

#include "base/log.h"
#include "http/http_session.h"

namespace qs {
namespace {

// The time between two lines of the log on the same reason.
constexpr Millis kLogInterval{10'000};

}  // namespace

uint64_t ConnectionIntake::Open(uint32_t address) {
  const IntakeBudget::Admission admission = budget_.Open(address);
  if (admission.to_close) Yield(*admission.to_close, HttpRefusal::kConnections);
  if (admission.verdict != IntakeBudget::Verdict::kAdmitted) {
    OnRefused(admission.verdict == IntakeBudget::Verdict::kTooMany
                  ? HttpRefusal::kConnections
                  : HttpRefusal::kAddress);
  }
  return admission.id;
}

void ConnectionIntake::Watch(uint64_t id, std::weak_ptr<HttpSession> session) {
  sessions_[id] = std::move(session);
}

void ConnectionIntake::Close(uint64_t id) {
  budget_.Close(id);
  sessions_.erase(id);
}

void ConnectionIntake::Update(uint64_t id, size_t bytes,
                              IntakeBudget::Phase phase) {
  budget_.Update(id, bytes, phase);
  for (const uint64_t over : budget_.TakeOverBudget()) {
    Yield(over, HttpRefusal::kMemory);
  }
}

void ConnectionIntake::Yield(uint64_t id, HttpRefusal refusal) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  const std::shared_ptr<HttpSession> session = found->second.lock();
  if (session != nullptr) session->Yield(refusal);
}

void ConnectionIntake::OnRefused(HttpRefusal refusal) {
  if (on_refused_) on_refused_(refusal);
  Tally& tally = tallies_.at(static_cast<size_t>(refusal));
  ++tally.unlogged;
  const Instant now = Clock::now();
  const bool is_due = tally.logged_at == Instant::min() ||
                      now - tally.logged_at >= kLogInterval;
  if (!is_due) return;
  Log(LogLevel::kWarn, "client_refused",
      {{"reason", std::string(HttpRefusalName(refusal))},
       {"count", std::to_string(tally.unlogged)},
       {"connections", std::to_string(budget_.connections())},
       {"held_bytes", std::to_string(budget_.bytes())}});
  tally.logged_at = now;
  tally.unlogged = 0;
}

}  // namespace qs
