#include "daemon/call_table.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <utility>

namespace qs {

CallTable::CallTable(asio::io_context* io, Millis unreachable_after)
    : io_(io), unreachable_after_(unreachable_after) {}

std::future<CallResult> CallTable::Begin(Address guard,
                                         std::optional<Incarnation> incarnation,
                                         uint64_t request, Message message,
                                         Millis timeout) {
  Pending pending;
  pending.guard = guard;
  pending.incarnation = incarnation;
  pending.message = std::move(message);
  pending.expires = Clock::now() + timeout;
  std::future<CallResult> result = pending.promise.get_future();
  {
    const std::lock_guard lock(begun_mutex_);
    if (is_closed_) {
      pending.promise.set_value({Reason::kHomeUnreachable, {}});
      return result;
    }
    begun_.emplace(request, std::move(pending));
  }
  asio::post(*io_, [this, request] { Start(request); });
  return result;
}

void CallTable::Start(uint64_t request) {
  Table::node_type begun;
  {
    const std::lock_guard lock(begun_mutex_);
    begun = begun_.extract(request);
  }
  if (begun.empty()) return;
  const auto entry = pending_.insert(std::move(begun)).position;
  Pending& call = entry->second;
  Incarnation current;
  if (!network_->IsUp(call.guard, &current)) {
    call.disconnected_at = Clock::now();
    network_->KeepLink(call.guard);
    return;
  }
  if (call.incarnation && *call.incarnation != current) {
    End(entry, {Reason::kHomeLost, {}});
    return;
  }
  network_->Send(call.guard, call.message);
}

CallTable::Table::iterator CallTable::End(Table::iterator entry,
                                          CallResult result) {
  entry->second.promise.set_value(std::move(result));
  return pending_.erase(entry);
}

void CallTable::OnLinkUp(Address guard, Incarnation incarnation) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& call = entry->second;
    if (call.guard != guard) {
      ++entry;
    } else if (call.incarnation && *call.incarnation != incarnation) {
      entry = End(entry, {Reason::kHomeLost, {}});
    } else {
      call.disconnected_at.reset();
      network_->Send(guard, call.message);
      ++entry;
    }
  }
}

void CallTable::OnPeerGone(Address guard, Incarnation incarnation) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const Pending& call = entry->second;
    const bool is_lost =
        call.guard == guard &&
        (!call.incarnation || *call.incarnation == incarnation);
    entry = is_lost ? End(entry, {Reason::kHomeLost, {}}) : std::next(entry);
  }
}

void CallTable::OnReply(uint64_t request, Message reply) {
  const auto entry = pending_.find(request);
  if (entry == pending_.end()) return;
  End(entry, {Reason::kNone, std::move(reply)});
}

void CallTable::Close() {
  {
    const std::lock_guard lock(begun_mutex_);
    is_closed_ = true;
    pending_.merge(begun_);
  }
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    entry = End(entry, {Reason::kHomeUnreachable, {}});
  }
}

void CallTable::OnTimer(Instant now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& call = entry->second;
    Incarnation current;
    if (network_->IsUp(call.guard, &current)) {
      call.disconnected_at.reset();
    } else if (!call.disconnected_at) {
      call.disconnected_at = now;
    }
    const bool is_unreachable =
        call.disconnected_at &&
        now - *call.disconnected_at >= unreachable_after_;
    const bool has_failed = is_unreachable || now >= call.expires;
    entry = has_failed ? End(entry, {Reason::kHomeUnreachable, {}})
                       : std::next(entry);
  }
}

}  // namespace qs
